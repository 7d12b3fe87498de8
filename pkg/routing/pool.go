package routing

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/clementinerack/clementinerack/pkg/admission"
	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

// Pool holds the endpoints of all services. It is safe for concurrent use.
type Pool struct {
	domain  string
	opts    Options
	metrics *metrics

	mu        sync.Mutex
	rng       *rand.Rand
	services  map[string]*service
	endpoints map[string]*endpoint // by id; includes removed ones that still have slots in use
	leaving   map[string]bool      // ids that the platform's latest list shows as leaving
}

// New returns an empty pool for an instance in the given failure domain. If reg is
// nil, the metrics are not registered.
func New(domain string, opts Options, reg prometheus.Registerer) *Pool {
	opts = opts.withDefaults()
	return &Pool{
		domain: domain, opts: opts, metrics: newMetrics(reg),
		rng:      rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		services: map[string]*service{}, endpoints: map[string]*endpoint{}, leaving: map[string]bool{},
	}
}

// service holds the endpoints, the queue and the service time estimate of one
// service.
type service struct {
	name        string
	maxInFlight int
	endpoints   []*endpoint
	queue       *admission.Queue[*waiter]
	serviceTime admission.Mean
}

// Update applies a configuration document. Slots in use on endpoints that the
// document no longer names stay valid until they are released.
func (p *Pool) Update(doc *config.Document) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		e.listed, e.drains[DrainSourceOperator] = false, false
	}
	previous := p.services
	p.services = make(map[string]*service, len(doc.Services))
	for _, cfg := range doc.Services {
		svc := previous[cfg.Name]
		if svc == nil {
			svc = &service{name: cfg.Name, queue: admission.NewQueue[*waiter](p.opts.QueueLimit)}
		}
		delete(previous, cfg.Name)
		svc.maxInFlight = cfg.Concurrency
		if svc.maxInFlight <= 0 {
			svc.maxInFlight = p.opts.Concurrency
		}
		svc.endpoints = svc.endpoints[:0]
		for _, endpointCfg := range cfg.Endpoints {
			svc.endpoints = append(svc.endpoints, p.addEndpoint(endpointCfg))
		}
		p.services[cfg.Name] = svc
	}
	for _, id := range doc.Drained {
		if e := p.endpoints[id]; e != nil {
			e.drains[DrainSourceOperator] = true
		}
	}
	for _, svc := range previous {
		svc.endpoints = nil
		p.dispatchQueue(svc, true) // refuses every waiter of the removed service
		p.metrics.queueLength.DeleteLabelValues(svc.name)
	}
	for id, e := range p.endpoints {
		if !e.listed && e.inFlight == 0 {
			p.removeEndpoint(id)
		}
	}
	p.dispatchAll()
}

func (p *Pool) addEndpoint(cfg config.Endpoint) *endpoint {
	e := p.endpoints[cfg.ID]
	if e == nil {
		e = &endpoint{hash: hashID(cfg.ID)}
		e.drains[DrainSourcePlatform] = p.leaving[cfg.ID]
		p.endpoints[cfg.ID] = e
	} else if e.cfg.Address != cfg.Address {
		e.reset() // the new address belongs to another process
	}
	e.cfg, e.listed = cfg, true
	return e
}

func (p *Pool) removeEndpoint(id string) {
	delete(p.endpoints, id)
	p.metrics.inFlight.DeleteLabelValues(id)
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
	oldDrains, oldDownUntil := e.drains, e.downUntil
	e.applyReport(l)
	if e.drains != oldDrains || e.downUntil != oldDownUntil {
		p.dispatchAll()
	}
}

// Drain stops new work to an endpoint. A drain by DrainSourceEndpoint ends when a
// new incarnation of the endpoint reports. One by DrainSourceOperator ends with the
// next Update, and one by DrainSourcePlatform with the next SetPlatformList, that
// does not repeat it.
func (p *Pool) Drain(endpointID string, src DrainSource) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[endpointID]; e != nil {
		e.drain(src)
		p.dispatchAll()
	}
}

// SetPlatformList applies the platform's instance list. Endpoints are matched by
// id. An endpoint that is not in the list counts as not leaving.
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
	p.dispatchAll()
}

// MarkDown stops new work to an endpoint until the given time. A time that is not
// in the future ends an earlier MarkDown.
func (p *Pool) MarkDown(endpointID string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[endpointID]; e != nil {
		e.downUntil = until
		p.dispatchAll()
	}
}

// Slot allows its holder to send one request to an endpoint. It must be released.
type Slot struct {
	Endpoint config.Endpoint

	pool    *Pool
	service *service
	target  *endpoint
	isolate bool
	once    sync.Once
}

// Release returns the slot to the pool. Only the first call has an effect.
func (s *Slot) Release(r Result) {
	s.once.Do(func() { s.pool.release(s, r) })
}

func (p *Pool) release(slot *Slot, r Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := slot.target
	e.inFlight--
	if slot.isolate {
		e.runsIsolated = false
	}
	p.metrics.inFlight.WithLabelValues(e.cfg.ID).Set(float64(e.inFlight))
	if !r.Failed {
		slot.service.serviceTime.Add(r.Duration)
	}
	if !e.listed && e.inFlight == 0 && p.endpoints[e.cfg.ID] == e {
		p.removeEndpoint(e.cfg.ID)
	}
	p.dispatchFreeSlots()
}
