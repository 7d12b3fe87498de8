package rights

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/peer"
)

func newSyncer(store Store, name string, prepaid Tokens, policy Policy) (*Syncer, *Book) {
	b := NewBook()
	return NewSyncer(SyncerOptions{Book: b, Ledger: NewLedger(store, name), Prepaid: func() map[string]Tokens { return map[string]Tokens{ws: prepaid} },
		BufferHolders: func() (int, bool) { return 2, true }, IsSupplier: func(string) bool { return true }, Policy: policy, Timing: DefaultTiming(), Log: discard()}), b
}

// Guards against a transaction without an answer whose rights are lost, or counted
// twice: its result is found before anything else is asked for.
func TestOpenTransaction(t *testing.T) {
	for _, tc := range []struct {
		desc  string
		fault storeFault
		late  bool // it takes effect between the two rounds
		other bool // another instance changes the record in between
	}{
		{"done, answer lost", loseAnswer, false, false},
		{"done, answer lost, record changed since", loseAnswer, false, true},
		{"not done", loseRequest, false, false},
		{"not done, record changed since", loseRequest, false, true},
		{"done late", doLate, true, false},
		{"done late, after the repetition", doLate, false, false},
		{"too late, record changed since", doLate, false, true},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			store := newFakeStore()
			ctx := context.Background()
			s, book := newSyncer(store, "i1", 10_000, DefaultPolicy())
			other, otherBook := newSyncer(store, "i2", 10_000, DefaultPolicy())
			round := func(s *Syncer) {
				t.Helper()
				for range 3 {
					if again, err := s.attempt(ctx, nil); err != nil {
						t.Fatal(err)
					} else if !again {
						return
					}
				}
			}
			store.fault = tc.fault
			if _, err := s.attempt(ctx, nil); err == nil {
				t.Fatal("the first round got an answer")
			}
			store.fault = serve
			if tc.late {
				store.doLate()
			}
			if tc.other {
				round(other)
			}
			round(s)
			store.doLate()
			round(s)
			held := book.Holding(ws, time.Now()).Free
			otherHeld := otherBook.Holding(ws, time.Now()).Free
			var rec shardRecord
			if err := peer.Unmarshal(store.items[shardKey(shardOf(ws))].Value, &rec); err != nil {
				t.Fatal(err)
			}
			if held == 0 || held+otherHeld != rec.Granted[ws] {
				t.Errorf("held %d and %d, granted %d", held, otherHeld, rec.Granted[ws])
			}
		})
	}
}

// Guards against a waiting request that is forgotten because the first transaction
// of a round lost a race.
func TestShortSurvivesConflict(t *testing.T) {
	store := newFakeStore()
	s, book := newSyncer(store, "i1", 100_000, DefaultPolicy())
	other, _ := newSyncer(store, "i2", 100_000, DefaultPolicy())
	ctx := context.Background()
	s.round(ctx)
	other.round(ctx)
	s.ReportShortfall(ws, 20_000)
	raced := false
	store.before = func() {
		if !raced {
			raced = true
			other.ReportShortfall(ws, 1000)
			other.round(ctx)
		}
	}
	s.round(ctx)
	if !raced || !book.Reserve(ws, 20_000) {
		t.Errorf("the request lacks its rights after a conflict: %+v", book.Holding(ws, time.Now()))
	}
}

// Guards against a stop that strands rights although the store answers.
func TestGiveBack(t *testing.T) {
	store := newFakeStore()
	s, book := newSyncer(store, "i1", 10_000, DefaultPolicy())
	for range 2 {
		if _, err := s.attempt(context.Background(), nil); err != nil {
			t.Fatal(err)
		}
	}
	if !book.Reserve(ws, 100) {
		t.Fatal("no rights")
	}
	book.Settle(ws, 100, 70)
	if err := s.ReturnAll(context.Background()); err != nil {
		t.Fatal(err)
	}
	var rec shardRecord
	if err := peer.Unmarshal(store.items[shardKey(shardOf(ws))].Value, &rec); err != nil {
		t.Fatal(err)
	}
	if rec.Granted[ws] != 70 || rec.Spent[ws] != 70 {
		t.Errorf("%d are granted and %d reported after a return, 70 were spent", rec.Granted[ws], rec.Spent[ws])
	}
}

