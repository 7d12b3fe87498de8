package membership

import (
	"hash/fnv"
	"slices"
	"strings"

	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/rendezvous"
)

// Rendezvous returns the instance in among with the highest score for key, and
// false if among is empty. Removing other instances does not change the result.
// The score covers the instance name and not the incarnation, so a restarted
// instance keeps its keys.
func Rendezvous(key string, among []peer.Identity) (peer.Identity, bool) {
	if len(among) == 0 {
		return peer.Identity{}, false
	}
	return slices.MaxFunc(among, func(a, b peer.Identity) int {
		sa, sb := score(key, a.Instance), score(key, b.Instance)
		switch {
		case sa != sb && sa < sb:
			return -1
		case sa != sb:
			return 1
		}
		return strings.Compare(a.Incarnation, b.Incarnation)
	}), true
}

// score returns the rendezvous weight of a name for a key.
func score(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	return rendezvous.Mix(h.Sum64())
}
