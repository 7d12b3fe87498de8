package shard

import (
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// startHandover starts a handover of the test budget's shard to its backup, as
// the balancing of shards does.
func (n *node) startHandover(backup *node) bool {
	started := false
	_ = n.manager.do(n.w.ctx, func() {
		started = n.manager.replica(ledger.ShardOf(testBudget, testShards)).startHandover(backup.id)
	})
	return started
}

// Guards against a shard that nobody serves because its owner goes on waiting for
// a handover to a backup that is gone.
func TestBackupGoneDuringHandover(t *testing.T) {
	for _, tt := range []struct {
		desc     string
		stranded int
		fail     func(w *world, owner, backup *node)
	}{
		{"before the backup had the last mutations", 0, func(w *world, owner, backup *node) {
			w.net.Silence(owner.id.Address, backup.id.Address)
			go owner.send(owner.newRequest(100, 60), 3*time.Second)
			w.settle(10 * time.Millisecond)
			if !owner.startHandover(backup) {
				t.Fatal("handover was not started")
			}
			w.settle(500 * time.Millisecond)
			backup.kill()
		}},
		{"after the handover, whose answer was lost", 1, func(w *world, owner, backup *node) {
			w.net.LoseAnswers(owner.id.Address, backup.id.Address, 1)
			if !owner.startHandover(backup) {
				t.Fatal("handover was not started")
			}
			w.settle(10 * time.Millisecond)
			backup.kill()
		}},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			runWorld(t, func(w *world) {
				boot(w, 10_000)
				owner, backup := w.ownerOf(testDomainA), w.backupOf(testDomainA)
				owner.expect(owner.newRequest(100, 60), "answered")
				tt.fail(w, owner, backup)
				w.settle(30 * time.Second)
				owner.expect(owner.newRequest(100, 60), "answered")
				if got := len(w.budget().Stranded); got != tt.stranded {
					t.Errorf("%d stranded grants, want %d", got, tt.stranded)
				}
			})
		})
	}
}

// Guards against losing the state of the backup that a shard was handed to, when
// an earlier swap of the map by the old owner takes effect after the handover.
func TestHandoverAfterUncertainSwap(t *testing.T) {
	runWorld(t, func(w *world) {
		boot(w, 10_000)
		owner, backup := w.ownerOf(testDomainA), w.backupOf(testDomainA)
		sent := make(chan struct{})
		w.once("after swap shards", func() { close(sent) })
		w.store.DelayWrites(true)
		backup.setDraining() // makes the owner name another backup
		<-sent
		w.settle(10 * time.Millisecond)
		w.store.DelayWrites(false)
		w.mu.Lock()
		delete(w.draining, backup.id.Incarnation)
		w.mu.Unlock()
		owner.setDraining()
		go func() { _ = owner.manager.Drain(w.ctx) }()
		w.settle(300 * time.Millisecond)
		req := backup.newRequest(100, 60)
		backup.expect(req, "answered")
		w.store.ApplyDelayed()
		w.settle(5 * time.Second)
		owner.kill()
		w.settle(20 * time.Second)
		backup.expect(req, "answered")
	})
}