// Guards against spending after the operator has lowered what is prepaid below
// what was granted.
func TestLoweredPrepaid(t *testing.T) {
	store := newFakeStore()
	prepaid := Tokens(10_000)
	b := NewBook()
	s := NewSyncer(SyncerOptions{Book: b, Ledger: NewLedger(store, "i1"), Prepaid: func() map[string]Tokens { return map[string]Tokens{ws: prepaid} },
		BufferHolders: func() (int, bool) { return 1, true }, IsSupplier: func(string) bool { return true }, Policy: DefaultPolicy(), Timing: DefaultTiming(), Log: discard()})
	for range 2 {
		if _, err := s.attempt(context.Background(), nil); err != nil {
			t.Fatal(err)
		}
	}
	if !b.Reserve(ws, 1) {
		t.Fatal("no rights")
	}
	prepaid = 100
	store.fault = refuse
	_, _ = s.attempt(context.Background(), nil) // the store is away
	if b.Reserve(ws, 1) {
		t.Error("rights above what is prepaid were spent")
	}
	store.fault = serve
	for range 3 {
		if _, err := s.attempt(context.Background(), nil); err != nil {
			t.Fatal(err)
		}
	}
	if g := s.opts.Ledger.Granted(ws); g > 100 {
		t.Errorf("%d stay granted of 100", g)
	}
}

// Guards against holdings that do not cover an outage, or that strand too much.
func TestPolicy(t *testing.T) {
	p := Policy{Horizon: 9 * time.Second, OwnHorizon: 2 * time.Second, MaxOwnShare: 0.3, StandingShare: 0.2, MaxStandingShare: 0.08, DepletionWindow: 100 * time.Second, RefillBelow: 0.8, ReturnAbove: 1.3, MinChangeShare: 0.1, MaxRoundShare: 1}
	for _, tc := range []struct {
		desc string
		s    PolicyInput
		want Tokens
	}{
		{"standing share without demand", PolicyInput{Prepaid: 1000, BufferHolders: 4}, 50},
		{"bounded standing share of few instances", PolicyInput{Prepaid: 1000, BufferHolders: 2}, 80},
		{"consumption of the fleet", PolicyInput{Prepaid: 100_000, Spent: 50_000, Granted: 50_000, FleetRate: 1200, BufferHolders: 4}, 2700},
		{"consumption of a workspace that lasts for 10 s", PolicyInput{Prepaid: 100_000, Spent: 90_000, Granted: 90_000, FleetRate: 1000, BufferHolders: 40}, 50},
		{"own demand", PolicyInput{Prepaid: 10_000, Holding: Holding{Rate: 1000}, BufferHolders: 4}, 2000},
		{"borrower holds for its own demand only", PolicyInput{Prepaid: 10_000, Holding: Holding{Rate: 100}, BufferHolders: 4, NoBuffer: true}, 200},
		{"own demand beyond its part of the rest", PolicyInput{Prepaid: 10_000, Spent: 9000, Granted: 9000, FleetRate: 1000, Holding: Holding{Rate: 500}, BufferHolders: 4}, 150},
		{"enough", PolicyInput{Prepaid: 1000, BufferHolders: 4, Holding: Holding{Free: 45}}, 0},
		{"too much", PolicyInput{Prepaid: 1000, BufferHolders: 4, Holding: Holding{Free: 100}, Granted: 100}, -50},
		{"more granted than prepaid", PolicyInput{Prepaid: 1000, Granted: 1020, BufferHolders: 4, Holding: Holding{Free: 100}}, -20},
		{"last tokens are shared", PolicyInput{Prepaid: 1000, Granted: 960, BufferHolders: 4}, 10},
		{"too little is left for a transaction", PolicyInput{Prepaid: 1000, Granted: 984, BufferHolders: 4}, 0},
		{"a waiting request takes what it lacks", PolicyInput{Prepaid: 1000, Granted: 900, BufferHolders: 4, Shortfall: 60}, 60},
		{"nothing left", PolicyInput{Prepaid: 1000, Granted: 1000, BufferHolders: 4, Shortfall: 60}, 0},
	} {
		if got := p.Change(tc.s); got != tc.want {
			t.Errorf("%s: change %d, want %d", tc.desc, got, tc.want)
		}
	}
}

