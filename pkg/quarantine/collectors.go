package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/rendezvous"
)

const (
	// collectorCount is the number of instances that collect the deaths of the fleet. Each
	// decides by itself, so that the others go on when one ends.
	collectorCount = 3
	// silenceTTL is how long an instance that has not answered a call is passed over.
	silenceTTL = 3 * time.Second
)

// Collectors ranks the instances that collect the deaths of the fleet. Instances that were lost
// stay listed until their registrations end, so those that have not answered lately are passed
// over. It is not safe for concurrent use.
type Collectors struct {
	silentSince map[string]time.Time // latest call that was not answered, by incarnation
}

// NewCollectors returns collectors that pass over no instance.
func NewCollectors() *Collectors { return &Collectors{silentSince: map[string]time.Time{}} }

// RecordCall records whether an instance has answered a call.
func (c *Collectors) RecordCall(incarnation string, answered bool, now time.Time) {
	if answered {
		delete(c.silentSince, incarnation)
		return
	}
	for other, since := range c.silentSince {
		if now.Sub(since) >= silenceTTL {
			delete(c.silentSince, other)
		}
	}
	c.silentSince[incarnation] = now
}

// IsSilent reports whether an instance has not answered lately.
func (c *Collectors) IsSilent(incarnation string, now time.Time) bool {
	since, ok := c.silentSince[incarnation]
	return ok && now.Sub(since) < silenceTTL
}

// Rank returns the collectors among the listed instances in order of their rank, and the rank
// of the instance self, which is one of them, or -1. Instances that list the same members and
// reach all of them agree.
func (c *Collectors) Rank(listed []peer.Identity, self string, now time.Time) (ranked []peer.Identity, rank int) {
	ranked = c.answering(listed, self, now)
	ranked = ranked[:min(collectorCount, len(ranked))]
	return ranked, slices.IndexFunc(ranked, func(id peer.Identity) bool { return id.Incarnation == self })
}

// Recipients returns the instances to which a death is to be reported: the collectors, and
// until collectorCount instances have the report one more for each silent instance, so that a
// report finds its way past many lost ones in a few calls. has reports whether an instance has
// the report.
func (c *Collectors) Recipients(listed []peer.Identity, self string, has func(incarnation string) bool, now time.Time) []peer.Identity {
	answering := c.answering(listed, self, now)
	received := 0
	for _, id := range answering {
		if has(id.Incarnation) {
			received++
		}
	}
	count := collectorCount
	if received < collectorCount {
		count += len(listed) - len(answering)
	}
	return slices.DeleteFunc(answering[:min(count, len(answering))], func(id peer.Identity) bool { return has(id.Incarnation) })
}

// answering returns the listed instances in order of their rank, without the silent ones.
func (c *Collectors) answering(listed []peer.Identity, self string, now time.Time) []peer.Identity {
	ranked := slices.SortedFunc(slices.Values(listed), func(a, b peer.Identity) int {
		return cmp.Or(cmp.Compare(rendezvous.Hash(a.Incarnation), rendezvous.Hash(b.Incarnation)), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return slices.DeleteFunc(ranked, func(id peer.Identity) bool { return id.Incarnation != self && c.IsSilent(id.Incarnation, now) })
}
