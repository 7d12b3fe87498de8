package shard

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// The fault matrix: each fault is injected at each step of the path of a
// request, and the invariants are checked afterwards. Every cell prints one
// line that `make faults` counts.

// fault is one kind of failure. apply runs in a goroutine of its own at the
// step; heal undoes it some time later.
type fault struct {
	desc  string
	apply func(w *world)
	heal  func(w *world)
}

// victims remembers which nodes were hit, because roles move afterwards.
type victims struct{ owner, backup, sender *node }

func (w *world) victims() victims {
	owner := w.ownerOf(testDomainA)
	backup := w.backupOf(testDomainA)
	return victims{owner, backup, w.other(testDomainA, owner, backup)}
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

// matrixFaults returns the faults as functions on the roles at the time of boot.
func matrixFaults(v *victims) []fault {
	return []fault{
		{"owner killed", func(*world) { v.owner.kill() }, nil},
		{"backup killed", func(*world) { v.backup.kill() }, nil},
		{"owner paused", func(*world) { v.owner.pause(); v.owner.setLive(false) },
			func(*world) { v.owner.resume(); v.owner.setLive(true) }},
		{"backup paused", func(*world) { v.backup.pause(); v.backup.setLive(false) },
			func(*world) { v.backup.resume(); v.backup.setLive(true) }},
		{"store down", func(w *world) { w.store.Down(true) }, func(w *world) { w.store.Down(false) }},
		{"store slow", func(w *world) { w.store.Slow(1500 * time.Millisecond) }, func(w *world) { w.store.Slow(0) }},
		{"store answers lost", func(w *world) { w.store.LoseAnswers(5) }, nil},
		{"store writes late", func(w *world) { w.store.DelayWrites(true) },
			func(w *world) { w.store.DelayWrites(false); w.store.ApplyDelayed() }},
		{"owner and backup cut", func(w *world) { w.net.Cut(v.owner.id.Address, v.backup.id.Address) },
			func(w *world) { w.net.Heal(v.owner.id.Address, v.backup.id.Address) }},
		{"owner and backup silent", func(w *world) { w.net.Silence(v.owner.id.Address, v.backup.id.Address) },
			func(w *world) { w.net.Heal(v.owner.id.Address, v.backup.id.Address) }},
		{"owner cut from store", func(w *world) { w.store.CutClient(v.owner.id.Instance) },
			func(w *world) { w.store.RestoreClient(v.owner.id.Instance) }},
		{"domain cut from store", func(w *world) {
			for _, n := range w.nodes {
				w.store.CutClient(n.id.Instance)
			}
		}, func(w *world) { w.store.CutOnly() }},
		{"messages twice", func(w *world) {
			w.net.Duplicate(v.sender.id.Address, v.owner.id.Address, 5)
			w.net.Duplicate(v.owner.id.Address, v.backup.id.Address, 5)
		}, nil},
		{"answers lost", func(w *world) {
			w.net.LoseAnswers(v.sender.id.Address, v.owner.id.Address, 2)
			w.net.LoseAnswers(v.owner.id.Address, v.backup.id.Address, 2)
		}, nil},
		{"messages late", func(w *world) { w.net.HoldNext(v.owner.id.Address, v.backup.id.Address, 3) },
			func(w *world) { w.net.Release(v.owner.id.Address, v.backup.id.Address) }},
		{"owner killed and store down", func(w *world) { v.owner.kill(); w.store.Down(true) },
			func(w *world) { w.store.Down(false) }},
		{"owner and backup killed", func(*world) { v.owner.kill(); v.backup.kill() }, nil},
		{"owner paused and backup killed", func(*world) { v.owner.pause(); v.owner.setLive(false); v.backup.kill() },
			func(*world) { v.owner.resume(); v.owner.setLive(true) }},
		{"owner paused and answers of the store lost", func(w *world) {
			v.owner.pause()
			v.owner.setLive(false)
			w.store.LoseAnswers(5)
		}, func(*world) { v.owner.resume(); v.owner.setLive(true) }},
		{"new owner killed during takeover", func(w *world) {
			v.owner.kill()
			go func() { w.settle(4 * time.Second); v.backup.kill() }()
		}, nil},
	}
}

// scenario drives the fleet so that its steps are reached.
type scenario struct {
	desc  string
	steps []string
	drive func(w *world, v *victims)
}

func matrixScenarios() []scenario {
	return []scenario{
		{"request", []string{stepReserve, stepRecord, stepRecorded, stepAdmitted, stepExecuted, stepSettle, stepSettled, stepBill, stepBilled, stepGrant, stepGranted},
			func(w *world, v *victims) { driveRequests(w, v, 12) }},
		{"takeover", []string{stepTakeover},
			func(w *world, v *victims) { v.owner.kill(); driveRequests(w, v, 6) }},
		// A stopping backup is no candidate, so the third instance asks it for the
		// state. A candidate that is the backup asks nobody.
		{"takeover by a third instance", []string{stepTakeover, stepFence, stepFenced},
			func(w *world, v *victims) { v.backup.setDraining(); v.owner.kill(); driveRequests(w, v, 6) }},
		{"handover", []string{stepHandover, stepHanded},
			func(w *world, v *victims) {
				v.owner.setDraining()
				go func() { _ = v.owner.manager.Drain(w.ctx) }()
				driveRequests(w, v, 6)
			}},
	}
}

// driveRequests sends requests from the third instance, repeats each of them,
// and tops the budget up half way.
func driveRequests(w *world, v *victims, count int) {
	for i := range count {
		if v.sender.thaw != nil {
			break
		}
		req := v.sender.newRequest(100, 90)
		for range 2 {
			told := v.sender.send(req, 8*time.Second)
			w.mu.Lock()
			w.told[req.id] = told
			w.mu.Unlock()
		}
		if i == count/2 {
			_ = w.topUp("half way", 300)
		}
	}
	w.settle(10 * time.Second)
}

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
	t.Logf("case: I1,I2,I4,I5 %s", t.Name()) // what world.check verifies
	reached := false
	runWorld(t, func(w *world) {
		boot(w, 600)
		v := w.victims()
		f := matrixFaults(&v)[index]
		var mu sync.Mutex
		w.once(step, func() {
			mu.Lock()
			reached = true
			mu.Unlock()
			f.apply(w)
			if f.heal != nil {
				go func() { w.settleQuietly(25 * time.Second); f.heal(w) }()
			}
		})
		sc.drive(w, &v)
		w.settle(90 * time.Second)
		w.checkServing()
		w.checkSettled()
	})
	if !reached {
		t.Logf("cell not reached: the fault-free path of this scenario has no step %q", step)
	}
}

// settleQuietly sleeps without waiting for the bubble, for use beside a driver.
func (w *world) settleQuietly(d time.Duration) { time.Sleep(d) }

// checkServing verifies that the domain serves again after the fault.
func (w *world) checkServing() {
	w.t.Helper()
	w.mu.Lock()
	w.hook = nil
	w.mu.Unlock()
	if err := w.topUp("after", 1_000); err != nil {
		w.t.Fatalf("top-up after the fault: %v", err)
	}
	for _, n := range w.nodes {
		if n.IsLiveSelf() && !n.IsDraining(n.id.Incarnation) {
			n.expect(n.newRequest(50, 50), "answered")
			m, v := n.manager.MapView()
			w.t.Logf("%s: map version %d: %+v", n.id.Instance, v, m.Shards[ledger.ShardOf(testBudget, testShards)])
			return
		}
	}
}

// IsLiveSelf reports whether the test still counts the node as alive.
func (n *node) IsLiveSelf() bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	_, ok := n.w.live[n.id.Incarnation]
	return ok && n.thaw == nil
}
