package integration

import (
	"context"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
)

// fault is one kind of failure. apply, if not nil, runs at the step of the cell;
// heal, if not nil, undoes it later.
type fault struct {
	desc string
	// mayCutRequests is true if the fault itself may break requests of a stopping
	// instance, so that I7 cannot be checked.
	mayCutRequests bool
	apply, heal    func(tc *testCluster, r *roles)
}

func faults() []fault {
	return slices.Concat(
		[]fault{{desc: "none"}},
		instanceFaults(), storeFaults(), networkFaults(), endpointFaults(), otherFaults(), combinedFaults(),
	)
}

func instanceFaults() []fault {
	return []fault{
		{"entry killed", false, func(_ *testCluster, r *roles) { r.entry.kill() }, func(tc *testCluster, r *roles) { tc.restartInstance(r.entry) }},
		{"owner killed", false, func(_ *testCluster, r *roles) { r.owner.kill() }, func(tc *testCluster, r *roles) { tc.restartInstance(r.owner) }},
		{"owner killed for good", false, func(_ *testCluster, r *roles) { r.owner.kill() }, nil},
		{"remote entry killed", false, func(_ *testCluster, r *roles) { r.remote.kill() }, func(tc *testCluster, r *roles) { tc.restartInstance(r.remote) }},
		{"backup paused", true, func(_ *testCluster, r *roles) { r.entry.pause() }, func(_ *testCluster, r *roles) { r.entry.resume() }},
		{"owner paused", true, func(_ *testCluster, r *roles) { r.owner.pause() }, func(_ *testCluster, r *roles) { r.owner.resume() }},
	}
}

// restartInstance starts a new incarnation of an instance that was killed.
func (tc *testCluster) restartInstance(n *testInstance) { tc.startInstance(n.id.Instance, n.id.Domain) }

func storeFaults() []fault {
	return []fault{
		{"store down", false, func(tc *testCluster, _ *roles) { tc.store.SetDown(true) }, func(tc *testCluster, _ *roles) { tc.store.SetDown(false) }},
		{"store slow", false, func(tc *testCluster, _ *roles) { tc.store.SetResponseDelay(1500 * time.Millisecond) }, func(tc *testCluster, _ *roles) { tc.store.SetResponseDelay(0) }},
		{"store answers lost", false, func(tc *testCluster, _ *roles) { tc.store.LoseAnswers(8) }, func(tc *testCluster, _ *roles) { tc.store.LoseAnswers(0) }},
		{"store writes late", false, func(tc *testCluster, _ *roles) { tc.store.DelaySwaps(true) },
			func(tc *testCluster, _ *roles) { tc.store.DelaySwaps(false); tc.store.ApplyDelayed() }},
		{"domain cut from store", false, func(tc *testCluster, r *roles) { tc.cutStoreClients(r) }, func(tc *testCluster, _ *roles) { tc.restoreStoreClients() }},
	}
}

// cutStoreClients cuts both instances of domain A off from the store.
func (tc *testCluster) cutStoreClients(r *roles) {
	tc.store.CutClient(r.entry.host())
	tc.store.CutClient(r.owner.host())
}

// restoreStoreClients restores the store access of all instances that were not
// killed.
func (tc *testCluster) restoreStoreClients() {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for _, n := range tc.allInstances {
		if !n.dead {
			tc.store.RestoreClient(n.host())
		}
	}
}

