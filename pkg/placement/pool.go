package placement

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/rendezvous"
	"github.com/clementinerack/clementinerack/pkg/tokens"
)

const (
	// prefillTokensPerMs is the number of prompt tokens that an engine processes per
	// millisecond while it also generates. The fastest engine of the known
	// deployments processes 38.
	prefillTokensPerMs = 30.0
	// prefillCostFactor weighs prefill time against the delay of the request itself,
	// because prefill also delays every other request on the engine.
	prefillCostFactor = 2.0
	// secondUncachedShare is the fraction of the shared prompt that the second-ranked
	// endpoint is expected to miss in its cache. It is below 1 because other
	// instances spill the same prompt to that endpoint.
	secondUncachedShare = 0.6
	// inFlightCostMs is the delay that each request in flight adds to the next one.
	inFlightCostMs = 6.0
	// remoteDomainCostMs is added to endpoints of other failure domains, so that the
	// local domain is preferred among otherwise equal endpoints.
	remoteDomainCostMs = 3.0
	// failureCostMs is multiplied by the recent failure rate of the endpoint.
	failureCostMs = 400.0
	// observationHalfLife is the age at which an observed lag or failure counts half.
	observationHalfLife = 1500 * time.Millisecond
	// maxLagMs caps the observed lag in the cost. When all endpoints are overloaded, a
	// higher cap would move prompts away from the endpoints that have them cached,
	// and the additional prefill would slow down all of them further.
	maxLagMs = 400.0
	// newestWeight is the weight of the newest observation in a decayingMean.
	newestWeight = 0.5
	// minBackoffDelay and maxBackoffDelay bound how long an unreachable endpoint is
	// avoided. The delay doubles with each consecutive failed connection.
	minBackoffDelay, maxBackoffDelay = 500 * time.Millisecond, 4 * time.Second
	// domainBackoffDelay is how long a failure domain is avoided once
	// minUnreachableEndpoints of its endpoints were unreachable without a success in
	// between.
	domainBackoffDelay      = 1500 * time.Millisecond
	minUnreachableEndpoints = 2
	// prefixTTL is how long a prompt prefix counts as cached at an endpoint that
	// processed it. maxCachedPrefixes bounds the remembered pairs of prefix and
	// endpoint.
	prefixTTL         = 20 * time.Second
	maxCachedPrefixes = 4096
	// newVersionDelay is how long after it was first listed a software version gets no
	// requests with MayBegin, so that all instances that read the list know it by then. It
	// exceeds catalog.MaxConfirmationGap.
	newVersionDelay = 2 * time.Second
)

// Part is one segment of a prompt, with its length in tokens. Requests share
// leading parts with equal IDs; the last part is specific to one request.
type Part struct {
	ID     uint64
	Tokens tokens.Count
}

// Request describes a request that needs an endpoint.
type Request struct {
	Service string
	// Parts are the parts of the prompt in order. They are empty if the request has
	// no prompt.
	Parts []Part
	// Exclude holds the IDs of endpoints that must not be chosen.
	Exclude map[string]bool
	// Version is the software version that endpoints must have, or nil if all will do.
	Version *string
	// MayBegin reports whether the request may begin at endpoints of a software version. Other
	// endpoints, and those of a version that was listed less than newVersionDelay ago, are
	// chosen only if no other accepts work. It is nil if all versions will do.
	MayBegin func(version string) bool
	// Regions are lists of allowed regions. Each one that is not empty must contain the region
	// of the endpoint's failure domain.
	Regions [][]string

	returnKey uint64 // see Pool.returnKey
}

func (r *Request) promptTokens() tokens.Count { return sumTokens(r.Parts) }

// sumTokens returns the length of parts together.
func sumTokens(parts []Part) tokens.Count {
	var n tokens.Count
	for _, p := range parts {
		n = n.Plus(p.Tokens)
	}
	return n
}

