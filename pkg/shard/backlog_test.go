package shard

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// TestAskDuringAnotherAsk guards against refusing a request that arrives while a call
// for the rights of another request is in flight, although the budget can cover both.
func TestAskDuringAnotherAsk(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		bootCluster(c, 100_000)
		owner := c.ownerOf(testDomainA)
		c.store.SetResponseDelay(300 * time.Millisecond)
		var first sync.WaitGroup
		first.Go(func() { owner.expectOutcome(owner.newRequest(100, 60), "answered") })
		c.sleep(450 * time.Millisecond) // the record was read, the swap is in flight
		owner.expectOutcome(owner.newRequest(30_000, 60), "answered")
		first.Wait()
		c.store.SetResponseDelay(0)
	})
}

// TestBacklogIsBounded guards against memory that grows with each call while the backup
// does not answer and the store is down.
func TestBacklogIsBounded(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		bootCluster(c, 10_000)
		owner, backup := c.ownerOf(testDomainA), c.backupOf(testDomainA)
		req := owner.newRequest(1, 1)
		owner.expectOutcome(req, "answered")
		c.store.SetDown(true)
		c.net.Silence(owner.id.Address, backup.id.Address)
		op := ledger.SettleRequest{ID: req.id, Attempt: 1, End: ledger.EndComplete}
		kinds := map[failure.Kind]int{}
		for range 2 * maxReplicationWaiters {
			ctx, cancel := context.WithTimeout(c.ctx, time.Millisecond)
			_, err := owner.manager.Settle(ctx, op)
			cancel()
			kinds[failure.KindOf(err)]++
		}
		// A bill segment that waits for the backup may also count as a waiter.
		if kinds[failure.Uncertain] > maxReplicationWaiters || kinds[failure.Uncertain]+kinds[failure.Unavailable] != 2*maxReplicationWaiters {
			t.Errorf("errors %v, want at most %d that are uncertain and the others unavailable", kinds, maxReplicationWaiters)
		}
		c.store.SetDown(false)
		c.net.Heal(owner.id.Address, backup.id.Address)
		c.runFor(10 * time.Second)
		owner.expectOutcome(owner.newRequest(1, 1), "answered")
	})
}
