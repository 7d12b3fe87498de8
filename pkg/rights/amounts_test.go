package rights

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/tokens"
)

// Guards against an amount below zero that adds rights when it is reserved, settled, removed or reported.
func TestNegativeAmountAddsNoRights(t *testing.T) {
	for _, n := range []Tokens{-1, -1000, math.MinInt64 + 1, math.MinInt64} {
		b := NewBook()
		b.Add(ws, 100)
		if b.Reserve(ws, n) {
			t.Errorf("%d tokens were reserved", n)
		}
		b.Add(ws, n)
		b.Remove(ws, n)
		b.AddRelayed(ws, n)
		b.RecordDemand(ws, n, time.Now())
		if h := b.Holding(ws, time.Now()); h.Free != 100 || h.Reserved != 0 || h.Unreported != 0 || h.Rate < 0 {
			t.Errorf("after %d tokens: %+v", n, h)
		}
		if !b.Reserve(ws, 60) {
			t.Fatal("60 of 100 tokens were not reserved")
		}
		b.Settle(ws, 60, n)
		if h := b.Holding(ws, time.Now()); h.Free != 100 || h.Reserved != 0 || h.Spent != 0 {
			t.Errorf("after a settlement with %d tokens: %+v", n, h)
		}
	}
}

// Guards against sums at the end of the range that wrap around.
func TestLargestAmountsDoNotWrap(t *testing.T) {
	b := NewBook()
	for range 2 {
		b.Add(ws, math.MaxInt64)
		b.AddRelayed(ws, math.MaxInt64)
	}
	if h := b.Holding(ws, time.Now()); h.Free < 0 || h.Unreported < 0 {
		t.Errorf("%+v", h)
	}
	if n := unaccounted(100, 0, Holding{Free: math.MaxInt64, Reserved: math.MaxInt64, Unreported: math.MaxInt64}, 2, 2, true); n != 0 {
		t.Errorf("%d tokens are lost although more are held", n)
	}
	for _, tc := range []struct {
		desc  string
		input PolicyInput
		want  Delta
	}{
		{"shortfall that cannot be covered", PolicyInput{Prepaid: 1000, Granted: 500, BufferHolders: 1, Shortfall: math.MaxInt64, Holding: Holding{Free: 500}}, 0},
		{"shortfall of all that is left", PolicyInput{Prepaid: math.MaxInt64, BufferHolders: 1, Shortfall: math.MaxInt64}, Delta(tokens.Max)},
		{"sums", PolicyInput{Prepaid: 1000, Granted: 1000, Spent: math.MaxInt64, Lost: math.MaxInt64, BufferHolders: 1}, 0},
		{"rate", PolicyInput{Prepaid: 1000, Granted: 1000, BufferHolders: 1, FleetRate: math.MaxFloat64, Holding: Holding{Rate: math.MaxFloat64}}, 0},
		{"infinite rate", PolicyInput{Prepaid: 1000, Granted: 1000, BufferHolders: 1, FleetRate: math.Inf(1), Holding: Holding{Rate: math.Inf(1)}}, 0},
	} {
		if got := DefaultPolicy().Change(tc.input); got != tc.want {
			t.Errorf("%s: change %d, want %d", tc.desc, got, tc.want)
		}
	}
}

// Guards against a record with a sum out of range, as wrapped sums left it, from which a workspace gets rights or which stops all others.
func TestBrokenSumStopsOnlyItsWorkspace(t *testing.T) {
	other := ""
	for i := 0; other == ""; i++ {
		if name := string(rune('a' + i)); name != ws && shardOf(name) == shardOf(ws) {
			other = name
		}
	}
	for _, sum := range []int64{-1, math.MinInt64, int64(tokens.Max) + 1, math.MaxInt64} {
		value, err := peer.Marshal(map[int]any{1: map[string]int64{ws: sum, other: 10}, 2: map[string]int64{ws: sum, other: 5}})
		if err != nil {
			t.Fatal(err)
		}
		store := newFakeStore()
		store.revision = 1
		store.items[shardKey(shardOf(ws))] = kvstore.Item{Key: shardKey(shardOf(ws)), Value: value, Revision: 1}
		s, book := newSyncer(store, "i1", 1000, DefaultPolicy())
		s.opts.Prepaid = func() map[string]Tokens { return map[string]Tokens{ws: 1000, other: 1000} }
		s.opts.ResolvePending = func(context.Context) {}
		s.opts.Refill = func(context.Context, string, Delta) bool { return false }
		s.ReportShortfall(ws, 100)
		s.ReportShortfall(other, 100)
		s.runRound(t.Context())
		if book.Reserve(ws, 1) || !book.Reserve(other, 100) {
			t.Errorf("with a sum of %d: %+v, other %+v", sum, book.Holding(ws, time.Now()), book.Holding(other, time.Now()))
		}
	}
}
