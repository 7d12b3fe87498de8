package shard

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/clementinerack/clementinerack/pkg/ledger"
)

type metrics struct {
	decisions         *prometheus.CounterVec
	takeovers         prometheus.Counter
	handovers         prometheus.Counter
	lostEpochs        prometheus.Counter
	recalls           prometheus.Counter
	granted           prometheus.Counter
	returned          prometheus.Counter
	billLines         prometheus.Counter
	storeCallsLimited prometheus.Counter
	grantErrors       *prometheus.CounterVec
	owned             prometheus.Gauge
	backups           prometheus.Gauge
	unprotected       prometheus.Gauge
	blocked           prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: "clementinerack_shard_" + name, Help: help})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Name: "clementinerack_shard_" + name, Help: help})
	}
	m := &metrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "clementinerack_shard_decisions_total", Help: "Decisions on requests by the owner of a shard."}, []string{"decision"}),
		grantErrors: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "clementinerack_shard_grant_errors_total", Help: "Failed calls to the store for rights, by kind of error."}, []string{"kind"}),
		takeovers:         counter("takeovers_total", "Attempts to take over a shard without a live owner."),
		handovers:         counter("handovers_total", "Shards received from a stopping or loaded owner."),
		lostEpochs:        counter("lost_epochs_total", "Epochs whose state was lost with both replicas."),
		storeCallsLimited: counter("asks_limited_total", "Requests refused by the limit of store calls for unknown or exhausted budgets."),
		recalls:           counter("recalls_total", "Returns of idle rights that another domain requested."),
		granted:           counter("granted_tokens_total", "Rights requested from budgets, in tokens."),
		returned:          counter("returned_tokens_total", "Rights returned to budgets, in tokens."),
		billLines:         counter("bill_lines_total", "Bill lines confirmed by the store."),
		owned:             gauge("owned", "Shards that this instance serves."),
		backups:           gauge("backups", "Shards of which this instance is the backup."),
		unprotected:       gauge("unprotected", "Served shards without a backup."),
		blocked:           gauge("blocked", "Served shards with replies that wait for the backup."),
	}
	if reg != nil {
		reg.MustRegister(m.decisions, m.grantErrors, m.takeovers, m.handovers, m.lostEpochs, m.recalls, m.storeCallsLimited,
			m.granted, m.returned, m.billLines, m.owned, m.backups, m.unprotected, m.blocked)
	}
	return m
}

// updateGauges sets the gauges from the current replicas.
func (m *metrics) updateGauges(replicas map[int]*replica) {
	var owned, backups, unprotected, blocked float64
	for _, r := range replicas {
		switch r.role {
		case roleBackup:
			backups++
		case roleOwner:
			owned++
			if len(r.links) == 0 {
				unprotected++
			}
			if len(r.replicationWaiters) > 0 {
				blocked++
			}
		}
	}
	m.owned.Set(owned)
	m.backups.Set(backups)
	m.unprotected.Set(unprotected)
	m.blocked.Set(blocked)
}

var decisionNames = map[ledger.Decision]string{
	ledger.Admitted: "admitted", ledger.Running: "running", ledger.Answered: "answered",
	ledger.AnswerDropped: "answer-dropped", ledger.OutcomeUnknown: "unknown", ledger.Mismatch: "mismatch",
	ledger.Exhausted: "exhausted", ledger.Refused: "refused",
}

func decisionName(d ledger.Decision) string { return decisionNames[d] }
