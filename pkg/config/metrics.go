package config

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Sources of documents, used as metric labels and log fields.
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
	factory := promauto.With(reg)
	counter := func(name, help string) prometheus.Counter {
		return factory.NewCounter(prometheus.CounterOpts{Name: "clementinerack_config_" + name, Help: help})
	}
	bySource := func(name, help string) *prometheus.CounterVec {
		return factory.NewCounterVec(prometheus.CounterOpts{Name: "clementinerack_config_" + name, Help: help}, []string{"source"})
	}
	return replicaMetrics{
		generation:    factory.NewGauge(prometheus.GaugeOpts{Name: "clementinerack_config_generation", Help: "Generation of the current configuration; 0 means none."}),
		adopted:       bySource("adopted_total", "Documents adopted as the current configuration, by source."),
		refused:       bySource("refused_total", "Documents refused as invalid or of an unknown format, by source."),
		republished:   counter("republished_total", "Replacements of an older document in the store."),
		diverged:      counter("diverged_total", "Reads of a stored document that differs from the current one of the same generation."),
		watchFailures: counter("watch_failures_total", "Failed watches of the store."),
		fetchFailures: counter("fetch_failures_total", "Failed fetches from peers."),
	}
}