func networkFaults() []fault {
	return []fault{
		{"cut between domains", true, func(tc *testCluster, _ *roles) { tc.cutDomains() }, func(tc *testCluster, _ *roles) { tc.healDomains() }},
		{"peer connection silent", false, func(tc *testCluster, r *roles) { tc.net.Silence(r.entry.id.Address, r.owner.id.Address) },
			func(tc *testCluster, r *roles) { tc.net.Heal(r.entry.id.Address, r.owner.id.Address) }},
		{"peer messages late", false, func(tc *testCluster, _ *roles) { tc.forEachPeerLink(func(a, b string) { tc.net.HoldNext(a, b, 4) }) },
			func(tc *testCluster, _ *roles) { tc.forEachPeerLink(tc.net.Release) }},
		{"peer messages slow", false, func(tc *testCluster, _ *roles) {
			tc.forEachPeerLink(func(a, b string) { tc.net.Delay(a, b, 700*time.Millisecond) })
		}, func(tc *testCluster, _ *roles) { tc.forEachPeerLink(func(a, b string) { tc.net.Delay(a, b, 0) }) }},
		{"peer messages twice", false, func(tc *testCluster, _ *roles) { tc.forEachPeerLink(func(a, b string) { tc.net.Duplicate(a, b, 30) }) }, nil},
		{"peer answers lost", false, func(tc *testCluster, _ *roles) { tc.forEachPeerLink(func(a, b string) { tc.net.LoseAnswers(a, b, 6) }) }, nil},
	}
}

// forEachPeerLink calls f for each ordered pair of instance addresses.
func (tc *testCluster) forEachPeerLink(f func(from, to string)) {
	for _, a := range seeds {
		for _, b := range seeds {
			if a != b {
				f(a, b)
			}
		}
	}
}

// areInDifferentDomains reports whether two hosts are in different domains. Callers
// belong to no domain and reach both.
func (tc *testCluster) areInDifferentDomains(a, b string) bool {
	return tc.domainOf(a) != "" && tc.domainOf(b) != "" && tc.domainOf(a) != tc.domainOf(b)
}

// domainOf returns the domain of a host by the prefix of its name, or "" for a
// caller.
func (tc *testCluster) domainOf(host string) string {
	for prefix, domain := range map[string]string{
		"a1-": domainA, "a2-": domainA, "engine-a": domainA, "app-a": domainA,
		"b1-": domainB, "b2-": domainB, "engine-b": domainB, "app-b": domainB,
	} {
		if len(host) >= len(prefix) && host[:len(prefix)] == prefix {
			return domain
		}
	}
	return ""
}

// cutDomains partitions the two domains: peer calls are refused, open connections
// fall silent and new ones time out.
func (tc *testCluster) cutDomains() {
	for _, a := range seeds[:2] {
		for _, b := range seeds[2:] {
			tc.net.Cut(a, b)
		}
	}
	tc.pipes.silence(tc.areInDifferentDomains)
	tc.pipes.blockDials(tc.areInDifferentDomains)
}

// healDomains ends cutDomains; connections that fell silent stay so.
func (tc *testCluster) healDomains() {
	for _, a := range seeds[:2] {
		for _, b := range seeds[2:] {
			tc.net.Heal(a, b)
		}
	}
	tc.pipes.blockDials(func(string, string) bool { return false })
}

