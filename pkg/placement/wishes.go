package placement

import (
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
)

// incarnation identifies one process of an endpoint.
type incarnation struct {
	id, address string
	started     int64
}

// wish is what an endpoint has said about the requests that it wants. It outlives the
// registration of the endpoint, which may expire and return while the process runs.
type wish struct {
	isLeaving   bool      // it wants no further requests
	pausedUntil time.Time // it wants no requests from this instance before this time
	unlistedAt  time.Time // when its registration was found to be gone, or zero
}

const (
	// wishTTL is how long a wish is remembered after its registration has gone. Endpoints
	// stop within a minute after they have left.
	wishTTL = 10 * time.Minute
	// unknownStartTTL replaces wishTTL for a leave if the registration has no start time,
	// so that a new process cannot be told from one whose registration returns, by a write
	// that was delayed or after a cut.
	unknownStartTTL = 30 * time.Second
)

// allows reports whether the endpoint accepts requests at time now.
func (w *wish) allows(now time.Time) bool { return !w.isLeaving && !now.Before(w.pausedUntil) }

// wishOf returns the wish of the process that an entry of the list describes.
func (p *Pool) wishOf(entry catalog.Endpoint, now time.Time) *wish {
	key := incarnation{entry.ID, entry.Address, entry.Started}
	w := p.wishes[key]
	switch {
	case w == nil:
		w = &wish{}
		p.wishes[key] = w
	case key.started == 0 && !w.unlistedAt.IsZero() && now.Sub(w.unlistedAt) > unknownStartTTL:
		w.isLeaving = false
	}
	return w
}

// forgetWishes removes the wishes of processes that have ended. p.mu must be held.
func (p *Pool) forgetWishes(now time.Time) {
	for key, w := range p.wishes {
		e := p.endpoints[key.id]
		switch {
		case e != nil && e.wish == w:
			w.unlistedAt = time.Time{}
		case w.unlistedAt.IsZero():
			w.unlistedAt = now
		case now.Sub(w.unlistedAt) > wishTTL && !now.Before(w.pausedUntil):
			delete(p.wishes, key)
		}
	}
}

// MarkLeaving records that the endpoint has said that it leaves. Its process gets no
// further requests.
func (c *Choice) MarkLeaving() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.state.wish.isLeaving = true
}

// Pause records that the endpoint wants no requests from this instance before until.
func (c *Choice) Pause(until time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if w := c.state.wish; until.After(w.pausedUntil) {
		w.pausedUntil = until
	}
}

// PauseEnd returns when the first endpoint of the service ends its pause, or the zero time
// if an endpoint is not paused or none will accept requests again.
func (p *Pool) PauseEnd(service string, now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var end time.Time
	for _, e := range p.services[service] {
		switch until := e.wish.pausedUntil; {
		case e.wish.isLeaving:
		case !now.Before(until):
			return time.Time{}
		case end.IsZero() || until.Before(end):
			end = until
		}
	}
	return end
}
