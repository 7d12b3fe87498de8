package shard

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// Guards against refusing a request that came while another call for rights was
// under way, although the budget has room for both.
func TestAskDuringAnotherAsk(t *testing.T) {
	runWorld(t, func(w *world) {
		boot(w, 100_000)
		owner := w.ownerOf(testDomainA)
		w.store.Slow(300 * time.Millisecond)
		var first sync.WaitGroup
		first.Go(func() { owner.expect(owner.newRequest(100, 60), "answered") })
		w.settleQuietly(450 * time.Millisecond) // the record was read, the swap is under way
		owner.expect(owner.newRequest(30_000, 60), "answered")
		first.Wait()
		w.store.Slow(0)
	})
}

// Guards against memory that grows with each call for as long as the backup is
// silent and the store is down.
func TestBacklogIsBounded(t *testing.T) {
	runWorld(t, func(w *world) {
		boot(w, 10_000)
		owner, backup := w.ownerOf(testDomainA), w.backupOf(testDomainA)
		req := owner.newRequest(1, 1)
		owner.expect(req, "answered")
		w.store.Down(true)
		w.net.Silence(owner.id.Address, backup.id.Address)
		op := ledger.SettleRequest{ID: req.id, Attempt: 1, End: ledger.EndComplete}
		kinds := map[failure.Kind]int{}
		for range 2 * maxReplicationWaiters {
			ctx, cancel := context.WithTimeout(w.ctx, time.Millisecond)
			_, err := owner.manager.Settle(ctx, op)
			cancel()
			kinds[failure.KindOf(err)]++
		}
		// A bill segment that waits for the backup may take a place too.
		if kinds[failure.Uncertain] > maxReplicationWaiters || kinds[failure.Uncertain]+kinds[failure.Unavailable] != 2*maxReplicationWaiters {
			t.Errorf("errors %v, want at most %d that are uncertain and the others unavailable", kinds, maxReplicationWaiters)
		}
		w.store.Down(false)
		w.net.Heal(owner.id.Address, backup.id.Address)
		w.settle(10 * time.Second)
		owner.expect(owner.newRequest(1, 1), "answered")
	})
}
