package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/placement"
)

// coldBounds returns the bounds of the services that state what a cold endpoint tolerates,
// by name.
func coldBounds(services []catalog.Service, limit ColdLimit) map[string]placement.ColdBound {
	bounds := map[string]placement.ColdBound{}
	for _, s := range services {
		if s.ColdPerSecond > 0 && limit != (ColdLimit{}) {
			bounds[s.Name] = placement.ColdBound{Start: s.ColdStart, PerSecond: s.ColdPerSecond, Overrun: limit.Overrun, Tolerance: limit.Tolerance}
		}
	}
	return bounds
}

// registerColdEndpoints registers the number of cold endpoints as a metric.
func registerColdEndpoints(pool *placement.Pool, reg prometheus.Registerer) {
	promauto.With(reg).NewGaugeFunc(prometheus.GaugeOpts{
		Name: "clementinerack_placement_cold_endpoints",
		Help: "Endpoints to which requests are bounded because they are cold.",
	}, func() float64 { return float64(pool.ColdEndpoints(time.Now())) })
}
