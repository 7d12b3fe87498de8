package config

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Sources of documents, as metric labels.
const (
	sourceStore  = "store"
	sourcePeer   = "peer"
	sourceChange = "change"
)

type replicaMetrics struct {
	generation    prometheus.Gauge
	adopted       *prometheus.CounterVec
	refused       *prometheus.CounterVec
	republished   prometheus.Counter
	diverged      prometheus.Counter
	watchFailures prometheus.Counter
	fetchFailures prometheus.Counter
}

func newReplicaMetrics(reg prometheus.Registerer) replicaMetrics {
	f := promauto.With(reg)
	counter := func(name, help string) prometheus.Counter {
		return f.NewCounter(prometheus.CounterOpts{Name: "clementinerack_config_" + name, Help: help})
	}
	bySource := func(name, help string) *prometheus.CounterVec {
		return f.NewCounterVec(prometheus.CounterOpts{Name: "clementinerack_config_" + name, Help: help}, []string{"source"})
	}
	return replicaMetrics{
		generation:    f.NewGauge(prometheus.GaugeOpts{Name: "clementinerack_config_generation", Help: "Generation of the configuration in force; 0 means none."}),
		adopted:       bySource("adopted_total", "Documents put in force, by source."),
		refused:       bySource("refused_total", "Documents refused as invalid or of an unknown format, by source."),
		republished:   counter("republished_total", "Times that an older document in the store was replaced."),
		diverged:      counter("diverged_total", "Observations of a stored document that differs from the one in force at the same generation."),
		watchFailures: counter("watch_failures_total", "Failed watches of the store."),
		fetchFailures: counter("fetch_failures_total", "Failed fetches from peers."),
	}
}
