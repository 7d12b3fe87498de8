package routing

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/platform"
)

// Priority is the class of a request. A lower number goes first.
type Priority int

// Priorities of requests.
const (
	High Priority = iota
	Normal
	Low

	priorities = int(Low) + 1
)

// Request asks for a slot on an endpoint of a service.
type Request struct {
	Service  string
	Priority Priority
	// Affinity is a hash of the prompt's prefix; 0 means none.
	Affinity uint64
	// Exclude are ids of endpoints that must not be chosen.
	Exclude map[string]bool
	// Isolate marks a request that is suspected of crashing endpoints. An
	// endpoint runs at most one of them at a time for this pool.
	Isolate bool
	// Deadline bounds the wait; the zero time means no bound but the context.
	Deadline time.Time
}

// Result is what a request reports about its endpoint.
type Result struct {
	// Duration is the time for which the slot was in use.
	Duration time.Duration
	// Failed excludes Duration from the service time estimate.
	Failed bool
}

// Load is an endpoint's own report. It lags behind.
type Load struct {
	Running, Queued int
	// AsOf is when the endpoint measured the load.
	AsOf        time.Time
	Draining    bool
	Incarnation string
}

// Options tune a Pool. Zero fields get defaults.
type Options struct {
	// Concurrency is the limit per endpoint of services that set none.
	Concurrency int
	// QueueLimit is the most waiting requests of one service.
	QueueLimit int
	// LoadHalfLife is the age at which reported load counts half.
	LoadHalfLife time.Duration
	// SpillMargin is the load by which the preferred endpoint of a prefix may
	// exceed the second one before the request goes to the second one.
	SpillMargin float64
	// Seed makes the random choices reproducible; 0 takes a random seed.
	Seed uint64
	// Now is the clock; the default is time.Now.
	Now func() time.Time
}

const (
	defaultConcurrency  = 64
	defaultQueueLimit   = 1024
	defaultLoadHalfLife = 2 * time.Second // endpoints are polled about once a second
	defaultSpillMargin  = 4               // less than the cost of computing a long prefix again
)

func (o Options) withDefaults() Options {
	if o.Concurrency <= 0 {
		o.Concurrency = defaultConcurrency
	}
	if o.QueueLimit <= 0 {
		o.QueueLimit = defaultQueueLimit
	}
	if o.LoadHalfLife <= 0 {
		o.LoadHalfLife = defaultLoadHalfLife
	}
	if o.SpillMargin <= 0 {
		o.SpillMargin = defaultSpillMargin
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Pool holds the endpoints of all services. It is safe for concurrent use.
type Pool struct {
	domain string
	opts   Options
	stats  *stats

	mu        sync.Mutex
	rng       *rand.Rand
	services  map[string]*service
	endpoints map[string]*endpoint // by id; includes removed ones that still have slots in use
	leaving   map[string]bool      // ids that the platform's latest list shows as leaving
}

// New returns an empty pool of an instance in the given failure domain. A nil
// reg leaves the metrics unregistered.
func New(domain string, opts Options, reg prometheus.Registerer) *Pool {
	opts = opts.withDefaults()
	return &Pool{
		domain: domain, opts: opts, stats: newStats(reg),
		rng:      rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		services: map[string]*service{}, endpoints: map[string]*endpoint{}, leaving: map[string]bool{},
	}
}

// service is the endpoints, queue and recent service time of one service.
type service struct {
	name      string
	limit     int
	endpoints []*endpoint
	queue     [priorities][]*waiter
	times     serviceTime
}

func (s *service) queued() int {
	n := 0
	for _, q := range s.queue {
		n += len(q)
	}
	return n
}

// Update applies a configuration document. Slots in use on endpoints that the
// document no longer names stay valid until they are released.
func (p *Pool) Update(doc *config.Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		e.listed, e.drains[SourceOperator] = false, false
	}
	old := p.services
	p.services = make(map[string]*service, len(doc.Services))
	for _, cfg := range doc.Services {
		s := old[cfg.Name]
		if s == nil {
			s = &service{name: cfg.Name}
		}
		delete(old, cfg.Name)
		s.limit = cfg.Concurrency
		if s.limit <= 0 {
			s.limit = p.opts.Concurrency
		}
		s.endpoints = s.endpoints[:0]
		for _, ec := range cfg.Endpoints {
			s.endpoints = append(s.endpoints, p.list(ec))
		}
		p.services[cfg.Name] = s
	}
	for _, id := range doc.Drained {
		if e := p.endpoints[id]; e != nil {
			e.drains[SourceOperator] = true
		}
	}
	for _, s := range old {
		s.endpoints = nil
		p.dispatch(s, true) // refuses every waiter of the removed service
		p.stats.queued.DeleteLabelValues(s.name)
	}
	for id, e := range p.endpoints {
		if !e.listed && e.inFlight == 0 {
			p.forget(id)
		}
	}
	p.reconsider()
}

func (p *Pool) list(cfg config.Endpoint) *endpoint {
	e := p.endpoints[cfg.ID]
	if e == nil {
		e = &endpoint{hash: hashID(cfg.ID)}
		e.drains[SourcePlatform] = p.leaving[cfg.ID]
		p.endpoints[cfg.ID] = e
	} else if e.cfg.Address != cfg.Address {
		e.reset() // another process answers there
	}
	e.cfg, e.listed = cfg, true
	return e
}

func (p *Pool) forget(id string) {
	delete(p.endpoints, id)
	p.stats.inFlight.DeleteLabelValues(id)
}

// Observe records an endpoint's load report. A report that is older than the
// latest one, or from an incarnation that was replaced, is ignored.
func (p *Pool) Observe(endpointID string, l Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[endpointID]
	if e == nil {
		return
	}
	drains, down := e.drains, e.downUntil
	e.observe(l)
	if e.drains != drains || e.downUntil != down {
		p.reconsider()
	}
}

// Drain stops new work to an endpoint. SourceEndpoint holds until a new
// incarnation of the endpoint shows; SourceOperator until the next Update and
// SourcePlatform until the next SetPlatformList that do not repeat it.
func (p *Pool) Drain(endpointID string, src Source) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[endpointID]; e != nil {
		e.drain(src)
		p.reconsider()
	}
}