// Guards against instances whose transactions conflict with the supplier's, and
// against consumption that the store never hears of: those that do not supply are
// refilled by the supplier and report through it.
func TestOthersSpareStore(t *testing.T) {
	for _, tc := range []struct {
		desc  string
		taker bool
	}{{"taker", true}, {"no taker", false}} {
		store := newFakeStore()
		ctx := context.Background()
		supplier, supplierBook := newSyncer(store, "supplier", 100_000, DefaultPolicy())
		for range 2 {
			if _, err := supplier.attempt(ctx, nil); err != nil {
				t.Fatal(err)
			}
		}
		peers := &fakePeers{handlers: map[string]peer.Handler{}, from: peer.Identity{Incarnation: "b"}, lose: func() (bool, bool) { return false, false }}
		members := func(string) []Member { return []Member{{"supplier", "a", true}} }
		var r registrar
		NewExchange(supplierBook, peers, members, supplier, discard()).RegisterPeer(&r, "supplier")
		peers.handlers["a"] = r.handler
		book := NewBook()
		x := NewExchange(book, peers, members, noSupply{}, discard())
		other := NewSyncer(SyncerOptions{Book: book, Ledger: NewLedger(store, "b"), Prepaid: func() map[string]Tokens { return map[string]Tokens{ws: 100_000} },
			BufferHolders: func() (int, bool) { return 2, tc.taker }, IsSupplier: func(string) bool { return false }, ResolvePending: x.ResolvePending, Refill: x.Refill, Policy: DefaultPolicy(),
			Timing: DefaultTiming(), Log: discard()})
		before := store.commits
		const size, used, requests = 20, 15, 50 // a request is small beside the demand of a second
		for range requests {
			book.RecordDemand(ws, size, time.Now())
			if _, err := other.attempt(ctx, nil); err != nil {
				t.Fatal(err)
			}
			other.refill(ctx)
			if book.Reserve(ws, size) {
				book.Settle(ws, size, used)
			}
		}
		spent := book.Holding(ws, time.Now()).Spent
		if n := store.commits - before; n != 0 {
			t.Errorf("%s: %d transactions", tc.desc, n)
		}
		if _, err := supplier.attempt(ctx, nil); err != nil {
			t.Fatal(err)
		}
		if got := supplierBook.Holding(ws, time.Now()).Unreported + supplier.opts.Ledger.Spent(ws); got < spent/2 || spent < requests*used/2 {
			t.Errorf("%s: %d of %d spent tokens were relayed", tc.desc, got, spent)
		}
	}
}

// Guards against an instance that gets no rights because the supplier is out of reach
// or has itself lost the store.
func TestSupplierOutOfReach(t *testing.T) {
	for _, tc := range []struct {
		desc   string
		supply GrantSource // of the first supplier; nil: it does not answer
		second bool        // there is another one, which reaches the store
	}{{"dead", nil, false}, {"without the store", awaySupply{}, false}, {"dead, but there is another", nil, true}, {"without the store, but there is another", awaySupply{}, true}} {
		store := newFakeStore()
		ctx := context.Background()
		peers := &fakePeers{handlers: map[string]peer.Handler{}, from: peer.Identity{Incarnation: "b"}, lose: func() (bool, bool) { return false, false }}
		members := func(string) []Member { return []Member{{"supplier", "a", true}, {"second", "b", tc.second}} }
		if tc.second {
			var r registrar
			b := NewBook()
			NewExchange(b, peers, members, ampleSupply{book: b}, discard()).RegisterPeer(&r, "second")
			peers.handlers["b"] = r.handler
		}
		if tc.supply != nil {
			var r registrar
			NewExchange(NewBook(), peers, members, tc.supply, discard()).RegisterPeer(&r, "supplier")
			peers.handlers["a"] = r.handler
		}
		s, book := newSyncer(store, "b", 100_000, DefaultPolicy())
		s.opts.IsSupplier = func(string) bool { return false }
		x := NewExchange(book, peers, members, s, discard())
		s.opts.ResolvePending, s.opts.Refill = x.ResolvePending, x.Refill
		for range 2 {
			s.round(ctx)
			s.refill(ctx)
		}
		if h := book.Holding(ws, time.Now()); h.Free == 0 {
			t.Errorf("%s: no rights after two rounds", tc.desc)
		}
		if (store.commits > 0) == tc.second {
			t.Errorf("%s: %d transactions of its own", tc.desc, store.commits)
		}
	}
}

