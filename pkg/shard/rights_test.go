package shard

import (
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// TestGrantJobRefusesRecords guards against acting on a budget record that is older than
// one seen before or was written by a later owner, and against acting on any record after
// the owner was replaced.
func TestGrantJobRefusesRecords(t *testing.T) {
	for _, tt := range []struct {
		desc    string
		version uint64
		epoch   uint64
		role    role
		kind    failure.Kind
	}{
		{"older than seen before", 6, replicaEpoch, roleOwner, failure.Unavailable},
		{"written by a later owner", 7, replicaEpoch + 1, roleOwner, failure.Fenced},
		{"read by a fenced owner", 7, replicaEpoch, roleFenced, failure.NotOwner},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			m, _ := newReplica(t)
			r := m.replicas[0]
			r.becomeOwner(r.state, replicaEpoch)
			r.commit(r.state.PlanSyncGrant(testBudget, 50, 7))
			r.role = tt.role
			b := &ledger.BudgetRecord{Format: ledger.FormatVersion, Paid: 900, Grants: []ledger.Grant{{Shard: r.id(), Epoch: tt.epoch, Granted: 80}}}
			data, _ := b.Encode()
			j := &grantJob{r: r, epoch: replicaEpoch, budget: testBudget}
			if s := j.plan(kvstore.Record{Value: data, Version: tt.version}); failure.KindOf(s.err) != tt.kind {
				t.Errorf("step %+v, want error %q", s, tt.kind)
			}
			if j.applyGrant(80, 8); tt.role != roleOwner && r.state.Right(testBudget).Granted != 50 {
				t.Error("a late result changed the rights of a replaced owner")
			}
		})
	}
}

// TestReturnWaitsForBackup guards against a lower grant in the store that the backup does
// not know of: a new owner would exceed it.
func TestReturnWaitsForBackup(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		bootCluster(c, 10_000)
		owner, backup := c.ownerOf(testDomainA), c.backupOf(testDomainA)
		owner.expectOutcome(owner.newRequest(100, 60), "answered")
		before := c.budget().Grants[0].Granted
		c.net.Silence(owner.id.Address, backup.id.Address)
		_ = owner.manager.do(c.ctx, func() {
			owner.manager.replica(ledger.ShardOf(testBudget, testShards)).returnRights(testBudget,
				func(r ledger.Right) ledger.Tokens { return r.Available() }, nil)
		})
		c.runFor(5 * time.Second)
		if got := c.budget().Grants[0].Granted; got != before {
			t.Errorf("the store grants %d, want %d as before the return while the backup does not answer", got, before)
		}
		c.net.Heal(owner.id.Address, backup.id.Address)
	})
}

// TestExhaustedRepeatIsUnknown guards against "not run" for a repeat that finds the budget
// exhausted although an earlier attempt may have run.
func TestExhaustedRepeatIsUnknown(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		bootCluster(c, 100)
		n := c.ownerOf(testDomainA)
		req := ledger.ReserveRequest{ID: n.newRequest(0, 0).id, Budget: testBudget, Service: "app", Amount: 10, Repeatable: true,
			KeepAnswer: true, Dispatcher: n.id.Incarnation, Call: 1}
		first, err := n.perform(c.ctx, recordOp{reserve: &req})
		if err != nil || first.decision != ledger.Admitted {
			t.Fatalf("got %+v, %v; want an admission", first, err)
		}
		c.executions[req.ID] = 1
		_, _ = n.perform(c.ctx, recordOp{settle: &ledger.SettleRequest{ID: req.ID, Attempt: 1, End: ledger.EndUnknown}})
		req.Call, req.Amount = 2, 500
		if again, err := n.perform(c.ctx, recordOp{reserve: &req}); err != nil || again.decision != ledger.OutcomeUnknown {
			t.Errorf("got %+v, %v; want an unknown outcome", again, err)
		}
	})
}

// TestErrorCarriesNoReply guards against values in the reply of a call that failed.
func TestErrorCarriesNoReply(t *testing.T) {
	runCluster(t, func(c *testCluster) {
		n := c.startInstance("a1", testDomainA)
		got, err := await(c.ctx, n.manager, func(answer func(int, error)) { answer(7, stoppingError()) })
		if got != 0 || err == nil {
			t.Errorf("got %d, %v; want 0 and an error", got, err)
		}
	})
}
