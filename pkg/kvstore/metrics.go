package kvstore

import (
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sony/gobreaker/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// Values of the result label besides the kinds of failure.
const (
	resultOK      = "ok"
	resultRefused = "breaker-open" // the call was not sent
)

// clientMetrics counts calls at the level of attempts, because the store's
// capacity is consumed by attempts.
type clientMetrics struct {
	calls *prometheus.CounterVec
	bytes *prometheus.CounterVec
}

func newClientMetrics(breaker func() gobreaker.State, reg prometheus.Registerer) (*clientMetrics, error) {
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
	state := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "clementinerack_platform_breaker_state",
		Help: "Circuit breaker of the platform store: 0 closed, 1 half open, 2 open.",
	}, func() float64 { return float64(breaker()) })
	if reg == nil {
		return m, nil
	}
	for _, collector := range []prometheus.Collector{m.calls, m.bytes, state} {
		if err := reg.Register(collector); err != nil {
			return nil, errors.Wrap(err, "register the metrics of the platform store")
		}
	}
	return m, nil
}

func (m *clientMetrics) count(kind CallKind, err error) {
	result := resultOK
	if err != nil {
		result = string(failure.KindOf(err))
	}
	m.calls.WithLabelValues(string(kind), result).Inc()
}

func (m *clientMetrics) countRefused(kind CallKind) {
	m.calls.WithLabelValues(string(kind), resultRefused).Inc()
}