// SetPlatformList applies the platform's instance list. Endpoints are matched by
// id; an endpoint that the list does not name is not leaving.
func (p *Pool) SetPlatformList(list []platform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.leaving)
	for _, i := range list {
		if i.State == platform.Leaving {
			p.leaving[i.ID] = true
		}
	}
	for id, e := range p.endpoints {
		e.drains[SourcePlatform] = p.leaving[id]
	}
	p.reconsider()
}

// MarkDown stops new work to an endpoint until the given time. A time that is
// not in the future marks it up again.
func (p *Pool) MarkDown(endpointID string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[endpointID]; e != nil {
		e.downUntil = until
		p.reconsider()
	}
}

// Slot is the right to send one request to an endpoint.
type Slot struct {
	Endpoint config.Endpoint

	pool    *Pool
	service *service
	target  *endpoint
	isolate bool
	once    sync.Once
}

// Release returns the slot. Only the first call counts.
func (s *Slot) Release(r Result) {
	s.once.Do(func() { s.pool.release(s, r) })
}

func (p *Pool) release(s *Slot, r Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := s.target
	e.inFlight--
	if s.isolate {
		e.isolated = false
	}
	p.stats.inFlight.WithLabelValues(e.cfg.ID).Set(float64(e.inFlight))
	if !r.Failed {
		s.service.times.add(r.Duration)
	}
	if !e.listed && e.inFlight == 0 && p.endpoints[e.cfg.ID] == e {
		p.forget(e.cfg.ID)
	}
	p.offerRoom()
}

// waiter is a request in a queue. The pool's mutex guards done, slot and err
// until ready is closed.
type waiter struct {
	req   Request
	ready chan struct{}
	slot  *Slot
	err   error
}

func (w *waiter) finish(slot *Slot, err error) {
	w.slot, w.err = slot, err
	close(w.ready)
}

// Acquire waits for a slot. Its errors are failure.NoEndpoint when no endpoint
// accepts the request, failure.Limited when the queue is full or the deadline
// cannot be met by waiting, and failure.Timeout when the deadline passes or ctx
// ends. No error means that anything was sent to an endpoint.
func (p *Pool) Acquire(ctx context.Context, req Request) (*Slot, error) {
	req.Priority = min(max(req.Priority, High), Low)
	if err := ctx.Err(); err != nil {
		return nil, timeout(req, "the request was cancelled before it was queued")
	}
	slot, w, err := p.enter(req)
	if w != nil {
		slot, err = p.wait(ctx, w)
	}
	p.stats.count(req.Service, err)
	return slot, err
}

// enter gives a slot at once, refuses, or queues.
func (p *Pool) enter(req Request) (*Slot, *waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Now()
	s := p.services[req.Service]
	if s == nil {
		return nil, nil, noEndpoint(req)
	}
	if !req.Deadline.IsZero() && !now.Before(req.Deadline) {
		return nil, nil, timeout(req, "the deadline passed before an endpoint was chosen")
	}
	e, usable := p.choose(s, req, now)
	if e != nil {
		return p.take(s, e, req), nil, nil
	}
	if usable == 0 {
		return nil, nil, noEndpoint(req)
	}
	if !s.canMeet(req, usable, now) {
		return nil, nil, failure.New(failure.Limited, "repeat later or allow more time",
			"service %q cannot start the request before its deadline", req.Service)
	}
	if s.queued() >= p.opts.QueueLimit && !s.displace(req) {
		return nil, nil, queueFull(req)
	}
	w := &waiter{req: req, ready: make(chan struct{})}
	s.queue[req.Priority] = append(s.queue[req.Priority], w)
	p.stats.queued.WithLabelValues(s.name).Set(float64(s.queued()))
	return nil, w, nil
}

