package placement

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/limits"
)

// Allowance is what all instances together may send to an endpoint. In any time, the sum is at
// most what PerSecond allows in that time and Senders.
type Allowance struct {
	// PerSecond is the number of requests per second.
	PerSecond float64
	// Senders is the largest number of instances that send requests. Each may have one at
	// hand when its turn has not come for long.
	Senders int
}

// Share returns the requests per second that this instance may send to an endpoint, as its
// part of an allowance. It must be fast: the pool calls it under its mutex.
type Share func(endpoint catalog.Endpoint, a Allowance, now time.Time) float64

const (
	// minLimit replaces lower limits, in requests per second. An endpoint that takes nothing
	// would never be asked again, and only its answers tell that the limit has ended.
	minLimit = 0.2
	// maxLimit replaces higher limits, in requests per second. No instance sends as many.
	maxLimit = 1e6
	// extraSenders is added to a limit, in requests per second, to get the number of senders.
	extraSenders = 3
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
	quota     quota
}

// Allowance returns what all instances together may send to an endpoint that takes PerSecond
// requests a second.
func (l Limit) Allowance() Allowance { return allowanceOf(l.PerSecond) }

func allowanceOf(perSecond float64) Allowance {
	return Allowance{PerSecond: perSecond, Senders: int(perSecond) + extraSenders}
}

// quota is the part of an allowance that this instance has. The zero value is empty.
type quota struct {
	bucket   *rate.Limiter
	sharedAt time.Time // when the share was computed
}

// refresh brings the rate of the bucket up to date with the share of this instance.
func (q *quota) refresh(e catalog.Endpoint, a Allowance, share Share, now time.Time) {
	if q.bucket == nil {
		q.bucket = rate.NewLimiter(0, 0)
	}
	if now.Sub(q.sharedAt) < shareTTL {
		return
	}
	own := a.PerSecond
	switch {
	case a.Senders <= 0:
		own = 0
	case share != nil:
		own = share(e, a, now)
	}
	q.sharedAt = now
	burst := 0
	if own > 0 {
		burst = max(1, int(own*burstWindow.Seconds()))
	}
	q.bucket.SetLimitAt(now, rate.Limit(own))
	q.bucket.SetBurstAt(now, burst)
}

// allows reports whether this instance may send a request to the endpoint at time now.
func (q *quota) allows(e catalog.Endpoint, a Allowance, share Share, now time.Time) bool {
	q.refresh(e, a, share, now)
	return q.bucket.TokensAt(now) >= 1
}

// take counts a request that is sent at time now.
func (q *quota) take(now time.Time) { q.bucket.AllowN(now, 1) }

// readyAt returns when the quota allows the next request, or the zero time if this instance
// has no part of the allowance.
func (q *quota) readyAt(e catalog.Endpoint, a Allowance, share Share, now time.Time) time.Time {
	q.refresh(e, a, share, now)
	own := float64(q.bucket.Limit())
	if own <= 0 {
		return time.Time{}
	}
	missing := max(0, 1-q.bucket.TokensAt(now))
	return now.Add(limits.Duration(missing/own, time.Second))
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
		l.quota.sharedAt = time.Time{}
	}
	return changed
}

// clear records that there is no limit as of the time at and reports whether that is new.
func (l *limit) clear(at time.Time) (changed bool) {
	changed = l.isSet
	l.isSet, l.learnedAt, l.quota = false, at, quota{}
	return changed
}

// allows reports whether this instance may send a request to the endpoint at time now.
func (l *limit) allows(e catalog.Endpoint, share Share, now time.Time) bool {
	return !l.isSet || l.quota.allows(e, allowanceOf(l.perSecond), share, now)
}

// take counts a request that is sent at time now.
func (l *limit) take(now time.Time) {
	if l.isSet {
		l.quota.take(now)
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
