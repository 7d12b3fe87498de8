//go:build bench

package policy

import (
	"context"
	"time"
)

// scenario is a demand, an opening budget and faults over time.
type scenario struct {
	name string
	// paidFor is how long the opening budget lasts at the mean demand.
	paidFor time.Duration
	length  time.Duration
	// budgets is the number of equal budgets; 0 means the 10 ordinary ones.
	budgets int
	weights func(dep deployment) func(domain string, budget int, at time.Duration) float64
	// faults runs beside the demand; f is nil for a baseline without instances.
	faults func(ctx context.Context, w *world)
}

// steady draws on each budget equally from each domain.
func steady(deployment) func(string, int, time.Duration) float64 {
	return func(string, int, time.Duration) float64 { return 1 }
}

const (
	moveEvery = 3 * time.Minute
	moveShare = 0.85
)

// moving concentrates the demand of each large budget on one domain and moves it
// to the next one every few minutes.
func moving(dep deployment) func(string, int, time.Duration) float64 {
	n := len(dep.domains)
	return func(domain string, budget int, at time.Duration) float64 {
		if budget >= largeBudgets {
			return 1
		}
		hot := (budget + int(at/moveEvery)) % n
		if dep.domains[hot] == domain {
			return moveShare * float64(n)
		}
		return (1 - moveShare) * float64(n) / float64(n-1)
	}
}

// faultAt is when the fault of a scenario begins: the policy has seen five half
// lives of its demand average by then.
const (
	faultAt     = 10 * time.Minute
	faultLength = 10 * time.Minute
	topUpAfter  = 3 * time.Minute
)

// manyBudgets gives each budget about the demand that one of 230,000 budgets has
// at 5,000 requests/s: one request in 46 s.
const manyBudgets = 5500

var scenarios = []scenario{
	{name: "healthy", paidFor: 2 * time.Hour, length: 15 * time.Minute, weights: steady},
	{name: "many rarely used budgets", paidFor: 24 * time.Hour, length: 15 * time.Minute, budgets: manyBudgets, weights: steady},
	{name: "end of a budget", paidFor: 10 * time.Minute, length: 13 * time.Minute, weights: steady},
	{name: "demand moves between domains", paidFor: 18 * time.Minute, length: 15 * time.Minute, weights: moving},
	{name: "10 min cut, top-up on one side", paidFor: 45 * time.Minute, length: 22 * time.Minute, weights: steady, faults: cutWithTopUp},
	{name: "10 min cut of a tight budget", paidFor: 21 * time.Minute, length: 22 * time.Minute, weights: steady, faults: cutWithTopUp},
	{name: "10 min store outage", paidFor: 45 * time.Minute, length: 22 * time.Minute, weights: steady, faults: storeOutage},
	{name: "instance crash", paidFor: time.Hour, length: 13 * time.Minute, weights: steady, faults: crash},
	{name: "rolling replacement", paidFor: time.Hour, length: 15 * time.Minute, weights: steady, faults: rolling},
}

// cutWithTopUp cuts the first domain off from the other domains and the store.
// Meanwhile the large budgets are topped up by a tenth on the side of the store.
func cutWithTopUp(ctx context.Context, w *world) {
	sleep(ctx, faultAt)
	w.cutOff(w.dep.domains[0])
	sleep(ctx, topUpAfter)
	for n := range largeBudgets {
		w.driver.pay(ctx, n, "second", w.driver.demand(n, w.scenario.paidFor)/10)
	}
	sleep(ctx, faultLength-topUpAfter)
	w.cutOff("")
}

func storeOutage(ctx context.Context, w *world) {
	sleep(ctx, faultAt)
	w.store.SetDown(true)
	sleep(ctx, faultLength)
	w.store.SetDown(false)
}

const restartAfter = 30 * time.Second

// crash kills one instance in each of two domains and replaces them.
func crash(ctx context.Context, w *world) {
	if w.fleet == nil {
		return
	}
	for i, domain := range w.dep.domains[:2] {
		sleep(ctx, 4*time.Minute)
		w.fleet.at(domain, i+1).kill()
		sleep(ctx, restartAfter)
		w.fleet.start(domain, i+1)
	}
}

const (
	stopGrace     = 15 * time.Second
	rollingPause  = 40 * time.Second
	rollingStarts = 3 * time.Minute
)

// rolling replaces all instances one after the other.
func rolling(ctx context.Context, w *world) {
	if w.fleet == nil {
		return
	}
	sleep(ctx, rollingStarts)
	for n := range instancesPerDomain {
		for _, domain := range w.dep.domains {
			w.fleet.at(domain, n+1).stop(stopGrace)
			w.fleet.start(domain, n+1)
			sleep(ctx, rollingPause)
		}
	}
}
