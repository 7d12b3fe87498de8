package lineage

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

type metrics struct {
	resolutions *prometheus.CounterVec
	writes      *prometheus.CounterVec
}

func newMetrics(reg prometheus.Registerer) *metrics {
	f := promauto.With(reg)
	return &metrics{
		resolutions: f.NewCounterVec(prometheus.CounterOpts{Name: "clementinerack_lineage_resolutions_total",
			Help: "Number of streams that were taken up again, by how their origin became known."}, []string{"result"}),
		writes: f.NewCounterVec(prometheus.CounterOpts{Name: "clementinerack_lineage_writes_total",
			Help: "Number of writes to the store, by what was written and the result."}, []string{"content", "result"}),
	}
}

// observeWrite counts a write; content is versions, streams or removal.
func (m *metrics) observeWrite(content string, err error) {
	result := "written"
	if err != nil {
		result = string(failure.KindOf(err))
	}
	m.writes.WithLabelValues(content, result).Inc()
}
