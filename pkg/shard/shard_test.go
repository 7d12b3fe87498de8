package shard

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// boot starts three instances in one domain with a paid budget and waits until
// each shard has an owner and a backup.
func boot(w *world, paid ledger.Tokens) {
	if err := w.topUp("first", paid); err != nil {
		w.t.Fatal(err)
	}
	for _, name := range []string{"a1", "a2", "a3"} {
		w.start(name, testDomainA)
	}
	w.settle(15 * time.Second)
	if w.ownerOf(testDomainA) == nil || w.backupOf(testDomainA) == nil {
		w.t.Fatal("shard has no owner or no backup after 15 s")
	}
}

// expect sends a request and compares what its caller is told.
func (n *node) expect(req request, want string) {
	n.w.t.Helper()
	got := n.send(req, 30*time.Second)
	n.w.mu.Lock()
	n.w.told[req.id] = got
	n.w.mu.Unlock()
	if got != want {
		n.w.t.Errorf("request %s: caller was told %q, want %q", req.id, got, want)
	}
}

// Guards against requests that are lost, run twice or billed twice when nothing fails.
func TestServesFromEachInstance(t *testing.T) {
	runWorld(t, func(w *world) {
		boot(w, 10_000)
		for _, n := range w.nodes {
			req := n.newRequest(100, 60)
			n.expect(req, "answered")
			n.expect(req, "answered")
		}
		w.settle(20 * time.Second)
		if got := len(w.bills()); got != 3 {
			t.Errorf("%d bill lines, want 3", got)
		}
	})
}

// Guards against spending more than was paid, and against refusing the last tokens.
func TestSpendsBudgetToTheEnd(t *testing.T) {
	runWorld(t, func(w *world) {
		boot(w, 1_000)
		n := w.nodes["a1"]
		for range 10 {
			n.expect(n.newRequest(100, 100), "answered")
		}
		n.expect(n.newRequest(1, 1), "not-run")
		if err := w.topUp("second", 50); err != nil {
			t.Fatal(err)
		}
		w.settle(time.Second)
		n.expect(n.newRequest(50, 50), "answered")
	})
}

// Guards against calling a budget exhausted that only could not be read.
func TestFirstDrawWhileStoreIsDown(t *testing.T) {
	runWorld(t, func(w *world) {
		boot(w, 1_000)
		n := w.nodes["a1"]
		w.store.Down(true)
		req := n.newRequest(100, 60)
		reply, err := n.router.Reserve(w.ctx, ledger.ReserveRequest{ID: req.id, Budget: testBudget, Amount: 100, Dispatcher: n.id.Incarnation, Call: 1})
		if err != nil || reply.Decision != ledger.Exhausted || reply.Kind != failure.Unavailable {
			t.Errorf("reply %+v, %v; want Exhausted of kind unavailable", reply, err)
		}
		w.store.Down(false)
		n.expect(n.newRequest(100, 60), "answered")
		reply, err = n.router.Reserve(w.ctx, ledger.ReserveRequest{ID: n.newRequest(1, 1).id, Budget: testBudget, Amount: 5_000, Dispatcher: n.id.Incarnation, Call: 2})
		if err != nil || reply.Decision != ledger.Exhausted || reply.Kind != "" {
			t.Errorf("reply %+v, %v; want Exhausted from a budget that was read", reply, err)
		}
	})
}

// Guards against losing requests or rights when the owner is killed.
func TestTakeoverAfterOwnerKilled(t *testing.T) {
	runWorld(t, func(w *world) {
		boot(w, 10_000)
		owner := w.ownerOf(testDomainA)
		n := w.other(testDomainA, owner)
		first := n.newRequest(100, 60)
		n.expect(first, "answered")
		owner.kill()
		n.expect(first, "answered")
		n.expect(n.newRequest(100, 60), "answered")
		w.settle(20 * time.Second)
		if got := len(w.bills()); got != 2 {
			t.Errorf("%d bill lines, want 2", got)
		}
		if len(w.budget().Stranded) != 0 {
			t.Errorf("rights were stranded although the backup was alive: %+v", w.budget().Stranded)
		}
	})
}

