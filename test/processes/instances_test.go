//go:build processes

package processes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/standins/engine"
	"github.com/clementinerack/clementinerack/standins/fleet"
)

const (
	// faultDelay is the time under load before and after a fault, so that requests
	// are in flight at both.
	faultDelay = 1500 * time.Millisecond
	// faultWindow is longer than the 3 s of silence after which an instance is
	// considered lost.
	faultWindow = 6 * time.Second
	numCallers  = 6
)

// faultCases returns all cases. Their desc is the name by which faultreport selects
// them and KNOWN-RED.txt lists them.
func faultCases() []faultCase {
	return []faultCase{
		{desc: "owner killed", invariants: "I1,I2,I3,I4,I5", run: ownerKilled},
		{desc: "entry instance killed with a stream open", invariants: "I1,I2,I3,I4,I5", run: entryKilled},
		{desc: "owner paused", invariants: "I1,I2,I3,I4,I5", run: func(tc *testCluster) { instancePaused(tc, tc.roles(domainA).owner) }},
		{desc: "backup paused", invariants: "I1,I2,I3,I4,I5", run: func(tc *testCluster) { instancePaused(tc, tc.roles(domainA).backup) }},
		{desc: "platform restarted", invariants: "I1,I2,I3,I4,I5", run: platformRestarted},
		{desc: "platform paused, slow and without answers", invariants: "I1,I2,I3,I4,I5", run: platformDegraded},
		{desc: "domain cut from the platform", invariants: "I1,I2,I3,I4,I5",
			options: func(o *fleet.Options) { o.Budget = 8_000 }, run: domainCut},
		{desc: "platform and owner lost", invariants: "I1,I2,I3,I4,I5", run: platformAndOwnerLost},
		{desc: "owner and backup killed", invariants: "I1,I2,I3,I4,I5", run: ownerAndBackupKilled},
		{desc: "engine killed in a stream", invariants: "I2,I3,I4", run: engineKilled},
		{desc: "engine silent", invariants: "I2,I3", run: engineFault(map[string]any{"silent_after": 5})},
		{desc: "engine cut", invariants: "I2,I3", run: engineFault(map[string]any{"cut_after": 5})},
		{desc: "engine duplicates events", invariants: "I2,I3", run: engineFault(map[string]any{"duplicate_events": true})},
		{desc: "engine reorders events", invariants: "I2,I3", run: engineFault(map[string]any{"reorder_events": true})},
		{desc: "app killed during a booking", invariants: "I2,I4,I5", run: appKilled},
		{desc: "request that crashes endpoints", invariants: "I3,I4", run: crashingRequest},
		{desc: "endpoint drained by its own signal", invariants: "I3,I6", run: drainedBySignal},
		{desc: "endpoint drained by the platform's list", invariants: "I3,I6", run: drainedByList},
		{desc: "rolling replacement", invariants: "I1,I2,I3,I4,I5,I7", run: rollingReplacement},
		{desc: "operators race", invariants: "I8", run: operatorsRace},
		{desc: "change reaches an instance without the platform", invariants: "I8", run: changeWithoutPlatform},
		{desc: "first draw on a budget during an outage of the platform", invariants: "I1,I4", run: firstDraw},
		{desc: "fresh instance during an outage of the platform", invariants: "I4,I8", run: freshInstance},
	}
}

// underLoad runs fault while callers send requests to the given instances.
func (tc *testCluster) underLoad(at []*fleet.Instance, fault func()) {
	l := tc.startLoad(numCallers, at...)
	defer l.stopAndWait()
	time.Sleep(faultDelay)
	fault()
	time.Sleep(faultDelay)
}

// startInstance starts an instance again after it ended.
func (tc *testCluster) startInstance(i *fleet.Instance) {
	tc.t.Helper()
	if err := tc.fleet.StartInstance(i); err != nil {
		tc.t.Error(err)
	}
}

func ownerKilled(tc *testCluster) {
	r := tc.roles(domainA)
	tc.underLoad(tc.instancesIn(domainA), func() {
		r.owner.Kill()
		time.Sleep(faultWindow)
	})
	tc.startInstance(r.owner)
}

// longPrompt returns a prompt whose answer takes long enough to be interrupted.
func longPrompt(name string) string {
	const minAnswerTokens = 100
	for n := 0; ; n++ {
		prompt := fmt.Sprintf("long briefing %d of %s", n, name)
		if len(engine.GenerateTokens(prompt+"\n", 0, 0)) >= minAnswerTokens {
			return prompt
		}
	}
}

func entryKilled(tc *testCluster) {
	r := tc.roles(domainA)
	var wg sync.WaitGroup
	for n := range 4 {
		k := []requestKind{stream, booking}[n/2]
		req := tc.newRequest(k, r.other, longPrompt(fmt.Sprint(n)), 500)
		wg.Go(func() { tc.send(req, r.other, r.owner, r.backup) })
	}
	time.Sleep(700 * time.Millisecond)
	r.other.Kill()
	wg.Wait()
	for _, req := range tc.requests {
		if req.kind == stream && req.finalOutcome != answered {
			tc.t.Errorf("I3: a repeat by id at another instance did not get a whole answer: %s", req)
		}
	}
	tc.startInstance(r.other)
}

