package placement

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/clementinerack/clementinerack/pkg/catalog"
)

// Share returns the requests per second that this instance may send to an endpoint that
// takes perSecond from all instances together. It must be fast: the pool calls it under its
// mutex.
type Share func(endpoint catalog.Endpoint, perSecond float64) float64

const (
	// minLimit replaces lower limits, in requests per second. An endpoint that takes nothing
	// would never be asked again, and only its answers tell that the limit has ended.
	minLimit = 0.2
	// maxLimit replaces higher limits, in requests per second. No instance sends as many.
	maxLimit = 1e6
	// shareTTL is how long a share is used before it is computed again.
	shareTTL = 500 * time.Millisecond
	// burstWindow is the time whose requests may be sent at once.
	burstWindow = 500 * time.Millisecond
)

// limit is what an endpoint has said about the requests that it takes from all instances
// together, and the part of them that this instance may send.
type limit struct {
	isSet     bool
	perSecond float64
	// learnedAt is the time of the latest answer that says so, here or at the instance that
	// reported it; zero if nothing was ever said.
	learnedAt time.Time
	isNews    bool // learned here and not yet taken by Pool.LimitNews
	bucket    *rate.Limiter
	sharedAt  time.Time // when the share was computed
}

// set records a limit, within its bounds, as of the time at and reports whether that is new.
func (l *limit) set(perSecond float64, at time.Time) (changed bool) {
	perSecond = min(perSecond, maxLimit)
	if !(perSecond >= minLimit) { // or is no number
		perSecond = minLimit
	}
	changed = !l.isSet || perSecond != l.perSecond
	l.isSet, l.perSecond, l.learnedAt = true, perSecond, at
	if changed {
		l.sharedAt = time.Time{}
	}
	return changed
}

// clear records that there is no limit as of the time at and reports whether that is new.
func (l *limit) clear(at time.Time) (changed bool) {
	changed = l.isSet
	l.isSet, l.learnedAt, l.bucket = false, at, nil
	return changed
}

// allows reports whether this instance may send a request to the endpoint at time now.
func (l *limit) allows(e catalog.Endpoint, share Share, now time.Time) bool {
	if !l.isSet {
		return true
	}
	if l.bucket == nil {
		l.bucket = rate.NewLimiter(0, 0)
	}
	if now.Sub(l.sharedAt) >= shareTTL {
		own := l.perSecond
		if share != nil {
			own = share(e, l.perSecond)
		}
		l.sharedAt = now
		burst := 0
		if own > 0 {
			burst = max(1, int(own*burstWindow.Seconds()))
		}
		l.bucket.SetLimitAt(now, rate.Limit(own))
		l.bucket.SetBurstAt(now, burst)
	}
	return l.bucket.TokensAt(now) >= 1
}

// take counts a request that is sent at time now.
func (l *limit) take(now time.Time) {
	if l.isSet {
		l.bucket.AllowN(now, 1)
	}
}

// SetLimit records that the endpoint takes perSecond requests from all instances together.
func (c *Choice) SetLimit(perSecond float64, now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	l := &c.state.restriction.limit
	l.isNews = l.set(perSecond, now) || l.isNews
}

// ClearLimit records that the endpoint named no limit in its answer to the request. An answer
// to a request that was sent before the limit was last named may be older than that.
func (c *Choice) ClearLimit(now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if l := &c.state.restriction.limit; c.chosenAt.After(l.learnedAt) && !l.learnedAt.IsZero() {
		l.isNews = l.clear(now) || l.isNews
	}
}

// Limit is what an instance knows of the limit of one endpoint.
type Limit struct {
	Endpoint catalog.Endpoint
	// IsSet means that the endpoint takes PerSecond requests from all instances together;
	// otherwise the limit that it named before has ended.
	IsSet     bool
	PerSecond float64
	// LearnedAt is the time of the answer that said so.
	LearnedAt time.Time
}

// limitOf returns the state of an endpoint as a Limit.
func limitOf(e *endpointState) Limit {
	l := &e.restriction.limit
	return Limit{Endpoint: e.Endpoint, IsSet: l.isSet, PerSecond: l.perSecond, LearnedAt: l.learnedAt}
}

// LimitNews returns the limits that have changed here since the last call, because of
// answers to requests of this instance.
func (p *Pool) LimitNews() []Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	var news []Limit
	for _, e := range p.endpoints {
		if l := &e.restriction.limit; l.isNews {
			l.isNews = false
			news = append(news, limitOf(e))
		}
	}
	return news
}

// StaleLimits returns the limits that no answer has confirmed for a time of age.
func (p *Pool) StaleLimits(age time.Duration, now time.Time) []Limit {
	p.mu.Lock()
	defer p.mu.Unlock()
	var stale []Limit
	for _, e := range p.endpoints {
		if l := &e.restriction.limit; l.isSet && now.Sub(l.learnedAt) >= age {
			stale = append(stale, limitOf(e))
		}
	}
	return stale
}

// KnownLimit returns what is known of the limit of an endpoint. It reports false if it never
// named one or is another process.
func (p *Pool) KnownLimit(endpoint catalog.Endpoint) (Limit, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.findProcess(endpoint)
	if e == nil || e.restriction.limit.learnedAt.IsZero() {
		return Limit{}, false
	}
	return limitOf(e), true
}

// AdoptLimit records what another instance knows of a limit, unless an answer that came later
// says otherwise.
func (p *Pool) AdoptLimit(known Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.findProcess(known.Endpoint)
	if e == nil || !known.LearnedAt.After(e.restriction.limit.learnedAt) {
		return
	}
	if known.IsSet {
		e.restriction.limit.set(known.PerSecond, known.LearnedAt)
	} else {
		e.restriction.limit.clear(known.LearnedAt)
	}
}

// findProcess returns the state of an endpoint, or nil if its process is not listed. p.mu
// must be held.
func (p *Pool) findProcess(endpoint catalog.Endpoint) *endpointState {
	if e := p.endpoints[endpoint.ID]; e != nil && e.Address == endpoint.Address && e.Started == endpoint.Started {
		return e
	}
	return nil
}
