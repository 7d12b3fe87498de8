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
	out      = flag.String("out", "../policy.json", "file for the results")
	variants = flag.Bool("variants", false, "compare grant policies, not baselines")
	rate     = flag.Int("rate", 15, "requests per second of one instance")
)

// seed of the demand. All systems of a scenario get the same demand.
const seed = 20260101

// world is one run: a system with its store, network and demand.
type world struct {
	dep      deployment
	scenario scenario
	store    *kvstoretest.Fake
	fleet    *fleet // nil for a baseline
	driver   *driver
}

// cutOff separates a domain from the store and the other domains; "" heals.
func (w *world) cutOff(domain string) {
	var clients []string
	if domain != "" {
		for n := range instancesPerDomain {
			clients = append(clients, slotName(domain, n+1))
		}
	}
	w.store.CutOnly(clients...)
	if w.fleet != nil {
		w.fleet.cutOff(domain)
	}
}

// candidate is a system under measurement.
type candidate struct {
	name  string
	build func(w *world) system
}

func product(name string, change func(*grant.Policy), recall bool) candidate {
	return candidate{name, func(w *world) system {
		p := grant.Default(len(w.dep.domains))
		change(&p)
		w.fleet = &fleet{dep: w.dep, policy: p, recall: recall, net: peertest.NewNetwork(), store: w.store, slots: map[string]*node{}}
		return &ledgerSystem{w.fleet}
	}}
}

func asIs(*grant.Policy) {}

var baselines = []candidate{
	product("ledger shards", asIs, true),
	{"fixed split", func(w *world) system { return newSplit(w.dep.domains) }},
	{"store per request", func(w *world) system { return newStoreSystem(w.store) }},
}

var policies = []candidate{
	product("default", asIs, true),
	product("horizon 5 min", func(p *grant.Policy) { p.Horizon = 5 * time.Minute }, true),
	product("standing share 1/2", func(p *grant.Policy) { p.StandingDivisor = 2 }, true),
	product("no recall", asIs, false),
	product("empty pause 100 ms", func(p *grant.Policy) { p.ExhaustedTTL = 100 * time.Millisecond }, true),
	product("empty pause 2 s", func(p *grant.Policy) { p.ExhaustedTTL = 2 * time.Second }, true),
	product("recall keeps 1 s", func(p *grant.Policy) { p.RecallHorizon = time.Second }, true),
	product("recall keeps 5 s", func(p *grant.Policy) { p.RecallHorizon = 5 * time.Second }, true),
	product("recall keeps 60 s", func(p *grant.Policy) { p.RecallHorizon = time.Minute }, true),
}

// run sends the demand and counts what it caused.
func (w *world) run(ctx context.Context) row {
	w.store.ResetCalls()
	before := map[string]traffic{}
	if w.fleet != nil {
		before = w.fleet.traffic()
	}
	w.driver.began = time.Now()
	var running sync.WaitGroup
	for i, domain := range w.dep.domains {
		running.Go(func() { w.driver.generate(ctx, domain, seed, uint64(i), w.scenario.length) })
	}
	if w.scenario.faults != nil {
		running.Go(func() { w.scenario.faults(ctx, w) })
	}
	running.Wait()
	elapsed := time.Since(w.driver.began)
	r := row{tally: w.driver.tally, Minutes: elapsed.Minutes(), StoreCalls: storeCalls(w.store.AllCalls())}
	if w.fleet != nil {
		r.Messages = difference(w.fleet.traffic(), before)
		r.instances = len(w.dep.domains) * instancesPerDomain
	}
	w.driver.inFlight.Wait()
	r.tally.Overspend = w.driver.tally.Overspend
	r.Spent, r.Paid = w.driver.totals()
	r.derive()
	return r
}

func (r *driver) totals() (spent, paid int64) {
	for _, a := range r.accounts {
		spent += int64(a.charged)
		paid += int64(a.paid)
	}
	return spent, paid
}

func storeCalls(calls map[kvstore.CallKind]int) map[string]int {
	byName := map[string]int{}
	for kind, n := range calls {
		byName[fmt.Sprint(kind)] = n
	}
	return byName
}
