package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

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
		e.listed, e.drains[DrainSourceOperator] = false, false
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
			e.drains[DrainSourceOperator] = true
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
		e.drains[DrainSourcePlatform] = p.leaving[cfg.ID]
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
func (p *Pool) Drain(endpointID string, src DrainSource) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[endpointID]; e != nil {
		e.drain(src)
		p.reconsider()
	}
}

// SetPlatformList applies the platform's instance list. Endpoints are matched by
// id; an endpoint that the list does not name is not leaving.
func (p *Pool) SetPlatformList(list []kvstore.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.leaving)
	for _, i := range list {
		if i.State == kvstore.Leaving {
			p.leaving[i.ID] = true
		}
	}
	for id, e := range p.endpoints {
		e.drains[DrainSourcePlatform] = p.leaving[id]
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
