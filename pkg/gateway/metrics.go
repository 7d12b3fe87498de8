package gateway

import (
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/upstream"
)

type metrics struct {
	requests  *prometheus.CounterVec
	responses *prometheus.CounterVec
	unserved  *prometheus.CounterVec
	duration  *prometheus.HistogramVec
	attempts  *prometheus.CounterVec
	// foreignResponses counts responses to other requests, which endpoints sent again.
	foreignResponses                     prometheus.Counter
	secondAttempts, secondAttemptsDenied *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer, client *upstream.Client) *metrics {
	f := promauto.With(reg)
	f.NewGaugeFunc(prometheus.GaugeOpts{Name: "clementinerack_gateway_response_memory_bytes",
		Help: "Bytes that long responses under way hold of their budget."}, func() float64 { return float64(client.MemoryUsed()) })
	return &metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{Name: "clementinerack_gateway_requests_total",
			Help: "Number of requests, by route kind and result."}, []string{"kind", "result"}),
		responses: f.NewCounterVec(prometheus.CounterOpts{Name: "clementinerack_gateway_responses_total",
			Help: "Number of responses to callers, by how far they had got when their request ended: untouched, partial or whole."}, []string{"state"}),
		unserved: f.NewCounterVec(prometheus.CounterOpts{Name: "clementinerack_gateway_unserved_total",
			Help: "Number of requests that were refused or failed, by cause, workspace and route kind."}, []string{"cause", "workspace", "kind"}),
		duration: f.NewHistogramVec(prometheus.HistogramOpts{Name: "clementinerack_gateway_request_seconds",
			Help: "Duration of requests in seconds, by route kind.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 12)}, []string{"kind"}),
		attempts: f.NewCounterVec(prometheus.CounterOpts{Name: "clementinerack_gateway_attempts_total",
			Help: "Number of attempts to send a request to an endpoint, by result."}, []string{"result"}),
		secondAttempts: f.NewCounterVec(prometheus.CounterOpts{Name: "clementinerack_gateway_second_attempts_total",
			Help: "Number of second attempts beside a slow first one: won if they served the caller, lost if the first one did, else failed."}, []string{"result"}),
		secondAttemptsDenied: f.NewCounterVec(prometheus.CounterOpts{Name: "clementinerack_gateway_second_attempts_denied_total",
			Help: "Number of requests with a slow first attempt that got no second one, by cause."}, []string{"cause"}),
		foreignResponses: f.NewCounter(prometheus.CounterOpts{Name: "clementinerack_gateway_foreign_responses_total",
			Help: "Number of responses to other requests that arrived before the response to a request on its connection."}),
	}
}

func (m *metrics) observeRequest(kind, result string, duration time.Duration) {
	m.requests.WithLabelValues(kind, result).Inc()
	m.duration.WithLabelValues(kind).Observe(duration.Seconds())
}

func (m *metrics) observeUnserved(cause failure.Cause, workspace, kind string) {
	m.unserved.WithLabelValues(string(cause), workspace, kind).Inc()
}

func (m *metrics) observeAttempt(result string) {
	name, _, _ := strings.Cut(result, ":") // the cause after the colon has too many values for a label
	m.attempts.WithLabelValues(name).Inc()
}