// Guards against shards that are handed back and forth for the sake of balance.
func TestBalanceSettles(t *testing.T) {
	runWorld(t, func(w *world) {
		boot(w, 10_000)
		owner := w.ownerOf(testDomainA)
		n := w.other(testDomainA, owner)
		owner.kill()
		w.settle(30 * time.Second)
		_, before := n.manager.MapView()
		w.settle(30 * time.Second)
		if m, after := n.manager.MapView(); after != before {
			t.Errorf("the map went from version %d to %d without a fault: %+v", before, after, m.Shards)
		}
	})
}

// Guards against an owner that was paused past its replacement and spends on.
func TestPausedOwnerIsFenced(t *testing.T) {
	runWorld(t, func(w *world) {
		boot(w, 1_000)
		owner := w.ownerOf(testDomainA)
		n := w.other(testDomainA, owner)
		n.expect(n.newRequest(100, 100), "answered")
		owner.pause()
		owner.setLive(false)
		for range 9 {
			n.expect(n.newRequest(100, 100), "answered")
		}
		owner.resume()
		owner.setLive(true)
		w.settle(5 * time.Second)
		owner.expect(owner.newRequest(100, 100), "not-run")
	})
}

// Guards against reusing rights or ids of an epoch that was lost with both replicas.
func TestBothReplicasLost(t *testing.T) {
	runWorld(t, func(w *world) {
		boot(w, 10_000)
		owner, backup := w.ownerOf(testDomainA), w.backupOf(testDomainA)
		n := w.other(testDomainA, owner, backup)
		done, unused := n.newRequest(100, 60), n.newRequest(100, 60)
		n.expect(done, "answered")
		owner.kill()
		backup.kill()
		w.settle(30 * time.Second)
		if got := n.send(done, 5*time.Second); got != "unknown" {
			t.Errorf("repeat of a request of the lost epoch was told %q, want unknown", got)
		}
		if got := n.send(unused, 5*time.Second); got != "unknown" {
			t.Errorf("id of the lost epoch was told %q, want unknown", got)
		}
		n.expect(n.newRequest(100, 60), "answered")
		if len(w.budget().Stranded) != 1 {
			t.Errorf("stranded %+v, want one entry", w.budget().Stranded)
		}
	})
}

// Guards against cutting requests or losing records on a graceful stop, with and
// without the store.
func TestGracefulStop(t *testing.T) {
	for _, tt := range []struct {
		desc string
		down bool
	}{{"store up", false}, {"store down", true}} {
		t.Run(tt.desc, func(t *testing.T) {
			runWorld(t, func(w *world) {
				boot(w, 10_000)
				owner := w.ownerOf(testDomainA)
				n := w.other(testDomainA, owner)
				first := n.newRequest(100, 60)
				n.expect(first, "answered")
				w.store.Down(tt.down)
				owner.setDraining()
				if err := owner.manager.Drain(w.ctx); err != nil {
					t.Fatal(err)
				}
				owner.kill()
				n.expect(first, "answered")
				n.expect(n.newRequest(100, 60), "answered")
				w.store.Down(false)
				w.settle(30 * time.Second)
				n.expect(n.newRequest(100, 60), "answered")
				w.settle(20 * time.Second)
				if got := len(w.bills()); got != 3 {
					t.Errorf("%d bill lines, want 3", got)
				}
				w.checkSettled()
			})
		})
	}
}

// Guards against an owner that goes on without its backup while the map still
// names that backup.
func TestBackupKilled(t *testing.T) {
	for _, tt := range []struct {
		desc, want string
		down       bool
	}{{"store up", "answered", false}, {"store down", "unknown", true}} {
		t.Run(tt.desc, func(t *testing.T) {
			runWorld(t, func(w *world) {
				boot(w, 10_000)
				owner, backup := w.ownerOf(testDomainA), w.backupOf(testDomainA)
				owner.expect(owner.newRequest(100, 60), "answered")
				w.store.Down(tt.down)
				backup.kill()
				owner.expect(owner.newRequest(100, 60), tt.want)
				w.store.Down(false)
				w.settle(30 * time.Second)
				owner.expect(owner.newRequest(100, 60), "answered")
				if w.backupOf(testDomainA) == nil {
					t.Error("no new backup after 30 s")
				}
			})
		})
	}
}

