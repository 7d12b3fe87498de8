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
	// InFlight counts the slots of this pool in use, Limit bounds them.
	InFlight, Limit int
	// Queued counts the waiting requests of the service.
	Queued int
	Load   Load
	// Drains are the sources that stop new work.
	Drains []DrainSource
	// DownUntil is the zero time when the endpoint was not marked down.
	DownUntil time.Time
}

// View returns all endpoints of the current document in its order of endpoints
// within a service.
func (p *Pool) View() []EndpointView {
	p.mu.Lock()
	defer p.mu.Unlock()
	var views []EndpointView
	for _, s := range p.services {
		for _, e := range s.endpoints {
			v := EndpointView{
				Service: s.name, Endpoint: e.cfg, InFlight: e.inFlight, Limit: s.limit,
				Queued: s.queued(), Load: e.load, DownUntil: e.downUntil,
			}
			for src, on := range e.drains {
				if on {
					v.Drains = append(v.Drains, DrainSource(src))
				}
			}
			views = append(views, v)
		}
	}
	return views
}

type stats struct {
	results  *prometheus.CounterVec
	queued   *prometheus.GaugeVec
	inFlight *prometheus.GaugeVec
}

func newStats(reg prometheus.Registerer) *stats {
	f := promauto.With(reg)
	return &stats{
		results: f.NewCounterVec(prometheus.CounterOpts{
			Name: "clementinerack_routing_acquires_total",
			Help: "Requests for a slot by service and result.",
		}, []string{"service", "result"}),
		queued: f.NewGaugeVec(prometheus.GaugeOpts{
			Name: "clementinerack_routing_queue_length",
			Help: "Requests that wait for a slot, by service.",
		}, []string{"service"}),
		inFlight: f.NewGaugeVec(prometheus.GaugeOpts{
			Name: "clementinerack_routing_in_flight",
			Help: "Slots in use, by endpoint.",
		}, []string{"endpoint"}),
	}
}

func (s *stats) count(service string, err error) {
	result := "ok"
	if err != nil {
		result = string(failure.KindOf(err))
	}
	s.results.WithLabelValues(service, result).Inc()
}