func instancePaused(tc *testCluster, i *fleet.Instance) {
	tc.underLoad(tc.instancesIn(domainA), func() {
		if err := i.Pause(); err != nil {
			tc.t.Error(err)
		}
		time.Sleep(faultWindow)
		if err := i.Resume(); err != nil {
			tc.t.Error(err)
		}
	})
}

func (tc *testCluster) stopPlatform() {
	ctx, cancel := context.WithTimeout(tc.ctx, 10*time.Second)
	defer cancel()
	if err := tc.fleet.Platform.Terminate(ctx); err != nil {
		tc.t.Fatal(err)
	}
}

func (tc *testCluster) startPlatform() {
	if err := tc.fleet.StartPlatform(tc.fleet.Platform.Address); err != nil {
		tc.t.Fatal(err)
	}
}

func platformRestarted(tc *testCluster) {
	tc.underLoad(tc.fleet.Instances, func() {
		var wg sync.WaitGroup
		tc.stopPlatform()
		wg.Go(func() { tc.topUp(1_000) }) // succeeds once the platform runs again
		time.Sleep(faultWindow)
		tc.startPlatform()
		wg.Wait()
	})
	tc.checkTopUps()
}

// checkTopUps verifies that each top-up took effect exactly once.
func (tc *testCluster) checkTopUps() {
	if b := tc.readBudget(); int64(b.Paid) != tc.paid {
		tc.t.Errorf("I1: %d tokens paid in, the record says %d", tc.paid, b.Paid)
	}
}

func platformDegraded(tc *testCluster) {
	tc.underLoad(tc.fleet.Instances, func() {
		if err := tc.fleet.Platform.Pause(); err != nil {
			tc.t.Error(err)
		}
		time.Sleep(4 * time.Second)
		if err := tc.fleet.Platform.Resume(); err != nil {
			tc.t.Error(err)
		}
		tc.setPlatformFaults(map[string]any{"slow_ms": 1500})
		tc.topUp(1_000)
		time.Sleep(4 * time.Second)
		for range 3 {
			tc.setPlatformFaults(map[string]any{"lose_answers": 2})
			tc.topUp(1_000)
		}
		tc.setPlatformFaults(map[string]any{})
	})
	tc.checkTopUps()
}

// instanceIDs returns the ids by which the platform identifies the instances.
func instanceIDs(instances []*fleet.Instance) []string {
	var out []string
	for _, i := range instances {
		out = append(out, i.ID)
	}
	return out
}

// domainCut uses up a small budget while one domain is cut off from the platform and
// an operator tops up the budget in the other domain.
func domainCut(tc *testCluster) {
	tc.exhaustsBudget = true
	tc.underLoad(tc.fleet.Instances, func() {
		tc.setPlatformFaults(map[string]any{"cut_clients": instanceIDs(tc.instancesIn(domainA))})
		time.Sleep(faultWindow)
		tc.mu.Lock()
		tc.paid += 2_000
		tc.mu.Unlock()
		if out, err := tc.fleet.CtlAt(tc.ctx, tc.instancesIn(domainB), "topup", "--command-id", "during-the-cut", budgetKey.String(), "2000"); err != nil {
			tc.t.Errorf("top-up on the side that reaches the platform: %v: %s", err, out)
		}
		time.Sleep(faultWindow)
		tc.setPlatformFaults(map[string]any{})
	})
	tc.checkTopUps()
}

func platformAndOwnerLost(tc *testCluster) {
	r := tc.roles(domainA)
	tc.underLoad(tc.instancesIn(domainA), func() {
		tc.stopPlatform()
		r.owner.Kill()
		time.Sleep(faultWindow)
		tc.startPlatform()
		time.Sleep(faultWindow)
	})
	tc.startInstance(r.owner)
}

func ownerAndBackupKilled(tc *testCluster) {
	tc.mayLoseBills = true
	r := tc.roles(domainA)
	tc.underLoad(tc.instancesIn(domainA), func() {
		r.owner.Kill()
		r.backup.Kill()
		time.Sleep(16 * time.Second) // 3 s of silence, 10 s of fencing and a margin
	})
	tc.startInstance(r.owner)
	tc.startInstance(r.backup)
}

// rollingReplacement stops and starts each instance under load. The callers stand
// in for the platform's load balancer: they go to the next instance when one is not
// ready.
func rollingReplacement(tc *testCluster) {
	tc.underLoad(tc.fleet.Instances, func() {
		for _, i := range tc.fleet.Instances {
			ctx, cancel := context.WithTimeout(tc.ctx, 20*time.Second)
			if err := i.Terminate(ctx); err != nil {
				tc.t.Errorf("I7: %v", err)
			}
			cancel()
			tc.startInstance(i)
			if err := tc.fleet.WaitReady(tc.ctx, i); err != nil {
				tc.t.Error(err)
			}
		}
	})
	for _, r := range tc.requests {
		if r.finalOutcome != answered {
			tc.t.Errorf("I7: not answered: %s", r)
		}
		for _, att := range r.attempts {
			if att.answer.Status == http.StatusOK && r.outcome(att) != answered {
				tc.t.Errorf("I7: interrupted: %s", r)
			}
		}
	}
}

