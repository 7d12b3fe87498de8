package membership

import (
	"hash/fnv"
	"slices"
	"strings"

	"github.com/clementinerack/clementinerack/pkg/peer"
)

// Rendezvous returns the member of among with the highest hash together with
// key, and false when among is empty. Removing other members does not change
// the choice. A restarted instance keeps its place, because the hash covers the
// instance name and not the incarnation.
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

// score is FNV-1a with the finalizer of SplitMix64, because FNV alone gives
// related values for names that differ only in their last character.
func score(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
