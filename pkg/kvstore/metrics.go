package kvstore

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sony/gobreaker/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// Values of the result label, in addition to the kinds of failure.
const (
	resultOK          = "ok"
	resultBreakerOpen = "breaker-open" // the breaker rejected the attempt
)

// clientMetrics counts attempts instead of calls, because each attempt uses
// capacity of the store.
type clientMetrics struct {
	calls *prometheus.CounterVec
	bytes *prometheus.CounterVec
}

func newClientMetrics(breakerState func() gobreaker.State, reg prometheus.Registerer) (*clientMetrics, error) {
	m := &clientMetrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "clementinerack_platform_calls_total",
			Help: "Attempts of calls to the platform store by kind and result.",
		}, []string{"kind", "result"}),
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "clementinerack_platform_bytes_total",
			Help: "Body bytes exchanged with the platform store by direction.",
		}, []string{"direction"}),
	}
	breakerGauge := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "clementinerack_platform_breaker_state",
		Help: "Circuit breaker of the platform store: 0 closed, 1 half open, 2 open.",
	}, func() float64 { return float64(breakerState()) })
	if reg == nil {
		return m, nil
	}
	for _, collector := range []prometheus.Collector{m.calls, m.bytes, breakerGauge} {
		if err := reg.Register(collector); err != nil {
			return nil, errors.Wrap(err, "register metrics of the platform store client")
		}
	}
	return m, nil
}

// countResult counts an attempt that the breaker admitted.
func (m *clientMetrics) countResult(kind CallKind, err error) {
	result := resultOK
	if err != nil {
		result = string(failure.KindOf(err))
	}
	m.calls.WithLabelValues(string(kind), result).Inc()
}

// countBreakerOpen counts an attempt that the breaker rejected.
func (m *clientMetrics) countBreakerOpen(kind CallKind) {
	m.calls.WithLabelValues(string(kind), resultBreakerOpen).Inc()
}
