package routing

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
)

// EndpointView is the state of one endpoint of a service.
type EndpointView struct {
	Service  string
	Endpoint config.Endpoint
	// InFlight is the number of this pool's slots in use, and Limit bounds it.
	InFlight, Limit int
	// Queued is the number of waiting requests of the service.
	Queued int
	// Load is the latest report of the endpoint.
	Load Load
	// Drains are the sources that currently drain the endpoint.
	Drains []DrainSource
	// DownUntil is when a MarkDown of the endpoint ends; it may have passed. It is
	// zero if the endpoint was not marked down.
	DownUntil time.Time
}

// View returns the state of all endpoints of the current document. Those of one
// service are in the document's order; the order of services is unspecified.
func (p *Pool) View() []EndpointView {
	p.mu.Lock()
	defer p.mu.Unlock()
	var views []EndpointView
	for _, svc := range p.services {
		for _, e := range svc.endpoints {
			v := EndpointView{
				Service: svc.name, Endpoint: e.cfg, InFlight: e.inFlight, Limit: svc.maxInFlight,
				Queued: svc.queue.Len(), Load: e.load, DownUntil: e.downUntil,
			}
			for src, drained := range e.drains {
				if drained {
					v.Drains = append(v.Drains, DrainSource(src))
				}
			}
			views = append(views, v)
		}
	}
	return views
}

type metrics struct {
	results     *prometheus.CounterVec
	queueLength *prometheus.GaugeVec
	inFlight    *prometheus.GaugeVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	return &metrics{
		results: f.NewCounterVec(prometheus.CounterOpts{
			Name: "clementinerack_routing_acquires_total",
			Help: "Requests for a slot, by service and result.",
		}, []string{"service", "result"}),
		queueLength: f.NewGaugeVec(prometheus.GaugeOpts{
			Name: "clementinerack_routing_queue_length",
			Help: "Requests waiting for a slot, by service.",
		}, []string{"service"}),
		inFlight: f.NewGaugeVec(prometheus.GaugeOpts{
			Name: "clementinerack_routing_in_flight",
			Help: "Slots in use, by endpoint.",
		}, []string{"endpoint"}),
	}
}

func (m *metrics) countAcquire(service string, err error) {
	result := "ok"
	if err != nil {
		result = string(failure.KindOf(err))
	}
	m.results.WithLabelValues(service, result).Inc()
}
