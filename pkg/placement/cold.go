package placement

import (
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
)

// ColdBound bounds the requests that a cold endpoint of a service gets from all instances
// together: in any second PerSecond times Overrun, and Tolerance.
type ColdBound struct {
	// Start is how long an endpoint is cold after it starts.
	Start                         time.Duration
	PerSecond, Overrun, Tolerance float64
}

// allowance returns an allowance whose sum stays inside one half of the bound, so that the
// bound also holds if two groups of instances choose different senders. One quarter of the
// bound is for the rate and one for the requests at hand.
func (b ColdBound) allowance() Allowance {
	bound := min(b.PerSecond*b.Overrun+b.Tolerance, maxLimit)
	perSecond := min(b.PerSecond, bound/4)
	senders := int(bound/2 - perSecond)
	if senders == 0 && bound >= 2 { // each of the two groups has one sender with one request at hand
		senders = 1
	}
	return Allowance{PerSecond: perSecond, Senders: senders}
}

// coldState is what is known of the cold periods of an endpoint.
type coldState struct {
	period catalog.ColdPeriod // the one that the endpoint list names
	until  time.Time          // the end of a known period
	since  time.Time          // from here the endpoint counts as cold for ColdBound.Start
	quota  quota
}

// update records the period that the endpoint list names. isNew is set if the process was
// first listed at time now, during traffic.
func (c *coldState) update(period catalog.ColdPeriod, isNew bool, now time.Time) {
	if isNew {
		c.since, c.quota = now, quota{}
	}
	switch {
	case period == c.period:
	case period.Length > 0:
		c.until, c.quota = now.Add(period.Length), quota{}
	default:
		c.until, c.since = time.Time{}, time.Time{}
	}
	c.period = period
}

// end returns when the endpoint is warm, which is before now if it is warm.
func (c *coldState) end(bound ColdBound) time.Time {
	if c.since.IsZero() {
		return c.until
	}
	return later(c.until, c.since.Add(bound.Start))
}

// SetColdBounds replaces the bounds of cold endpoints, by service. Services without one have
// no bound.
func (p *Pool) SetColdBounds(bounds map[string]ColdBound) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.coldBounds = bounds
}

// assumeCold treats the endpoints of a failure domain as cold from now, as after a time in
// which they got no requests, until the endpoint list says that a period has ended. p.mu must
// be held.
func (p *Pool) assumeCold(domain string, now time.Time) {
	for _, e := range p.endpoints {
		if e.Domain == domain {
			e.restriction.cold.since, e.restriction.cold.quota = now, quota{}
		}
	}
}

// MarkDied records that no process accepts connections at the address. The next one is cold,
// and may accept requests before the endpoint list tells of it.
func (c *Choice) MarkDied(now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	cold := &c.state.restriction.cold
	cold.since = later(cold.since, later(now, c.state.avoidUntil))
}

// ColdEndpoints returns the number of endpoints that are cold and have a bound.
func (p *Pool) ColdEndpoints(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.endpoints {
		if _, cold := p.coldAllowance(e, now); cold {
			n++
		}
	}
	return n
}

// coldAllowance returns what all instances together may send to an endpoint while it is cold.
// It reports false if the endpoint is warm or has no bound. p.mu must be held.
func (p *Pool) coldAllowance(e *endpointState, now time.Time) (Allowance, bool) {
	bound, ok := p.coldBounds[e.Service]
	if !ok || !now.Before(e.restriction.cold.end(bound)) {
		return Allowance{}, false
	}
	return bound.allowance(), true
}

// allowsCold reports whether this instance may send a request to an endpoint that may be cold.
// p.mu must be held.
func (p *Pool) allowsCold(e *endpointState, now time.Time) bool {
	a, cold := p.coldAllowance(e, now)
	return !cold || e.restriction.cold.quota.allows(e.Endpoint, a, p.share, now)
}

// takeCold counts a request to an endpoint that may be cold. p.mu must be held.
func (p *Pool) takeCold(e *endpointState, now time.Time) {
	if _, cold := p.coldAllowance(e, now); cold {
		e.restriction.cold.quota.take(now)
	}
}

// coldReadyAt returns when this instance may send a request to an endpoint that may be cold:
// the zero time if it is warm. p.mu must be held.
func (p *Pool) coldReadyAt(e *endpointState, now time.Time) time.Time {
	a, cold := p.coldAllowance(e, now)
	if !cold {
		return time.Time{}
	}
	end := e.restriction.cold.end(p.coldBounds[e.Service])
	if ready := e.restriction.cold.quota.readyAt(e.Endpoint, a, p.share, now); !ready.IsZero() && ready.Before(end) {
		return ready
	}
	return end
}
