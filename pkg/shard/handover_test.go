package shard

import (
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// startHandover starts a handover of the test budget's shard to its backup, as balancing
// does.
func (n *testInstance) startHandover(backup *testInstance) bool {
	started := false
	_ = n.manager.do(n.cluster.ctx, func() {
		started = n.manager.replica(ledger.ShardOf(testBudget, testShards)).startHandover(backup.id)
	})
	return started
}

// TestBackupGoneDuringHandover guards against a shard without a serving instance because
// its owner keeps waiting for a handover to a backup that was lost.
func TestBackupGoneDuringHandover(t *testing.T) {
	for _, tt := range []struct {
		desc     string
		stranded int
		fail     func(c *testCluster, owner, backup *testInstance)
	}{
		{"before the backup had the last mutations", 0, func(c *testCluster, owner, backup *testInstance) {
			c.net.Silence(owner.id.Address, backup.id.Address)
			go owner.send(owner.newRequest(100, 60), 3*time.Second)
			c.runFor(10 * time.Millisecond)
			if !owner.startHandover(backup) {
				t.Fatal("handover was not started")
			}
			c.runFor(500 * time.Millisecond)
			backup.kill()
		}},
		{"after the handover, whose answer was lost", 1, func(c *testCluster, owner, backup *testInstance) {
			c.net.LoseAnswers(owner.id.Address, backup.id.Address, 1)
			if !owner.startHandover(backup) {
				t.Fatal("handover was not started")
			}
			c.runFor(10 * time.Millisecond)
			backup.kill()
		}},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			runCluster(t, func(c *testCluster) {
				bootCluster(c, 10_000)
				owner, backup := c.ownerOf(testDomainA), c.backupOf(testDomainA)
				owner.expectOutcome(owner.newRequest(100, 60), "answered")
				tt.fail(c, owner, backup)
				c.runFor(30 * time.Second)
				owner.expectOutcome(owner.newRequest(100, 60), "answered")
				if got := len(c.budget().Stranded); got != tt.stranded {
					t.Errorf("%d stranded grants, want %d", got, tt.stranded)
				}
			})
		})
	}
}

// TestHandoverAfterUncertainSwap guards against losing the state of the backup that took
// a shard over, when an earlier swap by the old owner takes effect after the handover.
func TestHandoverAfterUncertainSwap(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		bootCluster(c, 10_000)
		owner, backup := c.ownerOf(testDomainA), c.backupOf(testDomainA)
		sent := make(chan struct{})
		c.hookOnce("after swap shards", func() { close(sent) })
		c.store.DelaySwaps(true)
		backup.setDraining() // makes the owner name another backup
		<-sent
		c.runFor(10 * time.Millisecond)
		c.store.DelaySwaps(false)
		c.mu.Lock()
		delete(c.draining, backup.id.Incarnation)
		c.mu.Unlock()
		owner.setDraining()
		go func() { _ = owner.manager.Drain(c.ctx) }()
		c.runFor(300 * time.Millisecond)
		req := backup.newRequest(100, 60)
		backup.expectOutcome(req, "answered")
		c.store.ApplyDelayed()
		c.runFor(5 * time.Second)
		owner.kill()
		c.runFor(20 * time.Second)
		backup.expectOutcome(req, "answered")
	})
}