// blockDials makes dials between matching hosts time out. It replaces the previous
// match.
func (p *pipeNetwork) blockDials(match func(a, b string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isBlocked = match
}

func endpointFaults() []fault {
	set := func(f func(e *endpoint)) func(tc *testCluster, _ *roles) {
		return func(tc *testCluster, _ *roles) {
			for _, e := range tc.endpoints {
				e.mu.Lock()
				f(e)
				e.mu.Unlock()
			}
		}
	}
	return []fault{
		{"endpoints of a domain killed", true, func(tc *testCluster, _ *roles) { tc.endpoints[0].kill(); tc.endpoints[2].kill() },
			func(tc *testCluster, _ *roles) { tc.endpoints[0].start(); tc.endpoints[2].start() }},
		{"endpoint connections silent", true, func(tc *testCluster, _ *roles) { tc.pipes.silence(tc.isToEndpoint) }, nil},
		{"endpoint connections cut", true, func(tc *testCluster, _ *roles) { tc.pipes.reset(tc.isToEndpoint) }, nil},
		{"events duplicated", false, set(func(e *endpoint) { e.duplicate = true }), set(func(e *endpoint) { e.duplicate = false })},
		{"events reordered", false, set(func(e *endpoint) { e.reorder = true }), set(func(e *endpoint) { e.reorder = false })},
	}
}

// isToEndpoint reports whether a connection leads to an endpoint.
func (tc *testCluster) isToEndpoint(_, to string) bool { return to[:3] == "eng" || to[:3] == "app" }

func otherFaults() []fault {
	return []fault{
		{"operators racing", false, func(tc *testCluster, _ *roles) { tc.raceOperators() }, nil},
		{"callers gone", true, func(tc *testCluster, _ *roles) { tc.cancelCalls() }, nil},
		{"callers' connections silent", true, func(tc *testCluster, _ *roles) {
			tc.pipes.silence(func(from, _ string) bool { return from == "caller" })
		}, nil},
	}
}

// raceOperators sends configuration changes at two instances and top-ups, all of them
// concurrently. Each command id is used for all three, and race-same twice.
func (tc *testCluster) raceOperators() {
	for _, command := range []string{"race-same", "race-same", "race-1", "race-2"} {
		tc.tasks.Go(func() { tc.changeConfig(command, incrementConcurrency, "") })
		tc.tasks.Go(func() { tc.topUp(tightBudget, command, 100) })
		tc.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, _ = tc.instances["b2"].replica.Change(ctx, config.ChangeRequest{Command: command, Operator: "other", Summary: "race", Mutate: incrementConcurrency}) // a conflict is expected
		})
	}
}

// cancelCalls cancels all calls in flight.
func (tc *testCluster) cancelCalls() {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for _, c := range tc.calls {
		if c.inFlight {
			c.cancel()
		}
	}
}

// combinedFaults returns pairs of faults that occur at once.
func combinedFaults() []fault {
	down := func(tc *testCluster) { tc.store.SetDown(true) }
	return []fault{
		{"owner killed and store answers lost", false, func(tc *testCluster, r *roles) { r.owner.kill(); tc.store.LoseAnswers(8) },
			func(tc *testCluster, r *roles) { tc.store.LoseAnswers(0); tc.restartInstance(r.owner) }},
		{"entry killed and domain cut", true, func(tc *testCluster, r *roles) { r.entry.kill(); tc.cutDomains() },
			func(tc *testCluster, r *roles) { tc.healDomains(); tc.restartInstance(r.entry) }},
		{"owner paused and store down", true, func(tc *testCluster, r *roles) { r.owner.pause(); down(tc) },
			func(tc *testCluster, r *roles) { tc.store.SetDown(false); r.owner.resume() }},
		{"endpoints silent and entry killed", true, func(tc *testCluster, r *roles) { tc.pipes.silence(tc.isToEndpoint); r.entry.kill() },
			func(tc *testCluster, r *roles) { tc.restartInstance(r.entry) }},
		{"top-up on one side of a cut", true, func(tc *testCluster, r *roles) {
			tc.cutDomains()
			tc.cutStoreClients(r)
			tc.markUnreachable(farFuture, r.entry, r.owner)
			tc.tasks.Go(func() { tc.topUp(tightBudget, "one side", 300) })
		}, func(tc *testCluster, r *roles) {
			tc.healDomains()
			tc.restoreStoreClients()
			tc.markUnreachable(time.Now(), r.entry, r.owner)
		}},
		{"owner and backup killed", false, func(_ *testCluster, r *roles) { r.owner.kill(); r.entry.kill() },
			func(tc *testCluster, r *roles) { tc.restartInstance(r.owner); tc.restartInstance(r.entry) }},
	}
}

// markUnreachable records that no configuration can reach the instances until the
// given time, so that I8 does not apply to them earlier.
func (tc *testCluster) markUnreachable(until time.Time, instances ...*testInstance) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for _, n := range instances {
		n.unreachableUntil = until
	}
}
