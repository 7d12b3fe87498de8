package shard

import (
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// Guards against acting on a budget record that is older than one seen before, that
// a later owner has written, or that belongs to an owner that was replaced.
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
			r.serve(r.state, replicaEpoch)
			r.commit(r.state.PlanSyncGrant(testBudget, 50, 7))
			r.role = tt.role
			b := &ledger.BudgetRecord{Format: ledger.FormatVersion, Paid: 900, Grants: []ledger.Grant{{Shard: r.id(), Epoch: tt.epoch, Granted: 80}}}
			data, _ := b.Encode()
			j := &grantJob{r: r, epoch: replicaEpoch, budget: testBudget}
			if s := j.plan(kvstore.Record{Value: data, Version: tt.version}); failure.KindOf(s.err) != tt.kind {
				t.Errorf("step %+v, want error %q", s, tt.kind)
			}
			if j.mirror(80, 8); tt.role != roleOwner && r.state.Right(testBudget).Granted != 50 {
				t.Error("a late result changed the rights of a replaced owner")
			}
		})
	}
}

// Guards against a lower grant in the store that the backup does not know of, which
// a new owner would exceed.
func TestReturnWaitsForBackup(t *testing.T) {
	runWorld(t, func(w *world) {
		boot(w, 10_000)
		owner, backup := w.ownerOf(testDomainA), w.backupOf(testDomainA)
		owner.expect(owner.newRequest(100, 60), "answered")
		before := w.budget().Grants[0].Granted
		w.net.Silence(owner.id.Address, backup.id.Address)
		_ = owner.manager.do(w.ctx, func() {
			owner.manager.replica(ledger.ShardOf(testBudget, testShards)).returnRights(testBudget,
				func(r ledger.Right) ledger.Tokens { return r.Available() }, nil)
		})
		w.settle(5 * time.Second)
		if got := w.budget().Grants[0].Granted; got != before {
			t.Errorf("the store grants %d, before the return %d, and the backup was silent", got, before)
		}
		w.net.Heal(owner.id.Address, backup.id.Address)
	})
}

// Guards against "not run" for a repeat that finds the budget empty although an
// earlier attempt may have run.
func TestExhaustedRepeatIsUnknown(t *testing.T) {
	runWorld(t, func(w *world) {
		boot(w, 100)
		n := w.ownerOf(testDomainA)
		req := ledger.ReserveRequest{ID: n.newRequest(0, 0).id, Budget: testBudget, Service: "app", Amount: 10, Repeatable: true,
			KeepAnswer: true, Dispatcher: n.id.Incarnation, Call: 1}
		first, err := n.perform(w.ctx, recordOp{reserve: &req})
		if err != nil || first.decision != ledger.Admitted {
			t.Fatalf("%+v, %v", first, err)
		}
		w.runs[req.ID] = 1
		_, _ = n.perform(w.ctx, recordOp{settle: &ledger.SettleRequest{ID: req.ID, Attempt: 1, End: ledger.EndUnknown}})
		req.Call, req.Amount = 2, 500
		if again, err := n.perform(w.ctx, recordOp{reserve: &req}); err != nil || again.decision != ledger.OutcomeUnknown {
			t.Errorf("%+v, %v; want unknown", again, err)
		}
	})
}

// Guards against a reply that keeps values of an owner that refused the call.
func TestErrorCarriesNoReply(t *testing.T) {
	runWorld(t, func(w *world) {
		n := w.start("a1", testDomainA)
		got, err := await(w.ctx, n.manager, func(answer func(int, error)) { answer(7, errStopped()) })
		if got != 0 || err == nil {
			t.Errorf("%d, %v", got, err)
		}
	})
}
