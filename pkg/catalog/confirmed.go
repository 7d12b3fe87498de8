package catalog

import (
	"time"

	"github.com/clementinerack/clementinerack/pkg/suspension"
)

// MaxConfirmationGap is the longest time between two confirmations of the endpoint list in
// which no change was missed that lasted. It is shorter than the time after which endpoints of
// a new software version begin streams.
const MaxConfirmationGap = 1900 * time.Millisecond

// confirmations are the times at which the endpoint list is known to have been that of the
// source: the starts of the calls that have returned the list or its changes. They are lower
// bounds, so that a pause of this process or a slow answer makes no list look newer than it
// is. A call that returns neither says nothing, because the watch that should bring a change
// may be silent alone. Contrast Replica.lastListAt.
type confirmations struct {
	latest time.Time
	since  time.Time // start of the latest series without a gap
	// suspended is how long the machine had been suspended until latest.
	suspended time.Duration
}

// instant is a time together with how long the machine had been suspended until then.
type instant struct {
	time.Time
	suspended time.Duration
}

// now returns the current instant.
func (r *Replica) now() instant { return instant{time.Now(), r.opts.Suspended()} }

// confirm records that the endpoint list contains all changes until at.
func (r *Replica) confirm(at instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed.add(at)
}

func (c *confirmations) add(at instant) {
	if !at.After(c.latest) {
		return
	}
	if at.Sub(c.latest)+suspension.Between(c.suspended, at.suspended) > MaxConfirmationGap {
		c.since = at.Time
	}
	c.latest, c.suspended = at.Time, at.suspended
}

// Confirmed returns the latest time at which the endpoint list is known to have been that of
// the source, and the time since when it has been confirmed with gaps of at most
// MaxConfirmationGap. Both are zero if there is no list yet. OnEndpoints has been called for
// all changes until latest.
func (r *Replica) Confirmed() (latest, since time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed.latest, r.confirmed.since
}