// prefixKeys returns one key per shared prefix of the prompt, shortest first.
func (r *Request) prefixKeys() []uint64 {
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

// endpointState is the state that the pool keeps for one endpoint.
type endpointState struct {
	catalog.Endpoint
	hash             uint64
	listed           bool
	restriction      *restriction
	inFlight         int
	pendingTokens    tokens.Count // prompt tokens of requests without a first byte
	lagMs            decayingMean // delay of the first byte beyond the expected prefill time
	failureRate      decayingMean // fraction of failed requests
	unreachableCount int          // consecutive failed connections
	avoidUntil       time.Time
}

// decayingMean is an exponentially weighted mean that decays towards zero with
// observationHalfLife.
type decayingMean struct {
	value     float64
	updatedAt time.Time
}

func (m *decayingMean) valueAt(now time.Time) float64 {
	if m.value == 0 {
		return 0
	}
	return m.value * math.Exp2(-float64(now.Sub(m.updatedAt))/float64(observationHalfLife))
}

func (m *decayingMean) observe(v float64, now time.Time) {
	m.value = (1-newestWeight)*m.valueAt(now) + newestWeight*v
	m.updatedAt = now
}

// domainState is the reachability of a failure domain.
type domainState struct {
	unreachable map[string]bool // IDs of endpoints, since the latest success in the domain
	avoidUntil  time.Time
}

// Pool holds the endpoints of all services and chooses among them. It is safe for
// concurrent use.
type Pool struct {
	localDomain string
	share       Share // nil if this instance is the only one

	mu           sync.Mutex
	rng          *rand.Rand
	endpoints    map[string]*endpointState
	services     map[string][]*endpointState
	domains      map[string]*domainState
	cachedAt     map[cachedPrefix]time.Time // time of the latest first byte
	restrictions map[incarnation]*restriction
	versions     map[serviceVersion]time.Time // when it was first listed, zero for those of the first list
	use          domainUse
	coldBounds   map[string]ColdBound // by service
	spread       map[string]bool      // services whose prefixes may be spread
	instances    func() int           // set together with spread
	prefixLoads  prefixLoads
}

// serviceVersion is a software version of a service.
type serviceVersion struct{ service, version string }

// cachedPrefix is a prompt prefix that an endpoint has processed.
type cachedPrefix struct {
	prefix   uint64 // key of the prefix
	endpoint string // ID of the endpoint
}

// New returns an empty pool for an instance in the failure domain localDomain. The
// seed determines the choice among endpoints of nearly equal cost. share may be nil if there
// is no other instance.
func New(localDomain string, seed uint64, share Share) *Pool {
	return &Pool{localDomain: localDomain, share: share, rng: rand.New(rand.NewPCG(seed, seed)), endpoints: map[string]*endpointState{},
		services: map[string][]*endpointState{}, domains: map[string]*domainState{}, cachedAt: map[cachedPrefix]time.Time{},
		restrictions: map[incarnation]*restriction{}, versions: map[serviceVersion]time.Time{},
		use: domainUse{backAt: map[string]time.Time{}}, prefixLoads: prefixLoads{}}
}

// Update replaces the list of endpoints at time now. An endpoint whose address or start
// time has changed is a new process and starts without history.
func (p *Pool) Update(list catalog.EndpointList, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		e.listed = false
	}
	p.services = map[string][]*endpointState{}
	isFirst := len(p.restrictions) == 0
	p.updateVersions(list, now)
	for _, entry := range list.Endpoints {
		e, isNew := p.endpoints[entry.ID], false
		if e == nil || e.Address != entry.Address || e.Started != entry.Started {
			_, known := p.restrictions[incarnationOf(entry)]
			isNew = !known && !isFirst
			e = &endpointState{hash: hashID(entry.ID), restriction: p.restrictionOf(entry, now)}
			p.endpoints[entry.ID] = e
		}
		e.restriction.cold.update(entry.Cold, isNew, now)
		e.Endpoint, e.listed = entry, true
		e.restriction.isLeaving = e.restriction.isLeaving || entry.Draining
		p.services[entry.Service] = append(p.services[entry.Service], e)
	}
	for id, e := range p.endpoints {
		if !e.listed {
			delete(p.endpoints, id)
		}
	}
	p.forgetRestrictions(now)
}

// updateVersions records when the software versions of a list were first listed.
func (p *Pool) updateVersions(list catalog.EndpointList, now time.Time) {
	if len(p.versions) == 0 {
		now = time.Time{} // nothing is known of the time before
	}
	versions := map[serviceVersion]time.Time{}
	for _, e := range list.Endpoints {
		v := serviceVersion{e.Service, e.SoftwareVersion}
		since, known := p.versions[v]
		if !known {
			since = now
		}
		versions[v] = since
	}
	p.versions = versions
}

func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum64()
}

// Choice is a chosen endpoint, with the estimates that led to it.
type Choice struct {
	catalog.Endpoint
	// Cost is the estimated cost of the endpoint in ms, with less than 1 ms of
	// random noise.
	Cost float64
	// Rank is the position of the endpoint in the rendezvous order for the shared prompt, or
	// 0 if it is none of those that are expected to have it cached.
	Rank int

	pool              *Pool
	state             *endpointState
	promptTokens      tokens.Count
	expectedPrefillMs float64
	prefixKeys        []uint64
	chosenAt          time.Time
	hasFirstByte      bool
}

