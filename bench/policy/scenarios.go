//go:build bench

package policy

import (
	"context"
	"time"
)

// scenario describes the demand, the opening budgets and the faults of a run.
type scenario struct {
	name string
	// fundedDuration is how long the opening budgets last at the mean demand.
	fundedDuration time.Duration
	duration       time.Duration
	// budgetCount is the number of budgets with equal demand; 0 means 10 budgets
	// (defaultBudgetCount), of which largeBudgetCount are large.
	budgetCount int
	// demandWeight returns the weight of a domain in the demand on a budget, at a
	// time after the start. The weights of all domains have a mean of 1.
	demandWeight func(dep deployment) func(domain string, budget int, at time.Duration) float64
	// injectFaults runs concurrently with the demand; sim.fleet is nil for a baseline.
	injectFaults func(ctx context.Context, sim *simulation)
}

// uniformDemand spreads the demand on each budget evenly over the domains.
func uniformDemand(deployment) func(string, int, time.Duration) float64 {
	return func(string, int, time.Duration) float64 { return 1 }
}

const (
	demandMoveInterval = 3 * time.Minute
	concentratedShare  = 0.85 // of the demand on a large budget
)

// movingDemand concentrates the demand on each large budget in one domain, and
// moves it to the next domain every demandMoveInterval.
func movingDemand(deployment deployment) func(string, int, time.Duration) float64 {
	n := len(deployment.domains)
	return func(domain string, budget int, at time.Duration) float64 {
		if budget >= largeBudgetCount {
			return 1
		}
		busiest := (budget + int(at/demandMoveInterval)) % n
		if deployment.domains[busiest] == domain {
			return concentratedShare * float64(n)
		}
		return (1 - concentratedShare) * float64(n) / float64(n-1)
	}
}

const (
	// faultDelay is the time from the start of the demand to the fault. It is five
	// half-lives of the demand average of the grant policy.
	faultDelay    = 10 * time.Minute
	faultDuration = 10 * time.Minute
	// topUpDelay is the time from the start of the fault to the top-up.
	topUpDelay = 3 * time.Minute
)

// manyBudgetCount gives each budget about the same demand as one of 230,000
// budgets at 5,000 requests/s: one request in 46 s.
const manyBudgetCount = 5500

var scenarios = []scenario{
	{name: "healthy", fundedDuration: 2 * time.Hour, duration: 15 * time.Minute, demandWeight: uniformDemand},
	{name: "many rarely used budgets", fundedDuration: 24 * time.Hour, duration: 15 * time.Minute, budgetCount: manyBudgetCount, demandWeight: uniformDemand},
	{name: "end of a budget", fundedDuration: 10 * time.Minute, duration: 13 * time.Minute, demandWeight: uniformDemand},
	{name: "demand moves between domains", fundedDuration: 18 * time.Minute, duration: 15 * time.Minute, demandWeight: movingDemand},
	{name: "10 min cut, top-up on one side", fundedDuration: 45 * time.Minute, duration: 22 * time.Minute, demandWeight: uniformDemand, injectFaults: partitionWithTopUp},
	{name: "10 min cut of a tight budget", fundedDuration: 21 * time.Minute, duration: 22 * time.Minute, demandWeight: uniformDemand, injectFaults: partitionWithTopUp},
	{name: "10 min store outage", fundedDuration: 45 * time.Minute, duration: 22 * time.Minute, demandWeight: uniformDemand, injectFaults: storeOutage},
	{name: "instance crash", fundedDuration: time.Hour, duration: 13 * time.Minute, demandWeight: uniformDemand, injectFaults: crashInstances},
	{name: "rolling replacement", fundedDuration: time.Hour, duration: 15 * time.Minute, demandWeight: uniformDemand, injectFaults: replaceInstances},
}

// partitionWithTopUp cuts the first domain off from the other domains and the
// store. During the partition it tops up the large budgets in the store by a tenth
// of their opening amounts.
func partitionWithTopUp(ctx context.Context, sim *simulation) {
	sleep(ctx, faultDelay)
	sim.setPartition(sim.deployment.domains[0])
	sleep(ctx, topUpDelay)
	for n := range largeBudgetCount {
		sim.driver.topUp(ctx, n, "second", sim.driver.demand(n, sim.scenario.fundedDuration)/10)
	}
	sleep(ctx, faultDuration-topUpDelay)
	sim.setPartition("")
}

func storeOutage(ctx context.Context, sim *simulation) {
	sleep(ctx, faultDelay)
	sim.store.SetDown(true)
	sleep(ctx, faultDuration)
	sim.store.SetDown(false)
}

const restartDelay = 30 * time.Second

// crashInstances kills and replaces one instance in each of the first two domains.
func crashInstances(ctx context.Context, sim *simulation) {
	if sim.fleet == nil {
		return
	}
	for i, domain := range sim.deployment.domains[:2] {
		sleep(ctx, 4*time.Minute)
		sim.fleet.instanceAt(domain, i+1).kill()
		sleep(ctx, restartDelay)
		sim.fleet.start(domain, i+1)
	}
}

const (
	stopGracePeriod     = 15 * time.Second
	replacementInterval = 40 * time.Second
	replacementDelay    = 3 * time.Minute
)

// replaceInstances performs a rolling replacement of all instances.
func replaceInstances(ctx context.Context, sim *simulation) {
	if sim.fleet == nil {
		return
	}
	sleep(ctx, replacementDelay)
	for n := range instancesPerDomain {
		for _, domain := range sim.deployment.domains {
			sim.fleet.instanceAt(domain, n+1).stop(stopGracePeriod)
			sim.fleet.start(domain, n+1)
			sleep(ctx, replacementInterval)
		}
	}
}
