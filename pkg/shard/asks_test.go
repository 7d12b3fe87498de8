package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// Guards against callers that name budgets at random and thereby flood the store
// or keep another workspace's budget from being found.
func TestUnknownBudgetsAreLimited(t *testing.T) {
	runWorld(t, func(w *world) {
		boot(w, 1_000)
		n := w.ownerOf(testDomainA)
		before := w.store.Calls(kvstore.CallGet)
		const names = 600
		limited := 0
		for i := range names {
			b := ledger.BudgetKey{Workspace: "rogue", Budget: fmt.Sprintf("b%d", i)}
			id, err := n.router.NewID(b)
			if err != nil {
				t.Fatal(err)
			}
			reply, err := n.reserveUntil(w.ctx, ledger.ReserveRequest{ID: id.String(), Budget: b, Fingerprint: []byte("f"), Amount: 1, Call: uint64(i + 1e6)})
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
		if calls := w.store.Calls(kvstore.CallGet) - before; calls > names/2 {
			t.Errorf("%d reads of the store for %d unknown budgets", calls, names)
		}
		n.expect(n.newRequest(10, 10), "answered")
	})
}

// Guards against one workspace that uses up the share of the others.
func TestAskLimit(t *testing.T) {
	l, now := newMissLimiter(), time.Now()
	passed := 0
	for i := range 100 * workspaceMissBurst {
		if l.acquire(fmt.Sprintf("rogue%d", i%100), now) {
			passed++
		}
	}
	if passed > instanceMissBurst+100 {
		t.Errorf("%d asks passed at once, the limit is %d", passed, instanceMissBurst)
	}
	if !l.acquire("clinic", now) {
		t.Error("a workspace that did not ask before is refused")
	}
}

// Guards against refusing budgets of a workspace that begins to use many at once.
func TestFirstUseOfManyBudgets(t *testing.T) {
	l, now := newMissLimiter(), time.Now()
	for i := range 10 * workspaceMissBurst {
		if !l.acquire("clinic", now) {
			t.Fatalf("the first use of budget %d is refused", i)
		}
		l.release("clinic", false, now)
	}
}

// Guards against refusing requests that arrive while the store is being asked,
// although the budget has room for all of them.
func TestConcurrentFirstUse(t *testing.T) {
	runWorld(t, func(w *world) {
		boot(w, 10_000)
		n := w.ownerOf(testDomainA)
		const requests = 8
		told := make(chan string)
		for range requests {
			req := n.newRequest(1_200, 1_200)
			go func() {
				got := n.send(req, 30*time.Second)
				w.mu.Lock()
				w.told[req.id] = got
				w.mu.Unlock()
				told <- got
			}()
		}
		for range requests {
			if got := <-told; got != "answered" {
				t.Errorf("a caller was told %q", got)
			}
		}
	})
}
