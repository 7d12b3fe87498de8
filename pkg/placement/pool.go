package placement

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/rendezvous"
)

const (
	// readRate is the prompt tokens that an engine reads in a millisecond while it
	// also generates; engines of the deployments so far read up to 38.
	readRate = 30.0
	// readBurden is the multiple by which reading a prompt counts more than the
	// delay of its own request: it also holds up all others at the engine.
	readBurden = 2.0
	// secondShare is the part of the shared prompt that the second endpoint in
	// rank is expected to have to read: other instances spill there too.
	secondShare = 0.6
	// inFlightCost is the delay in ms that a request in flight adds to the next.
	inFlightCost = 6.0
	// remoteCost in ms prefers the own failure domain where nothing else differs.
	remoteCost = 3.0
	// failureCost in ms is added in proportion to the recent failures.
	failureCost = 400.0
	// lagHalfLife is the age at which an observed delay or failure counts half.
	lagHalfLife = 1500 * time.Millisecond
	// mostLag in ms bounds what observed delays count. When all endpoints are late, more
	// would send prompts away from where they are cached, which makes all of them later.
	mostLag = 400.0
	// lagWeight is the weight of the newest observation.
	lagWeight = 0.5
	// downFirst and downMost bound how long an endpoint that cannot be reached is
	// left alone.
	downFirst, downMost = 500 * time.Millisecond, 4 * time.Second
	// domainDown is how long a failure domain is left alone after domainEndpoints
	// of its endpoints could not be reached in a row.
	domainDown      = 1500 * time.Millisecond
	domainEndpoints = 2
	// warmFor is how long a prompt counts as cached where it ran, and maxWarm how
	// many prompts are remembered.
	warmFor = 20 * time.Second
	maxWarm = 4096
)

// Part is one part of a prompt, in order. The last part belongs to the request
// alone.
type Part struct {
	ID     uint64
	Tokens int64
}

// Request asks for an endpoint.
type Request struct {
	Service string
	Parts   []Part
	// Exclude are ids of endpoints that must not be chosen.
	Exclude map[string]bool
}

func (r *Request) tokens() int64 {
	var n int64
	for _, p := range r.Parts {
		n += p.Tokens
	}
	return n
}

// prefixes returns one key for each shared prefix, shortest first.
func (r *Request) prefixes() []uint64 {
	if len(r.Parts) < 2 {
		return nil
	}
	keys := make([]uint64, 0, len(r.Parts)-1)
	var key uint64
	for _, p := range r.Parts[:len(r.Parts)-1] {
		key = rendezvous.Mix(key ^ p.ID)
		keys = append(keys, key)
	}
	return keys
}

// endpoint is what the pool knows of one endpoint.
type endpoint struct {
	catalog.Endpoint
	hash     uint64
	listed   bool
	inFlight int
	pending  int64 // prompt tokens sent that have not led to a first byte
	lag      trend // ms later than expected
	failures trend // share of failed requests
	downs    int   // in a row
	down     time.Time
}

// trend is a mean that loses weight with age.
type trend struct {
	value float64
	at    time.Time
}

func (t *trend) now(now time.Time) float64 {
	if t.value == 0 {
		return 0
	}
	return t.value * math.Exp2(-float64(now.Sub(t.at))/float64(lagHalfLife))
}

func (t *trend) add(v float64, now time.Time) {
	t.value = (1-lagWeight)*t.now(now) + lagWeight*v
	t.at = now
}

// domain is the state of the ways to a failure domain.
type domain struct {
	unreached map[string]bool // endpoints since the latest success
	down      time.Time
}

// Pool knows the endpoints of all services. It is safe for concurrent use.
type Pool struct {
	self string // own failure domain

	mu        sync.Mutex
	rng       *rand.Rand
	endpoints map[string]*endpoint
	services  map[string][]*endpoint
	domains   map[string]*domain
	warm      map[warmKey]time.Time
}

type warmKey struct {
	prefix   uint64
	endpoint string
}

// New returns a pool without endpoints for an instance in a failure domain.
func New(self string, seed uint64) *Pool {
	return &Pool{self: self, rng: rand.New(rand.NewPCG(seed, seed)), endpoints: map[string]*endpoint{},
		services: map[string][]*endpoint{}, domains: map[string]*domain{}, warm: map[warmKey]time.Time{}}
}

// Update applies a list. Endpoints that it lacks get no new work.
func (p *Pool) Update(list catalog.EndpointList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		e.listed = false
	}
	p.services = map[string][]*endpoint{}
	for _, c := range list.Endpoints {
		e := p.endpoints[c.ID]
		if e == nil || e.Address != c.Address || e.Started != c.Started {
			e = &endpoint{hash: hashID(c.ID)}
			p.endpoints[c.ID] = e
		}
		e.Endpoint, e.listed = c, true
		p.services[c.Service] = append(p.services[c.Service], e)
	}
	for id, e := range p.endpoints {
		if !e.listed {
			delete(p.endpoints, id)
		}
	}
}

func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum64()
}

// Choice is an endpoint with the reasons for it.
type Choice struct {
	catalog.Endpoint
	// Cost is the expected delay of the first byte in ms, Rank the place of the
	// endpoint in the order for the prompt, from 1; 0 without a shared prompt.
	Cost float64
	Rank int

	pool     *Pool
	target   *endpoint
	tokens   int64
	expected float64 // ms to read the prompt
	prefixes []uint64
	start    time.Time
	begun    bool
}

