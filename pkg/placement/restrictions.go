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

func incarnationOf(e catalog.Endpoint) incarnation { return incarnation{e.ID, e.Address, e.Started} }

// restriction is what an endpoint has said about the requests that it accepts. It outlives the
// registration of the endpoint, which may expire and return while the process runs.
type restriction struct {
	isLeaving   bool      // it accepts no further requests
	pausedUntil time.Time // it accepts no requests from this instance before this time
	unlistedAt  time.Time // when its registration was found to be gone, or zero
	limit       limit     // on the requests of all instances together
	cold        coldState
}

const (
	// restrictionTTL is how long a restriction is remembered after its registration has gone. Endpoints
	// stop within a minute after they have left.
	restrictionTTL = 10 * time.Minute
	// unknownStartTTL replaces restrictionTTL for a leave if the registration has no start time,
	// so that a new process cannot be told from one whose registration returns, by a write
	// that was delayed or after a cut.
	unknownStartTTL = 30 * time.Second
)

// allows reports whether the endpoint accepts requests at time now.
func (r *restriction) allows(now time.Time) bool { return !r.isLeaving && !now.Before(r.pausedUntil) }

// restrictionOf returns the restriction of the process that an entry of the list describes.
func (p *Pool) restrictionOf(entry catalog.Endpoint, now time.Time) *restriction {
	key := incarnationOf(entry)
	r := p.restrictions[key]
	switch {
	case r == nil:
		r = &restriction{}
		p.restrictions[key] = r
	case key.started == 0 && !r.unlistedAt.IsZero() && now.Sub(r.unlistedAt) > unknownStartTTL:
		r.isLeaving = false
	}
	return r
}

// forgetRestrictions removes the restrictions of processes that have ended. p.mu must be held.
func (p *Pool) forgetRestrictions(now time.Time) {
	for key, r := range p.restrictions {
		e := p.endpoints[key.id]
		switch {
		case e != nil && e.restriction == r:
			r.unlistedAt = time.Time{}
		case r.unlistedAt.IsZero():
			r.unlistedAt = now
		case now.Sub(r.unlistedAt) > restrictionTTL && !now.Before(r.pausedUntil):
			delete(p.restrictions, key)
		}
	}
}

// MarkLeaving records that the endpoint has said that it leaves. Its process gets no
// further requests.
func (c *Choice) MarkLeaving() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.state.restriction.isLeaving = true
}

// Pause records that the endpoint wants no requests from this instance before until.
func (c *Choice) Pause(until time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if r := c.state.restriction; until.After(r.pausedUntil) {
		r.pausedUntil = until
	}
}

// AcceptsAt returns when the first endpoint of the service accepts a request from this
// instance again, or the zero time if that is not known, because an endpoint accepts one now
// or its limit may end at any time.
func (p *Pool) AcceptsAt(service string, now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var first time.Time
	for _, e := range p.services[service] {
		r := e.restriction
		if r.isLeaving || p.use.out[e.Domain] {
			continue
		}
		at := r.pausedUntil
		if l := &r.limit; l.isSet {
			ready := l.quota.readyAt(e.Endpoint, allowanceOf(l.perSecond), p.share, now)
			if ready.IsZero() && !at.After(now) {
				return time.Time{}
			}
			at = later(at, ready)
		}
		at = later(at, p.coldReadyAt(e, now))
		switch {
		case !at.After(now):
			return time.Time{}
		case first.IsZero() || at.Before(first):
			first = at
		}
	}
	return first
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ServingAddresses returns the addresses of the listed endpoints that have not said that they
// leave.
func (p *Pool) ServingAddresses() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := make(map[string]bool, len(p.endpoints))
	for _, e := range p.endpoints {
		if !e.restriction.isLeaving {
			addresses[e.Address] = true
		}
	}
	return addresses
}
