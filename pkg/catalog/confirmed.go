package catalog

import "time"

// MaxConfirmationGap is the longest time between two confirmations of the endpoint list in
// which no change was missed that lasted. It is shorter than the time after which endpoints of
// a new software version begin streams.
const MaxConfirmationGap = 1900 * time.Millisecond

// confirmations are the times at which the endpoint list is known to have been that of the
// source: the starts of reads and watches that have returned, and of probes throughout which a
// watch waited. They are lower bounds, so that a pause of this process or a slow answer makes
// no list look newer than it is. An answer to a watch that is lost alone, while probes are
// answered, goes unnoticed until Timing.WatchTimeout. Contrast Replica.lastListAt.
type confirmations struct {
	latest time.Time
	since  time.Time // start of the latest series without a gap
}

// confirm records that the endpoint list contains all changes until time at.
func (r *Replica) confirm(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed.add(at)
}

func (c *confirmations) add(at time.Time) {
	if !at.After(c.latest) {
		return
	}
	if at.Sub(c.latest) > MaxConfirmationGap {
		c.since = at
	}
	c.latest = at
}

// setWatching records when the list call that session s waits for was sent; zero means that
// none is running.
func (r *Replica) setWatching(s *readingSession, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.watchingSince = at
}

// confirmWatched confirms the endpoint list as of the start of a probe that has succeeded, and
// reports false if changes were not watched throughout the probe.
func (r *Replica) confirmWatched(s *readingSession, start time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s == nil || s != r.session || !s.listed || s.watchingSince.IsZero() || s.watchingSince.After(start) {
		return false
	}
	r.confirmed.add(start)
	return true
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
