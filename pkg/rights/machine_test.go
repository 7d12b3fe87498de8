package rights

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/clementinerack/clementinerack/pkg/peer"
)

const ws = "w"

// holder is one incarnation of an instance in the model.
type holder struct {
	name     string
	address  string
	book     *Book
	ledger   *Ledger
	syncer   *Syncer
	exchange *Exchange
	reserved []Tokens
}

// fleet is the model: instances that share one workspace.
type fleet struct {
	t       *rapid.T
	store   *fakeStore
	peers   *fakePeers
	live    []*holder
	prepaid Tokens
	most    Tokens // largest prepaid so far
	spent   Tokens // by all incarnations
	seq     int
}

func (f *fleet) start(address string) *holder {
	f.seq++
	h := &holder{name: fmt.Sprintf("i%d", f.seq), address: address, book: NewBook()}
	h.ledger = NewLedger(f.store, h.name)
	h.syncer = NewSyncer(SyncerOptions{Book: h.book, Ledger: h.ledger, Prepaid: func() map[string]Tokens { return map[string]Tokens{ws: f.prepaid} },
		BufferHolders: func() (int, bool) { return 2, address != "a2" }, IsSupplier: func(string) bool { return address == supplier }, Policy: DefaultPolicy(), Timing: DefaultTiming(), Log: discard()})
	h.exchange = NewExchange(h.book, f.peers, func(string) []Member { return f.members(h) }, h.syncer, discard())
	h.exchange.wait = 0
	h.syncer.opts.ResolvePending, h.syncer.opts.Refill = h.exchange.ResolvePending, h.exchange.Refill
	var r registrar
	h.exchange.RegisterPeer(&r, h.name)
	f.peers.handlers[address] = r.handler
	return h
}

func (f *fleet) members(self *holder) []Member {
	var out []Member
	for _, h := range f.live {
		if h != self {
			out = append(out, Member{h.name, h.address, h.address == supplier})
		}
	}
	slices.SortStableFunc(out, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// supplier is the address of the instance that changes the record for the others.
const supplier = "a0"

func (f *fleet) any(label string) *holder {
	return f.live[rapid.IntRange(0, len(f.live)-1).Draw(f.t, label)]
}

// held sums what living instances may still spend.
func (f *fleet) held() Tokens {
	var n Tokens
	for _, h := range f.live {
		x := h.book.Holding(ws, time.Now())
		n += x.Free + x.Reserved
	}
	return n
}

// granted is the sum in the store.
func (f *fleet) granted() Tokens {
	var rec shardRecord
	if it, ok := f.store.items[shardKey(shardOf(ws))]; ok {
		if err := peer.Unmarshal(it.Value, &rec); err != nil {
			f.t.Fatal(err)
		}
	}
	return rec.Granted[ws]
}

// Guards against rights that appear twice: by a transaction that was repeated or
// took effect late, by a move whose answer got lost or whose request came again,
// and by instances that died. What is spent and held never exceeds what was
// granted, and what is granted never exceeds what was ever prepaid.
func TestRightsMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, store: newFakeStore(), prepaid: 10_000, most: 10_000}
		f.peers = &fakePeers{handlers: map[string]peer.Handler{}, lose: func() (bool, bool) {
			n := rapid.IntRange(0, 3).Draw(t, "lose")
			return n == 1, n == 2
		}}
		for i := range 3 {
			f.live = append(f.live, f.start(fmt.Sprintf("a%d", i)))
		}
		ctx := context.Background()
		t.Repeat(map[string]func(*rapid.T){
			"sync": func(t *rapid.T) {
				f.store.fault = storeFault(rapid.IntRange(0, int(doLate)).Draw(t, "fault"))
				h := f.any("who")
				short := map[string]Tokens{}
				if rapid.Bool().Draw(t, "short") {
					short[ws] = Tokens(rapid.IntRange(1, 3000).Draw(t, "lack"))
				}
				_, _ = h.syncer.attempt(ctx, short) // its failures are the point
				f.store.fault = serve
				f.peers.from = peer.Identity{Incarnation: h.name}
				h.syncer.refill(ctx)
			},
			"late": func(*rapid.T) { f.store.doLate() },
			"reserve": func(t *rapid.T) {
				h := f.any("who")
				n := Tokens(rapid.IntRange(1, 800).Draw(t, "most"))
				h.book.RecordDemand(ws, n, time.Now())
				if h.book.Reserve(ws, n) {
					h.reserved = append(h.reserved, n)
				}
			},
			"settle": func(t *rapid.T) {
				h := f.any("who")
				if len(h.reserved) == 0 {
					return
				}
				n := h.reserved[0]
				h.reserved = h.reserved[1:]
				used := Tokens(rapid.IntRange(0, int(n)).Draw(t, "used"))
				h.book.Settle(ws, n, used)
				f.spent += used
			},
			"refill": func(t *rapid.T) {
				h := f.any("who")
				f.peers.from = peer.Identity{Incarnation: h.name}
				h.exchange.Refill(ctx, ws, Tokens(rapid.IntRange(-2000, 2000).Draw(t, "want")))
			},
			"ask": func(t *rapid.T) {
				h := f.any("who")
				f.peers.from = peer.Identity{Incarnation: h.name}
				h.exchange.Ask(ctx, ws, Tokens(rapid.IntRange(1, 2000).Draw(t, "want")))
				clear(h.exchange.states) // peers are asked again at once
			},
			"repeat": func(t *rapid.T) {
				if n := len(f.peers.repeats); n > 0 {
					f.peers.repeats[rapid.IntRange(0, n-1).Draw(t, "which")]()
				}
			},
			"kill": func(t *rapid.T) {
				i := rapid.IntRange(0, len(f.live)-1).Draw(t, "who")
				for _, n := range f.live[i].reserved {
					f.spent += n // its requests may have run to their most
				}
				f.live[i] = f.start(f.live[i].address)
			},
			"pay": func(t *rapid.T) {
				f.prepaid = Tokens(rapid.IntRange(2_000, 20_000).Draw(t, "prepaid"))
				f.most = max(f.most, f.prepaid)
			},
			"return": func(t *rapid.T) {
				h := f.any("who")
				f.store.fault = storeFault(rapid.IntRange(0, int(doLate)).Draw(t, "fault"))
				ended, cancel := context.WithCancel(ctx)
				cancel()
				_ = h.syncer.ReturnAll(ended) // its failures are the point
				f.store.fault = serve
			},
			"": func(t *rapid.T) {
				if got, granted := f.spent+f.held(), f.granted(); got > granted {
					t.Fatalf("%d are spent or held, %d are granted", got, granted)
				}
				if g := f.granted(); g > f.most {
					t.Fatalf("%d are granted of %d", g, f.most)
				}
			},
		})
	})
}