// Guards against instances that disagree on the supplier, and against one instance
// that supplies all workspaces.
func TestSupplier(t *testing.T) {
	takers := map[string]bool{}
	for i := range 12 {
		takers[fmt.Sprintf("node-%d-7a", i)] = true
	}
	suppliers := map[string]int{}
	for i := range 200 {
		w := fmt.Sprintf("w%d", i)
		chosen := Suppliers(w, takers)
		s := chosen[0]
		suppliers[s]++
		if again := Suppliers(w, maps.Clone(takers)); !slices.Equal(again, chosen) || len(chosen) != maxSuppliers {
			t.Fatalf("%s: %s and %s", w, chosen, again)
		}
		less := maps.Clone(takers)
		delete(less, fmt.Sprintf("node-%d-7a", i%12))
		if takers[s] && less[s] && Suppliers(w, less)[0] != s {
			t.Errorf("%s: the end of another instance moves it", w)
		}
	}
	if len(suppliers) < 6 {
		t.Errorf("only %d of 12 instances supply: %v", len(suppliers), suppliers)
	}
}

// Guards against a move of rights that is made twice because its answer got lost.
func TestRepeatedMove(t *testing.T) {
	giver, taker := NewBook(), NewBook()
	giver.Add(ws, 1000)
	lost := true
	peers := &fakePeers{handlers: map[string]peer.Handler{}, from: peer.Identity{Incarnation: "taker"},
		lose: func() (bool, bool) { return false, lost }}
	members := func(string) []Member { return []Member{{"giver", "a", false}} }
	var r registrar
	NewExchange(giver, peers, members, noSupply{}, discard()).RegisterPeer(&r, "giver")
	peers.handlers["a"] = r.handler
	x := NewExchange(taker, peers, members, noSupply{}, discard())
	if got, _ := x.Ask(context.Background(), ws, 100); got != 0 {
		t.Fatalf("got %d without an answer", got)
	}
	lost = false
	clear(x.states)
	if got, _ := x.Ask(context.Background(), ws, 100); got != 200 {
		t.Errorf("got %d by the repeated and the new request, want 200", got)
	}
	if sum := giver.Holding(ws, time.Now()).Free + taker.Holding(ws, time.Now()).Free; sum != 1000 {
		t.Errorf("%d of 1000 are left", sum)
	}
}

// Guards against an instance without the store that gets only a part of what its
// neighbour holds, although the neighbour can take more from the store.
func TestSupplyOfCutOffInstance(t *testing.T) {
	const held, want = 100, 1000
	for _, tc := range []struct {
		desc         string
		asker, giver func(*Book) GrantSource
		want         Tokens
	}{
		{"both reach the store", func(*Book) GrantSource { return noSupply{} }, func(b *Book) GrantSource { return ampleSupply{book: b} }, held / 2},
		{"the asker does not", func(*Book) GrantSource { return awaySupply{} }, func(b *Book) GrantSource { return ampleSupply{book: b} }, want},
		{"neither does", func(*Book) GrantSource { return awaySupply{} }, func(*Book) GrantSource { return awaySupply{} }, held / 2},
	} {
		giver, asker := NewBook(), NewBook()
		giver.Add(ws, held)
		giver.RecordDemand(ws, held, time.Now())
		peers := &fakePeers{handlers: map[string]peer.Handler{}, from: peer.Identity{Incarnation: "asker"}, lose: func() (bool, bool) { return false, false }}
		var r registrar
		NewExchange(giver, peers, nil, tc.giver(giver), discard()).RegisterPeer(&r, "giver")
		peers.handlers["a"] = r.handler
		x := NewExchange(asker, peers, func(string) []Member { return []Member{{"giver", "a", false}} }, tc.asker(asker), discard())
		if got, _ := x.Ask(context.Background(), ws, want); got != tc.want {
			t.Errorf("%s: got %d, want %d", tc.desc, got, tc.want)
		}
	}
}

// Guards against rights out of reach because they are held by an instance that
// started after the list of instances was read: the call of its predecessor shows it.
func TestAskFindsSuccessor(t *testing.T) {
	giver, asker := NewBook(), NewBook()
	giver.Add(ws, 1000)
	peers := &fakePeers{handlers: map[string]peer.Handler{}, from: peer.Identity{Incarnation: "asker"}, lose: func() (bool, bool) { return false, false }}
	var r registrar
	NewExchange(giver, peers, nil, noSupply{}, discard()).RegisterPeer(&r, "second")
	members := []Member{{"first", "a", false}}
	peers.handlers["a"] = func(ctx context.Context, from peer.Identity, body []byte) (any, error) {
		members = []Member{{"second", "a", false}}
		return r.handler(ctx, from, body)
	}
	x := NewExchange(asker, peers, func(string) []Member { return members }, awaySupply{}, discard())
	if got, _ := x.Ask(context.Background(), ws, 100); got != 100 {
		t.Errorf("got %d, want 100", got)
	}
}

