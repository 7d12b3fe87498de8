//go:build bench

package policy

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/clementinerack/clementinerack/pkg/kvstore/kvstoretest"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// TestPolicy runs each system in each scenario and writes the results. It fails if
// a budget is overspent.
func TestPolicy(t *testing.T) {
	candidates := baselines
	if *compareGrantPolicies {
		candidates = grantPolicies
	}
	rank := map[string]int{}
	for i, c := range candidates {
		rank[c.name] = i
	}
	var mu sync.Mutex
	var rows []row
	for _, dep := range deployments {
		for i, sc := range scenarios {
			for _, c := range candidates {
				t.Run(strings.Join([]string{dep.name, sc.name, c.name}, "/"), func(t *testing.T) {
					t.Parallel()
					start := time.Now()
					r := measure(t, dep, sc, c)
					r.scenarioIndex, r.RealSeconds = i, time.Since(start).Seconds()
					mu.Lock()
					defer mu.Unlock()
					rows = append(rows, r)
					slices.SortFunc(rows, func(a, b row) int { return compareRows(a, b, rank) })
					// Writing after each run keeps the results of an interrupted benchmark.
					if err := writeResults(*outputPath, rows); err != nil {
						t.Error(err)
					}
				})
			}
		}
	}
}

// startupDelay is the time in which all shards get an owner before the demand
// starts.
const startupDelay = 20 * time.Second

// measure runs a scenario with one system on a fake clock.
func measure(t *testing.T, dep deployment, sc scenario, c candidate) (r row) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		sim := &simulation{deployment: dep, scenario: sc, store: kvstoretest.NewFake()}
		sim.store.SetResponseDelay(storeLatency)
		sim.driver = &driver{system: c.build(sim), deployment: dep, demandWeight: sc.demandWeight(dep), budgetCount: cmp.Or(sc.budgetCount, defaultBudgetCount), accounts: map[ledger.BudgetKey]*account{}}
		if sim.fleet != nil {
			sim.fleet.ctx = ctx
			for n := range instancesPerDomain {
				for _, domain := range dep.domains {
					sim.fleet.start(domain, n+1)
				}
			}
			defer sim.fleet.shutdown()
			sleep(ctx, startupDelay)
		}
		for n := range sim.driver.budgetCount {
			sim.driver.topUp(ctx, n, "first", sim.driver.demand(n, sc.fundedDuration))
		}
		r = sim.run(ctx)
		r.System, r.Deployment, r.Scenario = c.name, dep.name, sc.name
		cancel()
	})
	if r.Overspend > 0 {
		t.Errorf("%s, %s, %s: overspend of %d tokens", dep.name, sc.name, c.name, r.Overspend)
	}
	return r
}
