package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// TestUnknownBudgetsAreLimited guards against callers whose random budget names flood
// the store or block the first use of a budget of another workspace.
func TestUnknownBudgetsAreLimited(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		bootCluster(c, 1_000)
		n := c.ownerOf(testDomainA)
		before := c.store.Calls(kvstore.CallGet)
		const names = 600
		limited := 0
		for i := range names {
			b := ledger.BudgetKey{Workspace: "rogue", Budget: fmt.Sprintf("b%d", i)}
			id, err := n.router.NewID(b)
			if err != nil {
				t.Fatal(err)
			}
			reply, err := n.reserveWithRetries(c.ctx, ledger.ReserveRequest{ID: id.String(), Budget: b, Fingerprint: []byte("f"), Amount: 1, Call: uint64(i + 1e6)})
			if err != nil || reply.Decision != ledger.Exhausted {
				t.Fatalf("unknown budget: %+v, %v", reply, err)
			}
			if reply.Kind == failure.Limited {
				limited++
			}
		}
		if limited < names/2 {
			t.Errorf("%d of %d requests were limited", limited, names)
		}
		if calls := c.store.Calls(kvstore.CallGet) - before; calls > names/2 {
			t.Errorf("%d reads of the store for %d unknown budgets", calls, names)
		}
		n.expectOutcome(n.newRequest(10, 10), "answered")
	})
}

// TestAskLimit guards against workspaces that use up the limit of the instance and
// thereby block others.
func TestAskLimit(t *testing.T) {
	l, now := newMissLimiter(), time.Now()
	passed := 0
	for i := range 100 * workspaceMissBurst {
		if l.tryStart(fmt.Sprintf("rogue%d", i%100), now) {
			passed++
		}
	}
	if passed > instanceMissBurst+100 {
		t.Errorf("%d calls were allowed at once, the limit is %d", passed, instanceMissBurst)
	}
	if !l.tryStart("clinic", now) {
		t.Error("the first call of a workspace is refused")
	}
}

// TestFirstUseOfManyBudgets guards against refusing a workspace that starts to use many
// budgets at once.
func TestFirstUseOfManyBudgets(t *testing.T) {
	l, now := newMissLimiter(), time.Now()
	for i := range 10 * workspaceMissBurst {
		if !l.tryStart("clinic", now) {
			t.Fatalf("the first use of budget %d is refused", i)
		}
		l.finish("clinic", false, now)
	}
}

// TestConcurrentFirstUse guards against refusing requests that arrive while a call for
// rights is in flight, although the budget can cover all of them.
func TestConcurrentFirstUse(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		bootCluster(c, 10_000)
		n := c.ownerOf(testDomainA)
		const requests = 8
		reported := make(chan string)
		for range requests {
			req := n.newRequest(1_200, 1_200)
			go func() {
				got := n.send(req, 30*time.Second)
				c.mu.Lock()
				c.outcomes[req.id] = got
				c.mu.Unlock()
				reported <- got
			}()
		}
		for range requests {
			if got := <-reported; got != "answered" {
				t.Errorf("a caller was told %q", got)
			}
		}
	})
}
