package shard

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// bootCluster starts three instances in one domain with a paid budget and waits until
// each shard has an owner and a backup.
func bootCluster(c *testCluster, paid ledger.Tokens) {
	if err := c.topUp("first", paid); err != nil {
		c.t.Fatal(err)
	}
	for _, name := range []string{"a1", "a2", "a3"} {
		c.startInstance(name, testDomainA)
	}
	c.runFor(15 * time.Second)
	if c.ownerOf(testDomainA) == nil || c.backupOf(testDomainA) == nil {
		c.t.Fatal("shard has no owner or no backup after 15 s")
	}
}

// expectOutcome sends a request and verifies the outcome that its caller is told.
func (n *testInstance) expectOutcome(req testRequest, want string) {
	n.cluster.t.Helper()
	got := n.send(req, 30*time.Second)
	n.cluster.mu.Lock()
	n.cluster.outcomes[req.id] = got
	n.cluster.mu.Unlock()
	if got != want {
		n.cluster.t.Errorf("request %s: caller was told %q, want %q", req.id, got, want)
	}
}

// TestServesFromEachInstance guards against requests that are lost, run twice or billed
// twice without any fault.
func TestServesFromEachInstance(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		bootCluster(c, 10_000)
		for _, n := range c.instances {
			req := n.newRequest(100, 60)
			n.expectOutcome(req, "answered")
			n.expectOutcome(req, "answered")
		}
		c.runFor(20 * time.Second)
		if got := len(c.bills()); got != 3 {
			t.Errorf("%d bill lines, want 3", got)
		}
	})
}

// TestSpendsBudgetToTheEnd guards against spending more than was paid, and against
// refusing the last tokens.
func TestSpendsBudgetToTheEnd(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		bootCluster(c, 1_000)
		n := c.instances["a1"]
		for range 10 {
			n.expectOutcome(n.newRequest(100, 100), "answered")
		}
		n.expectOutcome(n.newRequest(1, 1), "not-run")
		if err := c.topUp("second", 50); err != nil {
			t.Fatal(err)
		}
		c.runFor(time.Second)
		n.expectOutcome(n.newRequest(50, 50), "answered")
	})
}

// TestFirstDrawWhileStoreIsDown guards against reporting a budget as exhausted when its
// record could not be read.
func TestFirstDrawWhileStoreIsDown(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		bootCluster(c, 1_000)
		n := c.instances["a1"]
		c.store.SetDown(true)
		req := n.newRequest(100, 60)
		reply, err := n.router.Reserve(c.ctx, ledger.ReserveRequest{ID: req.id, Budget: testBudget, Amount: 100, Dispatcher: n.id.Incarnation, Call: 1})
		if err != nil || reply.Decision != ledger.Exhausted || reply.Kind != failure.Unavailable {
			t.Errorf("reply %+v, %v; want Exhausted of kind unavailable", reply, err)
		}
		c.store.SetDown(false)
		n.expectOutcome(n.newRequest(100, 60), "answered")
		reply, err = n.router.Reserve(c.ctx, ledger.ReserveRequest{ID: n.newRequest(1, 1).id, Budget: testBudget, Amount: 5_000, Dispatcher: n.id.Incarnation, Call: 2})
		if err != nil || reply.Decision != ledger.Exhausted || reply.Kind != "" {
			t.Errorf("reply %+v, %v; want Exhausted from a budget that was read", reply, err)
		}
	})
}

// TestTakeoverAfterOwnerKilled guards against losing requests or rights when the owner is
// killed.
func TestTakeoverAfterOwnerKilled(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		bootCluster(c, 10_000)
		owner := c.ownerOf(testDomainA)
		n := c.otherInstance(testDomainA, owner)
		first := n.newRequest(100, 60)
		n.expectOutcome(first, "answered")
		owner.kill()
		n.expectOutcome(first, "answered")
		n.expectOutcome(n.newRequest(100, 60), "answered")
		c.runFor(20 * time.Second)
		if got := len(c.bills()); got != 2 {
			t.Errorf("%d bill lines, want 2", got)
		}
		if len(c.budget().Stranded) != 0 {
			t.Errorf("rights were stranded although the backup was alive: %+v", c.budget().Stranded)
		}
	})
}

// TestBalanceSettles guards against shards that balancing hands back and forth.
func TestBalanceSettles(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		bootCluster(c, 10_000)
		owner := c.ownerOf(testDomainA)
		n := c.otherInstance(testDomainA, owner)
		owner.kill()
		c.runFor(30 * time.Second)
		_, before := n.manager.MapView()
		c.runFor(30 * time.Second)
		if m, after := n.manager.MapView(); after != before {
			t.Errorf("the map went from version %d to %d without a fault: %+v", before, after, m.Shards)
		}
	})
}

