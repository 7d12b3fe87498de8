//go:build bench

package policy

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/grant"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/kvstore/kvstoretest"
	"github.com/clementinerack/clementinerack/pkg/peer/peertest"
)

var (
	outputPath           = flag.String("out", "../policy.json", "output file for the results")
	compareGrantPolicies = flag.Bool("variants", false, "compare grant policies instead of baselines")
	requestRate          = flag.Int("rate", 15, "mean requests per second per instance")
)

// seed is the seed of the demand. All systems get the same demand in a scenario.
const seed = 20260101

// simulation is one run of a scenario: a system with its store, network and
// demand.
type simulation struct {
	deployment deployment
	scenario   scenario
	store      *kvstoretest.Fake
	fleet      *fleet // nil for a baseline
	driver     *driver
}

// setPartition cuts a domain off from the store and the other domains. An empty
// domain heals the partition.
func (s *simulation) setPartition(domain string) {
	var isolated []string
	if domain != "" {
		for i := range instancesPerDomain {
			isolated = append(isolated, instanceName(domain, i+1))
		}
	}
	s.store.CutOnly(isolated...)
	if s.fleet != nil {
		s.fleet.setPartition(domain)
	}
}

// candidate is a system that the benchmark measures.
type candidate struct {
	name  string
	build func(sim *simulation) system
}

// ledgerCandidate returns the sharded ledger with the default grant policy, which
// configure may change.
func ledgerCandidate(name string, configure func(*grant.Policy), recallEnabled bool) candidate {
	return candidate{name, func(sim *simulation) system {
		policy := grant.Default(len(sim.deployment.domains))
		configure(&policy)
		sim.fleet = &fleet{deployment: sim.deployment, policy: policy, recallEnabled: recallEnabled, network: peertest.NewNetwork(), store: sim.store, current: map[string]*instance{}}
		return &ledgerSystem{sim.fleet}
	}}
}

func keepDefaults(*grant.Policy) {}

// baselines are the sharded ledger and the systems that it is compared with.
var baselines = []candidate{
	ledgerCandidate("ledger shards", keepDefaults, true),
	{"fixed split", func(sim *simulation) system { return newFixedSplitSystem(sim.deployment.domains) }},
	{"store per request", func(sim *simulation) system { return newStoreSystem(sim.store) }},
}

// grantPolicies are variants of the sharded ledger with different grant policies.
var grantPolicies = []candidate{
	ledgerCandidate("default", keepDefaults, true),
	ledgerCandidate("horizon 5 min", func(p *grant.Policy) { p.Horizon = 5 * time.Minute }, true),
	ledgerCandidate("standing share 1/2", func(p *grant.Policy) { p.StandingDivisor = 2 }, true),
	ledgerCandidate("no recall", keepDefaults, false),
	ledgerCandidate("empty pause 100 ms", func(p *grant.Policy) { p.ExhaustedTTL = 100 * time.Millisecond }, true),
	ledgerCandidate("empty pause 2 s", func(p *grant.Policy) { p.ExhaustedTTL = 2 * time.Second }, true),
	ledgerCandidate("recall keeps 1 s", func(p *grant.Policy) { p.RecallHorizon = time.Second }, true),
	ledgerCandidate("recall keeps 5 s", func(p *grant.Policy) { p.RecallHorizon = 5 * time.Second }, true),
	ledgerCandidate("recall keeps 60 s", func(p *grant.Policy) { p.RecallHorizon = time.Minute }, true),
}

// run sends the demand, injects the faults and returns the measurements.
func (s *simulation) run(ctx context.Context) row {
	s.store.ResetCalls()
	trafficBefore := map[string]traffic{}
	if s.fleet != nil {
		trafficBefore = s.fleet.traffic()
	}
	s.driver.start = time.Now()
	var generators sync.WaitGroup
	for i, domain := range s.deployment.domains {
		generators.Go(func() { s.driver.generateCalls(ctx, domain, seed, uint64(i), s.scenario.duration) })
	}
	if s.scenario.injectFaults != nil {
		generators.Go(func() { s.scenario.injectFaults(ctx, s) })
	}
	generators.Wait()
	elapsed := time.Since(s.driver.start)
	r := row{counters: s.driver.counters, SimulatedMinutes: elapsed.Minutes(), StoreCalls: storeCallsByName(s.store.AllCalls())}
	if s.fleet != nil {
		r.Messages = subtractTraffic(s.fleet.traffic(), trafficBefore)
		r.instances = len(s.deployment.domains) * instancesPerDomain
	}
	s.driver.inFlight.Wait()
	r.counters.Overspend = s.driver.counters.Overspend
	r.SpentTokens, r.PaidTokens = s.driver.totals()
	r.computeRatios()
	return r
}

// totals returns the charged and the paid tokens of all budgets.
func (d *driver) totals() (spent, paid int64) {
	for _, a := range d.accounts {
		spent += int64(a.charged)
		paid += int64(a.paid)
	}
	return spent, paid
}

func storeCallsByName(calls map[kvstore.CallKind]int) map[string]int {
	byName := map[string]int{}
	for kind, n := range calls {
		byName[fmt.Sprint(kind)] = n
	}
	return byName
}
