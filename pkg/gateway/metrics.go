package gateway

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
	attempts *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	return &metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{Name: "clementinerack_gateway_requests_total",
			Help: "Requests by kind of route and result."}, []string{"kind", "result"}),
		duration: f.NewHistogramVec(prometheus.HistogramOpts{Name: "clementinerack_gateway_request_seconds",
			Help: "Time from the arrival of a request to its end.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)}, []string{"kind"}),
		attempts: f.NewCounterVec(prometheus.CounterOpts{Name: "clementinerack_gateway_attempts_total",
			Help: "Attempts at endpoints by result."}, []string{"result"}),
	}
}

func (m *metrics) request(kind, result string, took time.Duration) {
	m.requests.WithLabelValues(kind, result).Inc()
	m.duration.WithLabelValues(kind).Observe(took.Seconds())
}

func (m *metrics) attempt(result string) {
	name, _, _ := strings.Cut(result, ":") // the cause is for the log
	m.attempts.WithLabelValues(name).Inc()
}