// TestPausedOwnerIsFenced guards against an owner that keeps spending after it was
// replaced while it was paused.
func TestPausedOwnerIsFenced(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		bootCluster(c, 1_000)
		owner := c.ownerOf(testDomainA)
		n := c.otherInstance(testDomainA, owner)
		n.expectOutcome(n.newRequest(100, 100), "answered")
		owner.pause()
		owner.setLive(false)
		for range 9 {
			n.expectOutcome(n.newRequest(100, 100), "answered")
		}
		owner.resume()
		owner.setLive(true)
		c.runFor(5 * time.Second)
		owner.expectOutcome(owner.newRequest(100, 100), "not-run")
	})
}

// TestBothReplicasLost guards against reusing rights or ids of an epoch that was lost with
// both replicas.
func TestBothReplicasLost(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		bootCluster(c, 10_000)
		owner, backup := c.ownerOf(testDomainA), c.backupOf(testDomainA)
		n := c.otherInstance(testDomainA, owner, backup)
		done, unused := n.newRequest(100, 60), n.newRequest(100, 60)
		n.expectOutcome(done, "answered")
		owner.kill()
		backup.kill()
		c.runFor(30 * time.Second)
		if got := n.send(done, 5*time.Second); got != "unknown" {
			t.Errorf("repeat of a request of the lost epoch was told %q, want unknown", got)
		}
		if got := n.send(unused, 5*time.Second); got != "unknown" {
			t.Errorf("id of the lost epoch was told %q, want unknown", got)
		}
		n.expectOutcome(n.newRequest(100, 60), "answered")
		if len(c.budget().Stranded) != 1 {
			t.Errorf("stranded %+v, want one entry", c.budget().Stranded)
		}
	})
}

// TestGracefulStop guards against aborting requests or losing records on a graceful stop,
// with and without the store.
func TestGracefulStop(t *testing.T) {
	for _, tt := range []struct {
		desc string
		down bool
	}{{"store up", false}, {"store down", true}} {
		t.Run(tt.desc, func(t *testing.T) {
			runCluster(t, func(c *testCluster) {
				bootCluster(c, 10_000)
				owner := c.ownerOf(testDomainA)
				n := c.otherInstance(testDomainA, owner)
				first := n.newRequest(100, 60)
				n.expectOutcome(first, "answered")
				c.store.SetDown(tt.down)
				owner.setDraining()
				if err := owner.manager.Drain(c.ctx); err != nil {
					t.Fatal(err)
				}
				owner.kill()
				n.expectOutcome(first, "answered")
				n.expectOutcome(n.newRequest(100, 60), "answered")
				c.store.SetDown(false)
				c.runFor(30 * time.Second)
				n.expectOutcome(n.newRequest(100, 60), "answered")
				c.runFor(20 * time.Second)
				if got := len(c.bills()); got != 3 {
					t.Errorf("%d bill lines, want 3", got)
				}
				c.checkMapStable()
			})
		})
	}
}

// TestBackupKilled guards against an owner that goes on without its backup while the map
// still names that backup.
func TestBackupKilled(t *testing.T) {
	for _, tt := range []struct {
		desc, want string
		down       bool
	}{{"store up", "answered", false}, {"store down", "unknown", true}} {
		t.Run(tt.desc, func(t *testing.T) {
			runCluster(t, func(c *testCluster) {
				bootCluster(c, 10_000)
				owner, backup := c.ownerOf(testDomainA), c.backupOf(testDomainA)
				owner.expectOutcome(owner.newRequest(100, 60), "answered")
				c.store.SetDown(tt.down)
				backup.kill()
				owner.expectOutcome(owner.newRequest(100, 60), tt.want)
				c.store.SetDown(false)
				c.runFor(30 * time.Second)
				owner.expectOutcome(owner.newRequest(100, 60), "answered")
				if c.backupOf(testDomainA) == nil {
					t.Error("no new backup after 30 s")
				}
			})
		})
	}
}

