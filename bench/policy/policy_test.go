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

// TestPolicy measures; it fails only when a budget was overspent.
func TestPolicy(t *testing.T) {
	candidates := baselines
	if *variants {
		candidates = policies
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
					r.order, r.RealSeconds = i, time.Since(start).Seconds()
					mu.Lock()
					defer mu.Unlock()
					rows = append(rows, r)
					slices.SortFunc(rows, func(a, b row) int { return compareRows(a, b, rank) })
					// A run that is stopped keeps the rows that it has.
					if err := save(*out, rows); err != nil {
						t.Error(err)
					}
				})
			}
		}
	}
}

// settleTime lets the shards find their owners before the demand starts.
const settleTime = 20 * time.Second

func measure(t *testing.T, dep deployment, sc scenario, c candidate) (r row) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{dep: dep, scenario: sc, store: kvstoretest.NewFake()}
		w.store.SetResponseDelay(storeLatency)
		w.driver = &driver{sys: c.build(w), dep: dep, weights: sc.weights(dep), budgets: cmp.Or(sc.budgets, tenBudgets), accounts: map[ledger.BudgetKey]*account{}}
		if w.fleet != nil {
			w.fleet.ctx = ctx
			for n := range instancesPerDomain {
				for _, domain := range dep.domains {
					w.fleet.start(domain, n+1)
				}
			}
			defer w.fleet.end()
			sleep(ctx, settleTime)
		}
		for n := range w.driver.budgets {
			w.driver.pay(ctx, n, "first", w.driver.demand(n, sc.paidFor))
		}
		r = w.run(ctx)
		r.System, r.Deployment, r.Scenario = c.name, dep.name, sc.name
		cancel()
	})
	if r.Overspend > 0 {
		t.Errorf("%s, %s, %s: overspend of %d tokens", dep.name, sc.name, c.name, r.Overspend)
	}
	return r
}