// Guards against rights that are out of use because the answer to their move got lost
// and nothing else is asked of that instance.
func TestResolve(t *testing.T) {
	for _, tc := range []struct {
		desc   string
		want   Tokens // negative: a return
		answer bool   // lost is the answer, not the call
	}{{"move, answer lost", 100, true}, {"move, call lost", 100, false}, {"return, answer lost", -100, true}, {"return, call lost", -100, false}} {
		giver, taker := NewBook(), NewBook()
		giver.Add(ws, 1000)
		taker.Add(ws, 500)
		lost := true
		peers := &fakePeers{handlers: map[string]peer.Handler{}, from: peer.Identity{Incarnation: "taker"},
			lose: func() (bool, bool) { return lost && !tc.answer, lost && tc.answer }}
		members := func(string) []Member { return []Member{{"giver", "a", true}} }
		var r registrar
		NewExchange(giver, peers, members, ampleSupply{book: NewBook()}, discard()).RegisterPeer(&r, "giver")
		peers.handlers["a"] = r.handler
		x := NewExchange(taker, peers, members, noSupply{}, discard())
		x.Refill(context.Background(), ws, tc.want)
		lost = false
		clear(x.states)
		x.ResolvePending(context.Background())
		now := time.Now()
		if a, b := giver.Holding(ws, now).Free, taker.Holding(ws, now).Free; a+b != 1500 {
			t.Errorf("%s: %d and %d are left of 1500", tc.desc, a, b)
		}
	}
}

// Guards against a supplier that takes the same lack again each time it is asked.
func TestRepeatedLack(t *testing.T) {
	store := newFakeStore()
	s, book := newSyncer(store, "i1", 1_000_000, DefaultPolicy())
	s.round(context.Background())
	before := book.Holding(ws, time.Now()).Free
	for range 10 {
		s.RequestGrant(ws, "a", 20_000)
	}
	s.RequestGrant(ws, "b", 10_000)
	s.round(context.Background())
	if got := book.Holding(ws, time.Now()).Free - before; got != 30_000 {
		t.Errorf("took %d, want what two instances lack, 30000", got)
	}
}

// Guards against rights that an instance without the store keeps although the supplier
// would return them, and against returns while nobody reaches the store.
func TestReturnWithoutStore(t *testing.T) {
	for _, reached := range []bool{true, false} {
		store := newFakeStore()
		s, book := newSyncer(store, "i1", 100_000, DefaultPolicy())
		s.opts.IsSupplier = func(string) bool { return false }
		s.opts.ResolvePending = func(context.Context) {}
		var returned Tokens
		s.opts.Refill = func(_ context.Context, _ string, want Tokens) bool {
			returned += max(0, -want)
			return reached
		}
		ctx := context.Background()
		s.plan(time.Now(), nil, false)
		s.refill(ctx) // tells whether the supplier reaches the store
		book.Add(ws, 90_000)
		s.plan(time.Now(), nil, false)
		s.refill(ctx)
		if (returned > 0) != reached {
			t.Errorf("supplier reaches the store: %t, returned %d", reached, returned)
		}
	}
}

// Guards against rights and reports that vanish because the supplier has just restarted:
// its new incarnation turns the call away.
func TestReturnToEndedSupplier(t *testing.T) {
	supplier, book := NewBook(), NewBook()
	book.Add(ws, 500)
	book.Reserve(ws, 100)
	book.Settle(ws, 100, 40)
	peers := &fakePeers{handlers: map[string]peer.Handler{}, from: peer.Identity{Incarnation: "b"}, lose: func() (bool, bool) { return false, false }}
	var r registrar
	members := func(string) []Member { return []Member{{"first", "a", true}} }
	NewExchange(supplier, peers, members, noSupply{}, discard()).RegisterPeer(&r, "second")
	peers.handlers["a"] = r.handler
	NewExchange(book, peers, members, noSupply{}, discard()).Refill(context.Background(), ws, -300)
	if h := book.Holding(ws, time.Now()); h.Free != 460 || h.Unreported != 40 {
		t.Errorf("%+v, want 460 free and 40 unreported", h)
	}
}
