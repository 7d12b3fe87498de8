package shard

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// The fault matrix injects each fault at each step of each scenario and checks the
// invariants afterwards. Every cell logs one line that `make faults` counts.

// fault is one kind of failure. apply runs when the step is reached, on the goroutine
// that reaches it; heal, if not nil, undoes the fault later.
type fault struct {
	desc  string
	apply func(c *testCluster)
	heal  func(c *testCluster)
}

// victims holds the instances that faults apply to, by their roles at boot: roles move
// after a fault.
type victims struct{ owner, backup, sender *testInstance }

func (c *testCluster) victims() victims {
	owner := c.ownerOf(testDomainA)
	backup := c.backupOf(testDomainA)
	return victims{owner, backup, c.otherInstance(testDomainA, owner, backup)}
}

const (
	stepReserve  = "before ledger.reserve"
	stepRecord   = "before ledger.replicate"
	stepRecorded = "after ledger.replicate"
	stepAdmitted = "admitted"
	stepExecuted = "executed"
	stepSettle   = "before ledger.settle"
	stepSettled  = "after ledger.settle"
	stepBill     = "before swap bills"
	stepBilled   = "after swap bills"
	stepGrant    = "before swap budgets"
	stepGranted  = "after swap budgets"
	stepTakeover = "before swap shards"
	stepFence    = "before ledger.fence"
	stepFenced   = "after ledger.fence"
	stepHandover = "before ledger.handover"
	stepHanded   = "after ledger.handover"
)

// matrixFaults returns the faults, which apply to the instances in v.
func matrixFaults(v *victims) []fault {
	return []fault{
		{"owner killed", func(*testCluster) { v.owner.kill() }, nil},
		{"backup killed", func(*testCluster) { v.backup.kill() }, nil},
		{"owner paused", func(*testCluster) { v.owner.pause(); v.owner.setLive(false) },
			func(*testCluster) { v.owner.resume(); v.owner.setLive(true) }},
		{"backup paused", func(*testCluster) { v.backup.pause(); v.backup.setLive(false) },
			func(*testCluster) { v.backup.resume(); v.backup.setLive(true) }},
		{"store down", func(c *testCluster) { c.store.SetDown(true) }, func(c *testCluster) { c.store.SetDown(false) }},
		{"store slow", func(c *testCluster) { c.store.SetResponseDelay(1500 * time.Millisecond) }, func(c *testCluster) { c.store.SetResponseDelay(0) }},
		{"store answers lost", func(c *testCluster) { c.store.LoseAnswers(5) }, nil},
		{"store writes late", func(c *testCluster) { c.store.DelaySwaps(true) },
			func(c *testCluster) { c.store.DelaySwaps(false); c.store.ApplyDelayed() }},
		{"owner and backup cut", func(c *testCluster) { c.net.Cut(v.owner.id.Address, v.backup.id.Address) },
			func(c *testCluster) { c.net.Heal(v.owner.id.Address, v.backup.id.Address) }},
		{"owner and backup silent", func(c *testCluster) { c.net.Silence(v.owner.id.Address, v.backup.id.Address) },
			func(c *testCluster) { c.net.Heal(v.owner.id.Address, v.backup.id.Address) }},
		{"owner cut from store", func(c *testCluster) { c.store.CutClient(v.owner.id.Instance) },
			func(c *testCluster) { c.store.RestoreClient(v.owner.id.Instance) }},
		{"domain cut from store", func(c *testCluster) {
			for _, n := range c.instances {
				c.store.CutClient(n.id.Instance)
			}
		}, func(c *testCluster) { c.store.CutOnly() }},
		{"messages twice", func(c *testCluster) {
			c.net.Duplicate(v.sender.id.Address, v.owner.id.Address, 5)
			c.net.Duplicate(v.owner.id.Address, v.backup.id.Address, 5)
		}, nil},
		{"answers lost", func(c *testCluster) {
			c.net.LoseAnswers(v.sender.id.Address, v.owner.id.Address, 2)
			c.net.LoseAnswers(v.owner.id.Address, v.backup.id.Address, 2)
		}, nil},
		{"messages late", func(c *testCluster) { c.net.HoldNext(v.owner.id.Address, v.backup.id.Address, 3) },
			func(c *testCluster) { c.net.Release(v.owner.id.Address, v.backup.id.Address) }},
		{"owner killed and store down", func(c *testCluster) { v.owner.kill(); c.store.SetDown(true) },
			func(c *testCluster) { c.store.SetDown(false) }},
		{"owner and backup killed", func(*testCluster) { v.owner.kill(); v.backup.kill() }, nil},
		{"owner paused and backup killed", func(*testCluster) { v.owner.pause(); v.owner.setLive(false); v.backup.kill() },
			func(*testCluster) { v.owner.resume(); v.owner.setLive(true) }},
		{"owner paused and answers of the store lost", func(c *testCluster) {
			v.owner.pause()
			v.owner.setLive(false)
			c.store.LoseAnswers(5)
		}, func(*testCluster) { v.owner.resume(); v.owner.setLive(true) }},
		{"new owner killed during takeover", func(c *testCluster) {
			v.owner.kill()
			go func() { c.runFor(4 * time.Second); v.backup.kill() }()
		}, nil},
	}
}

