package shard

import (
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// BenchmarkMessage encodes the messages of one request and reports their bytes.
func BenchmarkMessage(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	shard := ledger.ShardID{Domain: "valle-maipo", Shard: 3}
	budget := ledger.BudgetKey{Workspace: "workspace-0001", Budget: "rounds"}
	s := ledger.NewState(shard, 1, ledger.Retention{Repeatable: 10 * time.Minute, NonRepeatable: 24 * time.Hour})
	s.Commit(s.PlanSyncGrant(budget, ledger.MaxTokens, 1))
	req := ledger.ReserveRequest{
		ID: ledger.NewIssuedID(shard, 1, now).String(), Budget: budget, Service: "motor-notas", Fingerprint: make([]byte, 32),
		Amount: 500, Repeatable: true, Dispatcher: "valle-maipo-1-0123456789abcdef", DispatcherAddress: "10.0.0.17:7000", Call: 1 << 20,
	}
	reply, reserved, err := s.PlanReserve(req, now)
	if err != nil {
		b.Fatal(err)
	}
	s.Commit(reserved)
	settle := ledger.SettleRequest{ID: req.ID, Attempt: 1, End: ledger.EndComplete, Charge: 300}
	settleReply, settled, err := s.PlanSettle(settle, now)
	if err != nil {
		b.Fatal(err)
	}
	s.Commit(settled)
	replicate := func(m ...*ledger.Mutation) any {
		return replicateRequest{Shard: 3, Epoch: 1, Session: 1, Mutations: m}
	}
	for _, m := range []struct {
		name  string
		value any
	}{
		{"reserve", req}, {"reserve-reply", reply}, {"settle", settle}, {"settle-reply", settleReply},
		{"replicate-reserve", replicate(reserved)}, {"replicate-settle", replicate(settled)}, {"replicate-reply", replicateReply{Index: 1 << 20}},
	} {
		b.Run(m.name, func(b *testing.B) {
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				data, err := peer.Marshal(m.value)
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkMapEncode reports the size of the shard map of a domain at the target size.
func BenchmarkMapEncode(b *testing.B) {
	m := NewMap("valle-maipo", 256)
	for n := range m.Shards {
		id := peer.Identity{Instance: "valle-maipo-17", Incarnation: "valle-maipo-17-0123456789abcdef", Domain: "valle-maipo", Address: "10.100.100.17:7000"}
		m.Shards[n] = Entry{Epoch: 100, Owner: id, Backup: id}
	}
	size := 0
	for b.Loop() {
		data, err := m.Encode()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes")
}
