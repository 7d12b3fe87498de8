package ledger

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

var (
	benchNow       = time.Unix(1_700_000_000, 0)
	benchShard     = ShardID{Domain: "valle-maipo", Shard: 3}
	benchRetention = Retention{Repeatable: 10 * time.Minute, NonRepeatable: 24 * time.Hour}
)

func benchBudget(n int) BudgetKey {
	return BudgetKey{Workspace: fmt.Sprintf("workspace-%04d", n), Budget: "rounds"}
}

func benchRequest(budget BudgetKey) ReserveRequest {
	return ReserveRequest{
		ID: NewIssuedID(benchShard, 1, benchNow).String(), Budget: budget, Service: "motor-notas", Fingerprint: make([]byte, 32),
		Amount: 500, Repeatable: true, Dispatcher: "valle-maipo-1-0123456789abcdef", DispatcherAddress: "10.0.0.17:7000", Call: 1 << 20,
	}
}

// benchState returns a shard with rights on budgets and answered requests.
func benchState(b *testing.B, budgets, records int) *State {
	s := NewState(benchShard, 1, benchRetention)
	for n := range budgets {
		s.Commit(s.PlanSyncGrant(benchBudget(n), MaxTokens, 1))
	}
	for n := range records {
		req := benchRequest(benchBudget(n % max(budgets, 1)))
		benchCommit(b, s, req)
		benchSettle(b, s, req.ID)
	}
	return s
}

func benchCommit(b *testing.B, s *State, req ReserveRequest) {
	_, m, err := s.PlanReserve(req, benchNow)
	if err != nil || m == nil {
		b.Fatalf("reserve: %v, mutation %v", err, m)
	}
	s.Commit(m)
}

func benchSettle(b *testing.B, s *State, id string) {
	_, m, err := s.PlanSettle(SettleRequest{ID: id, Attempt: 1, End: EndComplete, Charge: 300}, benchNow)
	if err != nil || m == nil {
		b.Fatalf("settle: %v, mutation %v", err, m)
	}
	s.Commit(m)
}

func BenchmarkPlanReserve(b *testing.B) {
	s := benchState(b, 1, 0)
	req := benchRequest(benchBudget(0))
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := s.PlanReserve(req, benchNow); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReserveCommitSettle is all that the owner computes for one request.
func BenchmarkReserveCommitSettle(b *testing.B) {
	s := benchState(b, 1, 0)
	req := benchRequest(benchBudget(0))
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		req.ID = fmt.Sprintf("r1.valle-maipo.3.1.1700000000000.%020d", n)
		benchCommit(b, s, req)
		benchSettle(b, s, req.ID)
	}
}

func BenchmarkPlanSettle(b *testing.B) {
	s := benchState(b, 1, 0)
	req := benchRequest(benchBudget(0))
	benchCommit(b, s, req)
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := s.PlanSettle(SettleRequest{ID: req.ID, Attempt: 1, End: EndComplete, Charge: 300}, benchNow); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSnapshot runs on the control goroutine when a backup joins.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []struct{ budgets, records int }{{5_000, 15_000}, {100, 150_000}} {
		b.Run(fmt.Sprintf("%d_budgets_%d_records", size.budgets, size.records), func(b *testing.B) {
			s := benchState(b, size.budgets, size.records)
			var data []byte
			for b.Loop() {
				var err error
				if data, err = s.Snapshot(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
			if _, err := Restore(data, benchRetention); err != nil {
				b.Fatal(err)
			}
		})
	}
}

// BenchmarkRestore runs on the control goroutine of the new backup.
func BenchmarkRestore(b *testing.B) {
	data, err := benchState(b, 5_000, 15_000).Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Restore(data, benchRetention); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMemory reports the heap of one budget and of one record in a state that
// was restored from a snapshot, where no two entries share their strings, as with
// entries that came in messages.
func BenchmarkMemory(b *testing.B) {
	const entries = 100_000
	for _, c := range []struct {
		name             string
		budgets, records int
	}{{"budget", entries, 0}, {"record", 1, entries}} {
		b.Run(c.name, func(b *testing.B) {
			s := benchState(b, c.budgets, c.records)
			s.unsealed = nil // bill lines go to the store within a minute
			data, err := s.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				before := heap()
				restored, err := Restore(data, benchRetention)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(heap()-before)/entries, "bytes/entry")
				runtime.KeepAlive(restored)
			}
			runtime.KeepAlive(data)
			runtime.KeepAlive(s)
		})
	}
}

func heap() uint64 {
	var m runtime.MemStats
	// Pooled buffers survive one collection.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
