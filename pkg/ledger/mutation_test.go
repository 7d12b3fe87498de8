package ledger

import (
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Guards against a backup that differs from its owner after an attempt ended,
// because the message about the end carries only what changes.
func TestBackupFollowsEnds(t *testing.T) {
	tests := []struct {
		desc   string
		settle SettleRequest
	}{
		{"complete", SettleRequest{End: EndComplete, Charge: 30, Answer: &StoredAnswer{Status: 200, Body: []byte("ok")}}},
		{"partial", SettleRequest{End: EndPartial, Charge: 10}},
		{"not run", SettleRequest{End: EndNotRun}},
		{"unknown", SettleRequest{End: EndUnknown}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			shard, budget := ShardID{Domain: "ikeja"}, BudgetKey{Workspace: "meals", Budget: "rounds"}
			owner, backup := NewState(shard, 1, Retention{}), NewState(shard, 1, Retention{})
			replicate := func(m *Mutation, err error) {
				t.Helper()
				if err != nil || m == nil {
					t.Fatalf("mutation %v, %v", m, err)
				}
				owner.Commit(m)
				data, err := cbor.Marshal(m)
				if err != nil {
					t.Fatal(err)
				}
				var received Mutation
				if err := cbor.Unmarshal(data, &received); err != nil {
					t.Fatal(err)
				}
				if err := backup.Apply(&received); err != nil {
					t.Fatal(err)
				}
			}
			replicate(owner.PlanSyncGrant(budget, 1000, 1), nil)
			id := NewIssuedID(shard, 1, now).String()
			_, m, err := owner.PlanReserve(ReserveRequest{ID: id, Budget: budget, Service: "rounds-app", Fingerprint: []byte{1}, Amount: 50,
				KeepAnswer: true, Dispatcher: "a", DispatcherAddress: "a:1", Call: 7}, now)
			replicate(m, err)
			tt.settle.ID, tt.settle.Attempt = id, 1
			_, m, err = owner.PlanSettle(tt.settle, now.Add(time.Second))
			replicate(m, err)
			if !reflect.DeepEqual(owner.records, backup.records) {
				t.Errorf("records differ: %+v and %+v", owner.records[id], backup.records[id])
			}
			if owner.Right(budget) != backup.Right(budget) {
				t.Errorf("rights differ: %+v and %+v", owner.Right(budget), backup.Right(budget))
			}
		})
	}
}
