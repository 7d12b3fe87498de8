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

// odd holds numbers at the ends of the ranges.
var odd = []int64{0, 1, -1, 500, int64(tokens.Max) - 1, int64(tokens.Max), int64(tokens.Max) + 1, math.MaxInt64, math.MinInt64}

// addEncoded adds the encoding of v to the seeds.
func addEncoded(f *testing.F, v any) {
	b, err := peer.Marshal(v)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
}

// Guards against a request of another instance that stops the process, makes rights or loses them.
func FuzzAskRequest(f *testing.F) {
	for _, n := range odd {
		addEncoded(f, map[int]any{1: "i1", 2: 1, 3: ws, 4: n, 5: n, 6: true, 8: n, 9: 0})
		addEncoded(f, map[int]any{1: "i1", 2: 1, 3: ws, 4: 300, 5: 0, 8: n, 9: 0})
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		const initial = 1000
		book := NewBook()
		book.Add(ws, initial)
		x := NewExchange(book, nil, func(string) []Member { return nil }, emptySource{}, discardLogger())
		var r registrar
		x.RegisterPeer(&r, "i1")
		var sent AskRequest
		decoded := peer.Unmarshal(data, &sent) == nil
		initially := map[string]Tokens{ws: initial}[sent.Workspace]
		for range 2 { // repeated messages have no effect
			out, err := r.handler(context.Background(), peer.Identity{Incarnation: "i2"}, data)
			h, want, given := book.Holding(sent.Workspace, time.Now()), initially, Tokens(0)
			if err == nil {
				given = out.(AskReply).Given
			}
			if err == nil && sent.Sequence != 0 {
				want = want.Plus(sent.Returned)
			}
			if err == nil && !decoded || given < 0 || given > want || given > sent.Want || h.Free != want.Excess(given) || h.Unreported < 0 || h.Reserved != 0 {
				t.Errorf("%+v: %+v, %+v, %v", sent, out, h, err)
			}
			if free := book.Holding(ws, time.Now()).Free; sent.Workspace != ws && free != initial {
				t.Errorf("%+v: %d free rights of another workspace", sent, free)
			}
		}
	})
}

// Guards against a record of the store, or a state of another instance, that stops the process or from which too much is granted.
func FuzzShardRecord(f *testing.F) {
	for _, n := range odd {
		addEncoded(f, map[int]any{1: map[string]int64{ws: n}, 2: map[string]int64{ws: n}})
		addEncoded(f, map[int]any{1: map[string]int64{ws: 5}, 2: map[string]int64{ws: 3}, 3: []any{map[int]any{1: 7, 2: map[string]int64{ws: n}, 3: map[string]int64{ws: n}}}})
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		shards, err := decodeShards([]kvstore.Item{{Key: shardKey(shardOf(ws)), Value: data, Revision: kvstore.InEra(2, 9)}})
		if err != nil {
			return
		}
		state := shards[shardOf(ws)]
		known := ShardState{Revision: kvstore.InEra(1, 7), shardRecord: shardRecord{Granted: sums{ws: 600}, Spent: sums{ws: 100}}}
		for _, isFirst := range []bool{true, false} {
			rec, _ := state.continueFrom(known, 2, isFirst)
			if rec.Granted[ws] < state.Granted[ws] || rec.Granted[ws] > tokens.Max || rec.Spent[ws] < state.Spent[ws] || rec.Spent[ws] > tokens.Max {
				t.Errorf("%+v became %+v", state, rec)
			}
			if encoded, err := peer.Marshal(rec); err != nil || peer.Unmarshal(encoded, &shardRecord{}) != nil {
				t.Errorf("%+v cannot be decoded again", rec)
			}
		}
		const prepaid = 1000
		in := PolicyInput{Prepaid: prepaid, Granted: state.Granted[ws], Spent: state.Spent[ws], BufferHolders: 1, Shortfall: prepaid, Holding: Holding{Free: 50}}
		if n := DefaultPolicy().Change(in); n > 0 && in.Granted.Plus(n.Increase()) > prepaid || n.Decrease() > in.Holding.Free {
			t.Errorf("%+v: change %d", in, n)
		}
	})
}

// Guards against an announcement of another instance that stops the process or adds unbounded memory.
func FuzzAnnouncement(f *testing.F) {
	for _, n := range odd {
		addEncoded(f, map[int]any{1: []any{map[int]any{1: n, 2: 5, 3: map[int]any{1: map[string]int64{ws: 5}}}, map[int]any{1: 3, 2: 5, 3: map[int]any{1: map[string]int64{ws: n}}}}})
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		ledger := NewLedger(newFakeStore(), "i1")
		var r registrar
		NewWitnesses(ledger, nil, nil, nil).RegisterPeer(&r)
		var message Announcement
		if peer.Unmarshal(data, &message) != nil {
			return
		}
		ledger.Witness(message.States)
		for _, s := range ledger.Known(math.MaxUint64) {
			for w, n := range s.Granted {
				if n < 0 || n > tokens.Max {
					t.Errorf("%q: %d", w, n)
				}
			}
		}
		_, _ = r.handler(context.Background(), peer.Identity{}, data)
	})
}
