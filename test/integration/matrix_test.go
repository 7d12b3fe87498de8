package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

const (
	faultWindow  = 15 * time.Second // longer than the silence timeout and the wait before a takeover
	quiesceDelay = 30 * time.Second // lets takeovers, settlements and seals end after the last wave
)

// roles are the instances by their roles after boot: entry is the backup of domain
// A's shard, owner is its owner, remote and otherRemote are in domain B. Callers send
// to entry first.
type roles struct{ entry, owner, remote, otherRemote *testInstance }

func (tc *testCluster) roles() roles {
	s := tc.shardMap(domainA).Shards[0]
	return roles{tc.instances[s.Backup.Instance], tc.instances[s.Owner.Instance], tc.instances["b1"], tc.instances["b2"]}
}

var steps = []string{"admit", "reserve", "record", "dispatch", "stream", "settle", "answer", "top up", "apply", "drain"}

// TestMatrix guards against violations of the invariants: it injects each fault at
// each step of requests, operators' commands and a graceful stop. Each cell logs one
// line that `make faults` counts.
func TestMatrix(t *testing.T) {
	for _, f := range faults() {
		for _, step := range steps {
			t.Run(f.desc+"/"+step, func(t *testing.T) {
				t.Parallel()
				runCell(t, f, step)
			})
		}
	}
}

// TestSilentPairLimitsStoreCalls guards against a busy loop of takeovers: two
// instances that reach the store, but not each other, take the shard from each other
// as fast as the store answers.
func TestSilentPairLimitsStoreCalls(t *testing.T) {
	runCluster(t, func(tc *testCluster) {
		tc.boot()
		r := tc.roles()
		before := tc.shardMap(domainA).Shards[0].Epoch
		tc.store.ResetCalls()
		tc.net.Silence(r.entry.id.Address, r.owner.id.Address)
		time.Sleep(time.Minute)
		calls, epochs := tc.store.AllCalls(), tc.shardMap(domainA).Shards[0].Epoch-before
		if epochs > 60 || calls[kvstore.CallSwap] > 120 || calls[kvstore.CallWatch] > 240 {
			t.Errorf("%d new epochs and the store calls %v within a minute", epochs, calls)
		}
	})
}

// runCell runs one cell of the matrix in a cluster of its own.
func runCell(t *testing.T, f fault, step string) {
	runCluster(t, func(tc *testCluster) {
		tc.boot()
		r := tc.roles()
		tc.scheduleFault(step, f, &r)
		tc.runWorkload(&r, f)
		if tc.faultStep != "" {
			t.Errorf("the workload did not reach the step of the cell")
		}
		tc.checkSpending(tc.billLines()) // the top-ups of checkServing would hide an overspend
		tc.checkServing()
		tc.checkInvariants(!f.mayCutRequests)
		tc.logSummary(f)
	})
}

// scheduleFault makes the fault occur when the step is first reached and heals it
// after faultWindow.
func (tc *testCluster) scheduleFault(step string, f fault, r *roles) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.faultStep = step
	tc.injectFault = func() {
		if f.apply != nil {
			f.apply(tc, r)
		}
		tc.tasks.Go(func() {
			time.Sleep(faultWindow)
			if f.heal != nil {
				f.heal(tc, r)
			}
		})
	}
}

// runWorkload sends waves of requests while operators top up budgets, change the
// configuration, drain an endpoint and stop an instance.
func (tc *testCluster) runWorkload(r *roles, f fault) {
	after := func(d time.Duration, fn func()) { tc.tasks.Go(func() { time.Sleep(d); fn() }) }
	after(0, func() { tc.sendWave("w0", r.entry, r.owner, r.remote) })
	after(time.Second, func() { tc.topUp(ampleBudget, "half way", 1000) })
	after(time.Second, func() { tc.topUp(tightBudget, "half way", 200) })
	after(2*time.Second, func() { tc.changeConfig("touch", incrementConcurrency, "") })
	after(2500*time.Millisecond, func() {
		tc.sendWave("w1", r.owner, r.entry, r.otherRemote)
		tc.sendOverBudget("w1", tc.liveInstances()...)
	})
	after(6*time.Second, func() { tc.sendWave("w2", r.remote, r.entry, r.owner) })
	after(20*time.Second, func() { tc.sendWave("w3", r.entry, r.remote, r.owner); tc.sendOverBudget("w3", tc.liveInstances()...) })
	after(40*time.Second, func() {
		drained := tc.endpoints[0].id
		tc.changeConfig("retire", func(d *config.Document) error { d.Drained = []string{drained}; return nil }, drained)
	})
	after(40900*time.Millisecond, func() { tc.sendWave("w4", tc.instances["b2"], r.remote, tc.instances[r.entry.id.Instance]) })
	after(41*time.Second, func() { tc.stopInstance(f) })
	after(48*time.Second, func() {
		tc.sendWave("w5", r.remote, tc.instances[r.entry.id.Instance], tc.instances[r.owner.id.Instance])
	})
	tc.tasks.Wait()
	time.Sleep(quiesceDelay)
}