// TestRecallFromOtherDomain guards against refusing a request while another domain holds
// idle rights.
func TestRecallFromOtherDomain(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		bootCluster(c, 1_000)
		for _, name := range []string{"b1", "b2"} {
			c.startInstance(name, testDomainB)
		}
		c.runFor(15 * time.Second)
		a, b := c.instances["a1"], c.instances["b1"]
		b.expectOutcome(b.newRequest(10, 10), "answered")
		for range 9 {
			a.expectOutcome(a.newRequest(100, 100), "answered")
		}
		c.runFor(time.Minute)
		a.expectOutcome(a.newRequest(90, 90), "answered")
		a.expectOutcome(a.newRequest(1, 1), "not-run")
	})
}

// TestStopWholeDomain guards against losing bill lines when all instances of a domain stop
// one after another, with different delays in between.
func TestStopWholeDomain(t *testing.T) {
	for _, wait := range []time.Duration{0, 200 * time.Millisecond, time.Second, 4 * time.Second} {
		for _, order := range [][]int{{1, 2, 3}, {2, 3, 1}, {3, 1, 2}, {3, 2, 1}} {
			t.Run(fmt.Sprintf("wait %s, order %v", wait, order), func(t *testing.T) {
				runCluster(t, func(c *testCluster) {
					if err := c.topUp("first", 10_000); err != nil {
						t.Fatal(err)
					}
					for i := range 3 {
						c.startInstance(fmt.Sprintf("a%d", i+1), testDomainA)
						c.sleep(300 * time.Millisecond) // their ticks differ
					}
					c.runFor(15 * time.Second)
					for _, n := range c.instances {
						n.expectOutcome(n.newRequest(100, 60), "answered")
					}
					c.hookEach("before "+string(MethodRelease), func() { time.Sleep(500 * time.Millisecond) })
					for _, i := range order {
						n := c.instances[fmt.Sprintf("a%d", i)]
						n.setDraining()
						ctx, cancel := context.WithTimeout(c.ctx, 30*time.Second)
						if err := n.manager.Drain(ctx); err != nil {
							t.Errorf("drain of %s: %v", n.id.Instance, err)
						}
						cancel()
						n.exit()
						c.sleep(wait)
					}
					c.runFor(5 * time.Second)
					if got := len(c.bills()); got != 3 {
						t.Errorf("%d bill lines, want 3", got)
					}
					if len(c.budget().Stranded) != 0 {
						t.Errorf("rights were stranded by a graceful stop: %+v", c.budget().Stranded)
					}
				})
			})
		}
	}
}

// TestDrainWaits guards against a drain that ends while the next owner still needs the
// instance's state, or before the owner has received its release: the epoch would be lost
// with its bill lines, or the owner would wait until the backup's heartbeats time out.
func TestDrainWaits(t *testing.T) {
	for _, tt := range []struct {
		desc    string
		prepare func(c *testCluster, owner, backup *testInstance) *testInstance
	}{
		{"until the state of a fenced epoch was fetched", func(c *testCluster, owner, _ *testInstance) *testInstance {
			_ = owner.manager.do(c.ctx, func() { owner.manager.replica(ledger.ShardOf(testBudget, testShards)).fence() })
			return owner
		}},
		{"until the owner has answered the release", func(c *testCluster, owner, backup *testInstance) *testInstance {
			c.net.Silence(owner.id.Address, backup.id.Address)
			return backup
		}},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			runCluster(t, func(c *testCluster) {
				bootCluster(c, 1_000)
				owner, backup := c.ownerOf(testDomainA), c.backupOf(testDomainA)
				n := tt.prepare(c, owner, backup)
				n.setDraining()
				ctx, cancel := context.WithTimeout(c.ctx, 500*time.Millisecond)
				defer cancel()
				if err := n.manager.Drain(ctx); err == nil {
					t.Error("the drain ended although another instance still needs this one")
				}
				c.net.Heal(owner.id.Address, backup.id.Address)
				c.runFor(10 * time.Second)
			})
		})
	}
}

// TestStandingShare guards against refusing the first request of a domain while the store
// is down, although the budget has rights left.
func TestStandingShare(t *testing.T) {
	for _, tt := range []struct {
		desc     string
		standing []ledger.BudgetKey
		want     string
	}{{"no standing share", nil, "not-run"}, {"standing share", []ledger.BudgetKey{testBudget}, "answered"}} {
		t.Run(tt.desc, func(t *testing.T) {
			runCluster(t, func(c *testCluster) {
				c.standing = tt.standing
				bootCluster(c, 10_000)
				c.runFor(15 * time.Second)
				c.store.SetDown(true)
				n := c.instances["a1"]
				n.expectOutcome(n.newRequest(100, 60), tt.want)
				c.store.SetDown(false)
			})
		})
	}
}