// Choose returns an endpoint and counts the request there until Done. The error
// is failure.NoEndpoint.
func (p *Pool) Choose(req Request, now time.Time) (*Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	prefixes := req.prefixes()
	first, second := p.rank(req, prefixes)
	var best *endpoint
	bestCost := math.Inf(1)
	for _, e := range p.services[req.Service] {
		if e.Draining || req.Exclude[e.ID] {
			continue
		}
		cost := p.cost(e, &req, prefixes, e == first, e == second, now) + p.rng.Float64()
		if cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return nil, failure.New(failure.NoEndpoint, "repeat later", "no endpoint of service %q accepts work", req.Service)
	}
	c := &Choice{Endpoint: best.Endpoint, Cost: bestCost, pool: p, target: best, tokens: req.tokens(), prefixes: prefixes, start: now,
		// Without own knowledge the whole prompt may have to be read, which is no
		// fault of the endpoint.
		expected: float64(p.unread(best, &req, prefixes, false, false, now)) / readRate}
	switch best {
	case first:
		c.Rank = 1
	case second:
		c.Rank = 2
	}
	best.inFlight++
	best.pending += c.tokens
	return c, nil
}

// rank returns the two endpoints that come first for the longest shared prefix.
func (p *Pool) rank(req Request, prefixes []uint64) (first, second *endpoint) {
	if len(prefixes) == 0 {
		return nil, nil
	}
	key := prefixes[len(prefixes)-1]
	weight := func(e *endpoint) uint64 { return rendezvous.Mix(e.hash ^ key) }
	for _, e := range p.services[req.Service] {
		switch {
		case e.Draining || req.Exclude[e.ID]:
		case first == nil || weight(e) > weight(first):
			first, second = e, first
		case second == nil || weight(e) > weight(second):
			second = e
		}
	}
	return first, second
}

// unread estimates the prompt tokens that an endpoint has not cached.
func (p *Pool) unread(e *endpoint, req *Request, prefixes []uint64, first, second bool, now time.Time) int64 {
	if len(req.Parts) == 0 {
		return 0
	}
	own := req.Parts[len(req.Parts)-1].Tokens
	shared := req.tokens() - own
	if first {
		return own
	}
	missing := shared
	for i := len(prefixes) - 1; i >= 0; i-- {
		if now.Sub(p.warm[warmKey{prefixes[i], e.ID}]) < warmFor {
			missing = 0
			for _, part := range req.Parts[i+1 : len(req.Parts)-1] {
				missing += part.Tokens
			}
			break
		}
	}
	if second {
		missing = int64(float64(missing) * secondShare)
	}
	return missing + own
}

// unreachableCost in ms ranks endpoints that could not be reached last.
const unreachableCost = 1e6

// cost is the expected delay in ms, in the unit of which all reasons are weighed.
func (p *Pool) cost(e *endpoint, req *Request, prefixes []uint64, first, second bool, now time.Time) float64 {
	cost := readBurden*float64(p.unread(e, req, prefixes, first, second, now))/readRate +
		float64(e.pending)/readRate/2 + float64(e.inFlight)*inFlightCost +
		min(e.lag.now(now), mostLag) + e.failures.now(now)*failureCost
	if e.Domain != p.self {
		cost += remoteCost
		if d := p.domains[e.Domain]; d != nil && now.Before(d.down) {
			cost += unreachableCost
		}
	}
	if now.Before(e.down) {
		cost += unreachableCost
	}
	return cost
}

// RecordFirstByte records the first byte of an answer.
func (c *Choice) RecordFirstByte(now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.begun {
		return
	}
	c.begun = true
	e := c.target
	e.pending -= c.tokens
	e.downs, e.down = 0, time.Time{}
	delete(c.pool.domains, e.Domain)
	late := float64(now.Sub(c.start))/float64(time.Millisecond) - c.expected
	e.lag.add(max(0, late), now)
	for _, k := range c.prefixes {
		c.pool.warm[warmKey{k, e.ID}] = now
	}
	c.pool.forgetCold(now)
}

// forgetCold bounds the memory of cached prompts.
func (p *Pool) forgetCold(now time.Time) {
	if len(p.warm) <= maxWarm {
		return
	}
	for k, at := range p.warm {
		if now.Sub(at) >= warmFor {
			delete(p.warm, k)
		}
	}
	for k := range p.warm {
		if len(p.warm) <= maxWarm/2 {
			break
		}
		delete(p.warm, k)
	}
}

// Outcome is how a request ended at its endpoint.
type Outcome int

// Outcomes of a request at an endpoint.
const (
	// Served: the endpoint gave an answer.
	Served Outcome = iota
	// Failed: the endpoint gave an error or broke off.
	Failed
	// Full: the endpoint refused the request as one too many.
	Full
	// Unreachable: no connection could be opened.
	Unreachable
	// Inconclusive: another process has the address, or the caller left.
	Inconclusive
)

// Done ends the count of the request.
func (c *Choice) Done(o Outcome, now time.Time) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	e := c.target
	e.inFlight--
	if !c.begun {
		e.pending -= c.tokens
	}
	switch o {
	case Served:
		e.failures.add(0, now)
	case Failed, Full:
		e.failures.add(1, now)
	case Unreachable:
		p.unreached(e, now)
	}
}

func (p *Pool) unreached(e *endpoint, now time.Time) {
	e.down = now.Add(min(downMost, downFirst<<min(e.downs, 4)))
	e.downs++
	if e.Domain == p.self {
		return
	}
	d := p.domains[e.Domain]
	if d == nil {
		d = &domain{unreached: map[string]bool{}}
		p.domains[e.Domain] = d
	}
	d.unreached[e.ID] = true
	if len(d.unreached) >= domainEndpoints {
		d.down = now.Add(domainDown)
	}
}

// MarkGone stops new work to an endpoint until the list shows another start.
func (p *Pool) MarkGone(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		e.down = now.Add(downMost)
	}
}
