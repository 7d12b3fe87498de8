package node

import (
	"maps"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/placement"
)

// domainWatcher passes the failure domains out of use to the pool, and checks the allowed
// regions of declarations. Calls of update come one at a time.
type domainWatcher struct {
	pool    *placement.Pool
	regions []string // that failure domains are in
	log     logrus.FieldLogger
	outOf   *prometheus.GaugeVec
	shown   map[string]bool // domains with a gauge
}

func newDomainWatcher(pool *placement.Pool, opts Options) *domainWatcher {
	w := &domainWatcher{pool: pool, regions: slices.Collect(maps.Values(opts.Regions)), log: opts.Log, shown: map[string]bool{}}
	if opts.TracksDomains {
		pool.RequireDomains()
		w.outOf = promauto.With(opts.Registry).NewGaugeVec(prometheus.GaugeOpts{Name: "clementinerack_failure_domain_out_of_use",
			Help: "1 for failure domains out of use, 0 for others that this instance knows."}, []string{"failure_domain"})
		for domain := range opts.Regions {
			w.shown[domain] = true
		}
	}
	return w
}

// update is OnDomains of package catalog.
func (w *domainWatcher) update(set catalog.DomainSet) {
	names := make([]string, 0, len(set.Out))
	for _, d := range set.Out {
		names = append(names, d.Name)
		w.shown[d.Name] = true
	}
	w.pool.SetDomainsOut(names, time.Now())
	if w.outOf == nil {
		return
	}
	for domain := range w.shown {
		value := 0.0
		if slices.Contains(names, domain) {
			value = 1
		}
		w.outOf.WithLabelValues(domain).Set(value)
	}
}

// maxLoggedProblems bounds the lines about the allowed regions of one version.
const maxLoggedProblems = 20

// checkRegions logs the contradictions in the allowed regions of new declarations.
func (w *domainWatcher) checkRegions(d *catalog.Document) {
	problems := catalog.RegionProblems(d, w.regions)
	for _, p := range problems[:min(maxLoggedProblems, len(problems))] {
		w.log.WithFields(logrus.Fields{"version": d.Version, "route": p.Route, "workspace": p.Workspace, "problem": p.Message, "problems": len(problems)}).
			Error("the allowed regions of the declarations contradict each other or the settings; such requests are refused")
	}
}