// scenario runs the cluster so that its steps are reached.
type scenario struct {
	desc  string
	steps []string
	run   func(c *testCluster, v *victims)
}

func matrixScenarios() []scenario {
	return []scenario{
		{"request", []string{stepReserve, stepRecord, stepRecorded, stepAdmitted, stepExecuted, stepSettle, stepSettled, stepBill, stepBilled, stepGrant, stepGranted},
			func(c *testCluster, v *victims) { sendRequests(c, v, 12) }},
		{"takeover", []string{stepTakeover},
			func(c *testCluster, v *victims) { v.owner.kill(); sendRequests(c, v, 6) }},
		// A draining backup is no takeover candidate, so the third instance fetches
		// the state from it. A backup that takes over itself sends no fence request.
		{"takeover by a third instance", []string{stepTakeover, stepFence, stepFenced},
			func(c *testCluster, v *victims) { v.backup.setDraining(); v.owner.kill(); sendRequests(c, v, 6) }},
		{"handover", []string{stepHandover, stepHanded},
			func(c *testCluster, v *victims) {
				v.owner.setDraining()
				go func() { _ = v.owner.manager.Drain(c.ctx) }()
				sendRequests(c, v, 6)
			}},
	}
}

// sendRequests sends requests from the third instance, repeats each of them, and tops up
// the budget halfway through.
func sendRequests(c *testCluster, v *victims, count int) {
	for i := range count {
		if v.sender.resumed != nil {
			break
		}
		req := v.sender.newRequest(100, 90)
		for range 2 {
			outcome := v.sender.send(req, 8*time.Second)
			c.mu.Lock()
			c.outcomes[req.id] = outcome
			c.mu.Unlock()
		}
		if i == count/2 {
			_ = c.topUp("half way", 300)
		}
	}
	c.runFor(10 * time.Second)
}

// TestMatrix guards against a violation of the invariants under each fault at each step.
func TestMatrix(t *testing.T) {
	for _, sc := range matrixScenarios() {
		for _, step := range sc.steps {
			for i := range matrixFaults(&victims{}) {
				desc := matrixFaults(&victims{})[i].desc
				t.Run(fmt.Sprintf("%s/%s/%s", sc.desc, step, desc), func(t *testing.T) {
					runCell(t, sc, step, i)
				})
			}
		}
	}
}

func runCell(t *testing.T, sc scenario, step string, index int) {
	t.Logf("case: I1,I2,I4,I5 %s", t.Name()) // the invariants that checkInvariants verifies
	reached := false
	runCluster(t, func(c *testCluster) {
		bootCluster(c, 600)
		v := c.victims()
		f := matrixFaults(&v)[index]
		var mu sync.Mutex
		c.hookOnce(step, func() {
			mu.Lock()
			reached = true
			mu.Unlock()
			f.apply(c)
			if f.heal != nil {
				go func() { c.sleep(25 * time.Second); f.heal(c) }()
			}
		})
		sc.run(c, &v)
		c.runFor(90 * time.Second)
		c.checkServing()
		c.checkMapStable()
	})
	if !reached {
		t.Logf("cell not reached: the fault-free path of this scenario has no step %q", step)
	}
}

// sleep sleeps for d like runFor, but does not wait until all goroutines are blocked. It
// is for use in goroutines that run concurrently with others.
func (c *testCluster) sleep(d time.Duration) { time.Sleep(d) }

// checkServing verifies that the domain serves again after the fault.
func (c *testCluster) checkServing() {
	c.t.Helper()
	c.mu.Lock()
	c.hook = nil
	c.mu.Unlock()
	if err := c.topUp("after", 1_000); err != nil {
		c.t.Fatalf("top-up after the fault: %v", err)
	}
	for _, n := range c.instances {
		if n.isRunning() && !n.IsDraining(n.id.Incarnation) {
			n.expectOutcome(n.newRequest(50, 50), "answered")
			m, v := n.manager.MapView()
			c.t.Logf("%s: map version %d: %+v", n.id.Instance, v, m.Shards[ledger.ShardOf(testBudget, testShards)])
			return
		}
	}
}

// isRunning reports whether the instance is live and not paused.
func (n *testInstance) isRunning() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	_, ok := n.cluster.live[n.id.Incarnation]
	return ok && n.resumed == nil
}