// Choose returns the endpoint with the lowest estimated cost and counts the
// request as in flight there until Done is called. It fails with
// failure.NoEndpoint if the service has no endpoint that accepts work.
func (p *Pool) Choose(req Request, now time.Time) (*Choice, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	prefixKeys := req.prefixKeys()
	req.returnKey = p.returnKey(prefixKeys)
	ranked := p.rankEndpoints(&req, prefixKeys, now)
	var best *endpointState
	bestCost := math.Inf(1)
	for _, e := range p.services[req.Service] {
		if !p.accepts(e, &req, now) {
			continue
		}
		// Less than 1 ms of noise spreads requests over endpoints of equal cost.
		rank := ranked.rank(e)
		cost := p.estimateCostMs(e, &req, prefixKeys, ranked.isFirst(rank), ranked.isSecond(rank), now) + p.rng.Float64()
		if !p.mayBegin(&req, e, now) {
			cost += newVersionCostMs
		}
		if !p.isReturned(e, &req, now) {
			cost += returningCostMs
		}
		if cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil {
		return nil, p.noEndpointError(&req, now)
	}
	c := &Choice{Endpoint: best.Endpoint, Cost: bestCost, pool: p, state: best, promptTokens: req.promptTokens(), prefixKeys: prefixKeys, chosenAt: now,
		// The rank only predicts what other instances have cached there. A prompt that
		// this instance has not seen cached may need a full prefill, which must not
		// count as lag of the endpoint.
		expectedPrefillMs: float64(p.estimateUncachedTokens(best, &req, prefixKeys, false, false, now)) / prefillTokensPerMs}
	c.Rank = ranked.rank(best)
	best.restriction.limit.take(now)
	p.takeCold(best, now)
	best.inFlight++
	best.pendingTokens = best.pendingTokens.Plus(c.promptTokens)
	return c, nil
}

// isAvailable reports whether the endpoint accepts the request from this instance at time now.
func (p *Pool) isAvailable(e *endpointState, req *Request, now time.Time) bool {
	if req.Version != nil && *req.Version != e.SoftwareVersion {
		return false
	}
	return e.restriction.allows(now) && !req.Exclude[e.ID] && e.restriction.limit.allows(e.Endpoint, p.share, now) && p.allowsCold(e, now)
}

// mayBegin reports whether the request may begin at an endpoint although others accept work.
func (p *Pool) mayBegin(req *Request, e *endpointState, now time.Time) bool {
	if req.MayBegin == nil {
		return true
	}
	return req.MayBegin(e.SoftwareVersion) && now.Sub(p.versions[serviceVersion{e.Service, e.SoftwareVersion}]) >= newVersionDelay
}

// estimateUncachedTokens estimates how many prompt tokens are missing in the cache
// of an endpoint. The first-ranked endpoint is assumed to have the whole shared
// prompt cached.
func (p *Pool) estimateUncachedTokens(e *endpointState, req *Request, prefixKeys []uint64, isFirst, isSecond bool, now time.Time) tokens.Count {
	if len(req.Parts) == 0 {
		return 0
	}
	unshared := req.Parts[len(req.Parts)-1].Tokens
	shared := sumTokens(req.Parts[:len(req.Parts)-1])
	if isFirst {
		return unshared
	}
	uncached := shared
	for i := len(prefixKeys) - 1; i >= 0; i-- {
		if now.Sub(p.cachedAt[cachedPrefix{prefixKeys[i], e.ID}]) < prefixTTL {
			uncached = sumTokens(req.Parts[i+1 : len(req.Parts)-1])
			break
		}
	}
	if isSecond {
		uncached = tokens.FromFloat(float64(uncached) * secondUncachedShare)
	}
	return uncached.Plus(unshared)
}

// unreachableCostMs ranks unreachable endpoints and domains behind all others,
// without excluding them.
const unreachableCostMs = 1e6

// newVersionCostMs ranks endpoints at which a request should not begin behind all others that
// can be reached.
const newVersionCostMs = unreachableCostMs / 2

// estimateCostMs estimates the delay of the first byte at an endpoint in ms. All
// other criteria are converted to ms and added.
func (p *Pool) estimateCostMs(e *endpointState, req *Request, prefixKeys []uint64, isFirst, isSecond bool, now time.Time) float64 {
	cost := prefillCostFactor*float64(p.estimateUncachedTokens(e, req, prefixKeys, isFirst, isSecond, now))/prefillTokensPerMs +
		float64(e.pendingTokens)/prefillTokensPerMs/2 + float64(e.inFlight)*inFlightCostMs +
		min(e.lagMs.valueAt(now), maxLagMs) + e.failureRate.valueAt(now)*failureCostMs
	if e.Domain != p.localDomain {
		cost += remoteDomainCostMs
		if d := p.domains[e.Domain]; d != nil && now.Before(d.avoidUntil) {
			cost += unreachableCostMs
		}
	}
	if now.Before(e.avoidUntil) {
		cost += unreachableCostMs
	}
	return cost
}

// RecordFirstByte records the arrival of the first byte of the response. It updates
// the lag of the endpoint, marks the prompt as cached there and ends the backoff of
// the endpoint and of its failure domain. Later calls have no effect.
func (c *Choice) RecordFirstByte(now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.hasFirstByte {
		return
	}
	c.hasFirstByte = true
	e := c.state
	e.pendingTokens = e.pendingTokens.Excess(c.promptTokens)
	e.unreachableCount, e.avoidUntil = 0, time.Time{}
	delete(c.pool.domains, e.Domain)
	lateMs := float64(now.Sub(c.chosenAt))/float64(time.Millisecond) - c.expectedPrefillMs
	e.lagMs.observe(max(0, lateMs), now)
	for _, k := range c.prefixKeys {
		c.pool.cachedAt[cachedPrefix{k, e.ID}] = now
	}
	c.pool.evictPrefixes(now)
}

// evictPrefixes removes expired prefixes once there are more than
// maxCachedPrefixes, and arbitrary ones down to half of the bound if that does not
// suffice.
func (p *Pool) evictPrefixes(now time.Time) {
	if len(p.cachedAt) <= maxCachedPrefixes {
		return
	}
	for k, at := range p.cachedAt {
		if now.Sub(at) >= prefixTTL {
			delete(p.cachedAt, k)
		}
	}
	for k := range p.cachedAt {
		if len(p.cachedAt) <= maxCachedPrefixes/2 {
			break
		}
		delete(p.cachedAt, k)
	}
}

// Outcome is how a request ended at its endpoint.
type Outcome int

// Outcomes of a request at an endpoint.
const (
	// Served means that the endpoint sent a complete response.
	Served Outcome = iota
	// Failed means that the endpoint reported an error or that its response was
	// incomplete.
	Failed
	// Full means that the endpoint refused the request for lack of capacity.
	Full
	// Unreachable means that no connection could be opened.
	Unreachable
	// Inconclusive means that the outcome says nothing about the endpoint: the
	// request was not sent, the caller has disconnected, or another process answers
	// at the address.
	Inconclusive
)

// Done ends the request at its endpoint and records the outcome. It must be called
// exactly once.
func (c *Choice) Done(outcome Outcome, now time.Time) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	e := c.state
	e.inFlight--
	if !c.hasFirstByte {
		e.pendingTokens = e.pendingTokens.Excess(c.promptTokens)
	}
	switch outcome {
	case Served:
		e.failureRate.observe(0, now)
	case Failed, Full:
		e.failureRate.observe(1, now)
	case Unreachable:
		p.recordUnreachable(e, now)
	}
}

// recordUnreachable starts or extends the backoff of an endpoint and, if enough
// endpoints of a remote failure domain are unreachable, of that domain. The local
// domain as a whole is never avoided.
func (p *Pool) recordUnreachable(e *endpointState, now time.Time) {
	e.avoidUntil = now.Add(min(maxBackoffDelay, minBackoffDelay<<min(e.unreachableCount, 4)))
	e.unreachableCount++
	if e.Domain == p.localDomain {
		return
	}
	d := p.domains[e.Domain]
	if d == nil {
		d = &domainState{unreachable: map[string]bool{}}
		p.domains[e.Domain] = d
	}
	d.unreachable[e.ID] = true
	if len(d.unreachable) >= minUnreachableEndpoints {
		d.avoidUntil = now.Add(domainBackoffDelay)
	}
}

// MarkMoved avoids an endpoint for maxBackoffDelay because another process now has
// the listed address. An update of the list with a new start time ends
// this earlier.
func (p *Pool) MarkMoved(id string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		e.avoidUntil = now.Add(maxBackoffDelay)
	}
}