func (p *Pool) wait(ctx context.Context, w *waiter) (*Slot, error) {
	var expired <-chan time.Time
	if !w.req.Deadline.IsZero() {
		t := time.NewTimer(w.req.Deadline.Sub(p.opts.Now()))
		defer t.Stop()
		expired = t.C
	}
	for {
		recheck := p.recheckTimer(w)
		select {
		case <-w.ready:
			recheck.Stop()
			return w.slot, w.err
		case <-recheck.C:
			p.mu.Lock()
			p.offerRoom()
			p.mu.Unlock()
			continue
		case <-expired:
		case <-ctx.Done():
		}
		recheck.Stop()
		return p.leave(w)
	}
}

// maxRecheck bounds the time after which a waiter looks again by itself.
const maxRecheck = time.Minute

// recheckTimer fires when the next endpoint of the service is no longer marked
// down, since no other event wakes the queue then.
func (p *Pool) recheckTimer(w *waiter) *time.Timer {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, wait := p.opts.Now(), maxRecheck
	if s := p.services[w.req.Service]; s != nil {
		for _, e := range s.endpoints {
			if d := e.downUntil.Sub(now); d > 0 {
				wait = min(wait, d)
			}
		}
	}
	return time.NewTimer(wait)
}

// leave removes a waiter whose time is over. A slot that it got at the same
// moment is used.
func (p *Pool) leave(w *waiter) (*Slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-w.ready:
		return w.slot, w.err
	default:
	}
	if s := p.services[w.req.Service]; s != nil {
		q := &s.queue[w.req.Priority]
		*q = slices.DeleteFunc(*q, func(o *waiter) bool { return o == w })
		p.stats.queued.WithLabelValues(s.name).Set(float64(s.queued()))
	}
	return nil, timeout(w.req, "the time of the request ended in the queue")
}

func (p *Pool) take(s *service, e *endpoint, req Request) *Slot {
	e.inFlight++
	e.isolated = e.isolated || req.Isolate
	p.stats.inFlight.WithLabelValues(e.cfg.ID).Set(float64(e.inFlight))
	return &Slot{Endpoint: e.cfg, pool: p, service: s, target: e, isolate: req.Isolate}
}

// reconsider serves and refuses waiters of all services after the set of usable
// endpoints may have changed.
func (p *Pool) reconsider() {
	for _, s := range p.services {
		p.dispatch(s, true)
	}
}

// offerRoom serves waiters after a slot became free.
func (p *Pool) offerRoom() {
	for _, s := range p.services {
		p.dispatch(s, false)
	}
}

// dispatch serves the queue by priority, then by arrival. A waiter that only
// excluded or isolated endpoints hold up does not block those behind it. Unless
// all waiters are to be looked at, it stops when no endpoint has room, since a
// long queue under overload would otherwise be searched at each release.
func (p *Pool) dispatch(s *service, all bool) {
	if s.queued() == 0 {
		return
	}
	now := p.opts.Now()
	room := s.hasRoom(now)
	for i := range s.queue {
		s.queue[i] = slices.DeleteFunc(s.queue[i], func(w *waiter) bool {
			if !room && !all {
				return false
			}
			e, usable := p.choose(s, w.req, now)
			switch {
			case e != nil:
				w.finish(p.take(s, e, w.req), nil)
				room = s.hasRoom(now)
			case usable == 0:
				w.finish(nil, noEndpoint(w.req))
			default:
				return false
			}
			return true
		})
	}
	p.stats.queued.WithLabelValues(s.name).Set(float64(s.queued()))
}

// hasRoom reports whether any endpoint could take a request without conditions.
func (s *service) hasRoom(now time.Time) bool {
	return slices.ContainsFunc(s.endpoints, func(e *endpoint) bool {
		return e.hasRoom(s.limit, Request{}) && e.usable(Request{}, now)
	})
}

// displace refuses the latest waiter of the lowest class below req to make room.
func (s *service) displace(req Request) bool {
	for c := Low; c > req.Priority; c-- {
		if n := len(s.queue[c]); n > 0 {
			w := s.queue[c][n-1]
			s.queue[c] = s.queue[c][:n-1]
			w.finish(nil, queueFull(w.req))
			return true
		}
	}
	return false
}

func noEndpoint(req Request) error {
	return failure.New(failure.NoEndpoint, "repeat later or ask the operators",
		"no endpoint of service %q accepts work", req.Service)
}

func queueFull(req Request) error {
	return failure.New(failure.Limited, "repeat later", "the queue of service %q is full", req.Service)
}

func timeout(req Request, message string) error {
	return failure.New(failure.Timeout, "allow more time", "service %q: %s", req.Service, message)
}