// incrementConcurrency is a configuration change that affects no request.
func incrementConcurrency(d *config.Document) error {
	d.Services[0].Concurrency++
	return nil
}

// stopInstance stops instance b2 gracefully.
func (tc *testCluster) stopInstance(f fault) {
	if err := tc.instances["b2"].stop(); err != nil && !f.mayCutRequests {
		tc.t.Logf("graceful stop: %v", err)
	}
}

// checkServing verifies that every live instance serves all kinds of requests.
func (tc *testCluster) checkServing() {
	tc.topUp(ampleBudget, "after", 10_000)
	tc.topUp(tightBudget, "after", 10_000)
	for i, n := range tc.liveInstances() {
		for _, budget := range []string{ampleBudget, tightBudget} {
			tag := fmt.Sprintf("after-%d-%s", i, budget)
			if budget == tightBudget {
				tag += "-spree"
			}
			for _, c := range []*call{
				tc.send(n, booking, tag+"-book", tc.obtainKey(n, budget, tag), budget),
				tc.send(n, booking, tag+"-own", "key-"+tag, budget),
				tc.send(n, stream, tag+"-stream", "", budget),
				tc.send(n, lookup, tag+"-lookup", "", budget),
			} {
				if !c.complete && !tc.isUnknownAfterLostEpoch(c) {
					tc.t.Errorf("after the fault %s does not serve %s: status %d, %s, %s, %v", n.host(), c.tag, c.status, c.errorKind, c.outcome, c.connErr)
				}
			}
		}
		tc.checkRequestStates(n)
	}
	time.Sleep(15 * time.Second) // three seal intervals
}

// isUnknownAfterLostEpoch reports whether a request under a caller's own key has an
// unknown outcome because its shard lost an epoch (docs/design.md, section 4.3).
func (tc *testCluster) isUnknownAfterLostEpoch(c *call) bool {
	id, err := ledger.ParseRequestID(c.id)
	return err == nil && !ledger.IsIssuedID(c.id) && tc.hasLostEpoch(id) && c.errorKind == string(failure.OutcomeUnknown)
}

// logSummary logs the invariants that the cell checked and counts the requests that
// were refused although their budget had tokens left.
func (tc *testCluster) logSummary(f fault) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	refused, completed := map[string]int{}, 0
	for _, c := range tc.calls {
		if c.complete {
			completed++
		}
		if c.isNotRun() && c.budget == ampleBudget {
			refused[c.errorKind]++
		}
	}
	counts := ""
	for _, kind := range slices.Sorted(maps.Keys(refused)) {
		counts += fmt.Sprintf(" %s=%d", kind, refused[kind])
	}
	tc.t.Logf("calls: %d, answered: %d, false refusals:%s", len(tc.calls), completed, counts)
	checked := "I1,I2,I3,I4,I5,I6,I7,I8"
	if f.mayCutRequests {
		checked = "I1,I2,I3,I4,I5,I6,I8"
	}
	tc.t.Logf("case: %s %s", checked, tc.t.Name())
}

// checkRequestStates verifies I4 for the request states that an instance returns.
func (tc *testCluster) checkRequestStates(n *testInstance) {
	ran := map[string]bool{}
	for _, r := range tc.executions() {
		ran[r.id] = true
	}
	tc.mu.Lock()
	ids := map[string]bool{}
	for _, c := range tc.calls {
		if c.id != "" && c.key != "" {
			ids[c.id] = true
		}
	}
	tc.mu.Unlock()
	for id := range ids {
		ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
		r, err := http.NewRequest(http.MethodGet, "/v1/requests/"+id, nil)
		if err != nil {
			tc.t.Fatal(err)
		}
		_, body, err := tc.roundTrip(ctx, n, r)
		cancel()
		var status struct{ State string }
		if err != nil || json.Unmarshal(body, &status) != nil {
			tc.t.Errorf("get the state of request %s: %v, body %s", id, err, body)
		}
		if status.State == "not-run" && ran[id] {
			tc.t.Errorf("I4: %s ran, but its state is not-run", id)
		}
	}
}
