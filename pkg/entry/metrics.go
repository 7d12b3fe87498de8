package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

type metrics struct {
	requests     *prometheus.CounterVec
	firstByte    *prometheus.HistogramVec
	truncated    *prometheus.CounterVec
	retries      *prometheus.CounterVec
	attach       *prometheus.CounterVec
	overReported *prometheus.CounterVec
	dropped      prometheus.Counter
	pending      prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "clementinerack", Subsystem: "entry", Name: name, Help: help}, labels)
	}
	m := &metrics{
		requests:     counter("requests_total", "Requests of callers, by service, outcome and kind of error.", "service", "outcome", "kind"),
		truncated:    counter("truncated_total", "Answers that ended early after they had begun.", "service"),
		retries:      counter("retries_total", "Retries at another endpoint.", "service"),
		attach:       counter("attach_total", "Attaches to a running request, by result.", "result"),
		overReported: counter("over_reported_total", "Streams whose engine reported more tokens than were reserved.", "service"),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "clementinerack", Subsystem: "entry", Name: "first_byte_seconds",
			Help:    "Time from the arrival of a request to the first part of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14)}, []string{"service"}), // 1 ms to 8 s
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "clementinerack", Subsystem: "entry", Name: "settles_dropped_total",
			Help: "Settlements that the owner rejected permanently or that were pending when the instance stopped."}),
		pending: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "clementinerack", Subsystem: "entry", Name: "pending_settles",
			Help: "Settlements that the owner has not confirmed yet."}),
	}
	if reg != nil {
		reg.MustRegister(m.requests, m.firstByte, m.truncated, m.retries, m.attach, m.overReported, m.dropped, m.pending)
	}
	return m
}

func (m *metrics) countRequest(service string, err *failure.Error) {
	outcome, kind := failure.Answered, failure.Kind("none")
	if err != nil {
		outcome, kind = err.Outcome, err.Kind
	}
	m.requests.WithLabelValues(service, string(outcome), string(kind)).Inc()
}