// Guards against refusing a request while another domain holds idle rights.
func TestRecallFromOtherDomain(t *testing.T) {
	runWorld(t, func(w *world) {
		boot(w, 1_000)
		for _, name := range []string{"b1", "b2"} {
			w.start(name, testDomainB)
		}
		w.settle(15 * time.Second)
		a, b := w.nodes["a1"], w.nodes["b1"]
		b.expect(b.newRequest(10, 10), "answered")
		for range 9 {
			a.expect(a.newRequest(100, 100), "answered")
		}
		w.settle(time.Minute)
		a.expect(a.newRequest(90, 90), "answered")
		a.expect(a.newRequest(1, 1), "not-run")
	})
}

// Guards against losing bill lines when all instances of a domain stop one after
// another, with different waits in between.
func TestStopWholeDomain(t *testing.T) {
	for _, wait := range []time.Duration{0, 200 * time.Millisecond, time.Second, 4 * time.Second} {
		for _, order := range [][]int{{1, 2, 3}, {2, 3, 1}, {3, 1, 2}, {3, 2, 1}} {
			t.Run(fmt.Sprintf("wait %s, order %v", wait, order), func(t *testing.T) {
				runWorld(t, func(w *world) {
					if err := w.topUp("first", 10_000); err != nil {
						t.Fatal(err)
					}
					for i := range 3 {
						w.start(fmt.Sprintf("a%d", i+1), testDomainA)
						w.settleQuietly(300 * time.Millisecond) // their ticks differ
					}
					w.settle(15 * time.Second)
					for _, n := range w.nodes {
						n.expect(n.newRequest(100, 60), "answered")
					}
					w.every("before "+string(MethodRelease), func() { time.Sleep(500 * time.Millisecond) })
					for _, i := range order {
						n := w.nodes[fmt.Sprintf("a%d", i)]
						n.setDraining()
						ctx, cancel := context.WithTimeout(w.ctx, 30*time.Second)
						if err := n.manager.Drain(ctx); err != nil {
							t.Errorf("drain of %s: %v", n.id.Instance, err)
						}
						cancel()
						n.exit()
						w.settleQuietly(wait)
					}
					w.settle(5 * time.Second)
					if got := len(w.bills()); got != 3 {
						t.Errorf("%d bill lines, want 3", got)
					}
					if len(w.budget().Stranded) != 0 {
						t.Errorf("rights were stranded by a graceful stop: %+v", w.budget().Stranded)
					}
				})
			})
		}
	}
}

// Guards against an instance that ends while the next owner still needs its
// state, or before its release has reached the owner: the epoch was then lost
// with its bill lines, or the owner waited for the silence of its backup.
func TestDrainWaits(t *testing.T) {
	for _, tt := range []struct {
		desc    string
		prepare func(w *world, owner, backup *node) *node
	}{
		{"until the state of a fenced epoch was fetched", func(w *world, owner, _ *node) *node {
			_ = owner.manager.do(w.ctx, func() { owner.manager.replica(ledger.ShardOf(testBudget, testShards)).fence() })
			return owner
		}},
		{"until the owner has answered the release", func(w *world, owner, backup *node) *node {
			w.net.Silence(owner.id.Address, backup.id.Address)
			return backup
		}},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			runWorld(t, func(w *world) {
				boot(w, 1_000)
				owner, backup := w.ownerOf(testDomainA), w.backupOf(testDomainA)
				n := tt.prepare(w, owner, backup)
				n.setDraining()
				ctx, cancel := context.WithTimeout(w.ctx, 500*time.Millisecond)
				defer cancel()
				if err := n.manager.Drain(ctx); err == nil {
					t.Error("the drain ended although another instance still needs this one")
				}
				w.net.Heal(owner.id.Address, backup.id.Address)
				w.settle(10 * time.Second)
			})
		})
	}
}

// Guards against refusing the first request of a domain while the store is down,
// although the budget has room.
func TestStandingShare(t *testing.T) {
	for _, tt := range []struct {
		desc     string
		standing []ledger.BudgetKey
		want     string
	}{{"no standing share", nil, "not-run"}, {"standing share", []ledger.BudgetKey{testBudget}, "answered"}} {
		t.Run(tt.desc, func(t *testing.T) {
			runWorld(t, func(w *world) {
				w.standing = tt.standing
				boot(w, 10_000)
				w.settle(15 * time.Second)
				w.store.Down(true)
				n := w.nodes["a1"]
				n.expect(n.newRequest(100, 60), tt.want)
				w.store.Down(false)
			})
		})
	}
}
