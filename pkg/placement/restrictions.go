package placement

import (
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/failure"
)

// incarnation identifies one process of an endpoint.
type incarnation struct {
	id, address string
	started     int64
}

// restriction is what an endpoint has said about the requests that it accepts. It outlives the
// registration of the endpoint, which may expire and return while the process runs.
type restriction struct {
	isLeaving   bool      // it accepts no further requests
	pausedUntil time.Time // it accepts no requests from this instance before this time
	unlistedAt  time.Time // when its registration was found to be gone, or zero
	limit       limit     // on the requests of all instances together
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
	key := incarnation{entry.ID, entry.Address, entry.Started}
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

// PauseEnd returns when the first endpoint of the service ends its pause, or the zero time
// if an endpoint is not paused or none will accept requests again.
func (p *Pool) PauseEnd(service string, now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var end time.Time
	for _, e := range p.services[service] {
		switch until := e.restriction.pausedUntil; {
		case e.restriction.isLeaving:
		case !now.Before(until):
			return time.Time{}
		case end.IsZero() || until.Before(end):
			end = until
		}
	}
	return end
}

// refusalCause returns why no endpoint accepts a request: failure.CauseLimit if one is only
// paused or limited, failure.CauseNoEndpoint otherwise.
func (p *Pool) refusalCause(req *Request, now time.Time) failure.Cause {
	for _, e := range p.services[req.Service] {
		isCandidate := !req.Exclude[e.ID] && (req.Version == nil || *req.Version == e.SoftwareVersion)
		if isCandidate && !e.restriction.isLeaving && !e.isAvailable(req, p.share, now) {
			return failure.CauseLimit
		}
	}
	return failure.CauseNoEndpoint
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