// generation returns the generation that is in force at an instance.
func (tc *testCluster) generation(at *fleet.Instance) uint64 {
	out, err := tc.fleet.CtlAt(tc.ctx, []*fleet.Instance{at}, "config")
	var doc struct{ Generation uint64 }
	if err == nil {
		err = json.Unmarshal([]byte(out), &doc)
	}
	if err != nil {
		tc.t.Fatalf("get configuration from %s: %v: %s", at.ID, err, out)
	}
	return doc.Generation
}

func operatorsRace(tc *testCluster) {
	const conflictExitCode = 3
	for round := range 5 {
		command := []string{"retire", "restore"}[round%2]
		expect := fmt.Sprint(tc.generation(tc.fleet.Instances[0]))
		codes := make([]int, 2)
		outputs := make([]string, 2)
		var wg sync.WaitGroup
		for n := range codes {
			at := tc.fleet.Instances[3*n : 3*n+1]
			wg.Go(func() {
				out, err := tc.fleet.CtlAt(tc.ctx, at, command, tc.fleet.Endpoints[n].ID, "--expect", expect)
				codes[n], outputs[n] = exitCode(err), out
			})
		}
		wg.Wait()
		if slices.Sort(codes); codes[0] != 0 || codes[1] != conflictExitCode {
			tc.t.Errorf("I8: round %d: exit codes %v, want 0 and %d: %q", round, codes, conflictExitCode, outputs)
		}
		tc.eventually("change in force at the first instance", 5*time.Second, func() error {
			if got := tc.generation(tc.fleet.Instances[0]); fmt.Sprint(got) == expect {
				return fmt.Errorf("still at generation %d", got)
			}
			return nil
		})
	}
	for _, e := range tc.fleet.Endpoints[:2] {
		if out, err := tc.fleet.Ctl(tc.ctx, "restore", e.ID); err != nil {
			tc.t.Errorf("restore: %v: %s", err, out)
		}
	}
}

// checkGeneration returns an error unless the given generation or a later one is in
// force at each instance. It asks each instance about itself, because an instance that
// is cut off from the platform does not know all instances of other domains.
func (tc *testCluster) checkGeneration(generation uint64) error {
	for _, i := range tc.fleet.Instances {
		if got := tc.generation(i); got < generation {
			return fmt.Errorf("%s has generation %d, want %d", i.ID, got, generation)
		}
	}
	return nil
}

// changeWithoutPlatform changes the configuration while one instance is cut off from
// the platform, then while a whole domain is.
func changeWithoutPlatform(tc *testCluster) {
	const propagationTimeout = 5 * time.Second // bound of I8
	target := tc.fleet.Endpoints[0].ID
	for n, cut := range [][]*fleet.Instance{tc.instancesIn(domainA)[:1], tc.instancesIn(domainA)} {
		tc.setPlatformFaults(map[string]any{"cut_clients": instanceIDs(cut)})
		time.Sleep(time.Second)
		before := tc.generation(tc.instancesIn(domainB)[0])
		if out, err := tc.fleet.CtlAt(tc.ctx, tc.instancesIn(domainB), []string{"retire", "restore"}[n], target); err != nil {
			tc.t.Fatalf("change configuration: %v: %s", err, out)
		}
		tc.eventually("I8: change in force at all instances", propagationTimeout, func() error { return tc.checkGeneration(before + 1) })
	}
	tc.setPlatformFaults(map[string]any{})
}

func freshInstance(tc *testCluster) {
	r := tc.roles(domainA)
	generation := tc.generation(r.owner)
	if req := tc.newRequest(stream, r.owner, "rights on the budget", 20); tc.send(req, r.owner) != answered {
		tc.t.Errorf("not served before the outage: %s", req)
	}
	r.other.Kill()
	time.Sleep(4 * time.Second) // its peers consider it lost
	tc.stopPlatform()
	tc.startInstance(r.other)
	if err := tc.fleet.WaitReady(tc.ctx, r.other); err != nil {
		tc.t.Errorf("I8: %v", err)
	}
	if got := tc.generation(r.other); got != generation {
		tc.t.Errorf("I8: the fresh instance has generation %d, want %d", got, generation)
	}
	if req := tc.newRequest(stream, r.other, "during the outage", 20); tc.send(req, r.other) != answered {
		tc.t.Errorf("a fresh instance does not serve during the outage: %s", req)
	}
	tc.startPlatform()
}

// firstDraw guards against a refusal as budget-exhausted when only the platform's
// store, which holds the budget, is unreachable.
func firstDraw(tc *testCluster) {
	tc.stopPlatform()
	at := tc.instancesIn(domainA)
	var wg sync.WaitGroup
	for _, k := range []requestKind{stream, booking, lookup} {
		r := tc.newRequest(k, at[0], "during the outage", 20)
		wg.Go(func() { tc.send(r, at...) })
	}
	time.Sleep(faultWindow)
	tc.startPlatform()
	wg.Wait()
}
