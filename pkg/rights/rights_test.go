package rights

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/clementinerack/clementinerack/pkg/peer"
)

// newSyncer returns the syncer and the book of a supplier of the workspace ws.
func newSyncer(store Store, name string, prepaid Tokens, policy Policy) (*Syncer, *Book) {
	b := NewBook()
	return NewSyncer(SyncerOptions{Book: b, Ledger: NewLedger(store, name), Prepaid: func() map[string]Tokens { return map[string]Tokens{ws: prepaid} },
		BufferHolders: func() (int, bool) { return 2, true }, Instances: func() int { return 2 }, SupplierRank: func(string) int { return 0 }, Policy: policy, Timing: DefaultTiming(), Log: discardLogger()}), b
}

// Guards against rights that are lost or counted twice after a transaction without an
// answer. The result of such a transaction must be found before the next one.
func TestPendingTransaction(t *testing.T) {
	for _, tc := range []struct {
		desc           string
		fault          storeFault
		appliedBetween bool // the delayed transaction takes effect before the next round
		otherWrites    bool // another instance changes the shard record before the next round
	}{
		{"applied, reply lost", loseReply, false, false},
		{"applied, reply lost, record changed since", loseReply, false, true},
		{"not applied", loseRequest, false, false},
		{"not applied, record changed since", loseRequest, false, true},
		{"applied late", delayCommit, true, false},
		{"arrives after the repeated attempt", delayCommit, false, false},
		{"arrives late, record changed since", delayCommit, false, true},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			store := newFakeStore()
			ctx := context.Background()
			s, book := newSyncer(store, "i1", 10_000, DefaultPolicy())
			other, otherBook := newSyncer(store, "i2", 10_000, DefaultPolicy())
			round := func(s *Syncer) {
				t.Helper()
				for range 3 {
					if _, retry, err := s.attempt(ctx, nil, allShards()[0]); err != nil {
						t.Fatal(err)
					} else if !retry {
						return
					}
				}
			}
			store.fault = tc.fault
			if _, _, err := s.attempt(ctx, nil, allShards()[0]); err == nil {
				t.Fatal("the first attempt succeeded despite the fault")
			}
			store.fault = noFault
			if tc.appliedBetween {
				store.applyDelayed()
			}
			if tc.otherWrites {
				round(other)
			}
			round(s)
			store.applyDelayed()
			round(s)
			held := book.Holding(ws, time.Now()).Free
			otherHeld := otherBook.Holding(ws, time.Now()).Free
			var rec shardRecord
			if err := peer.Unmarshal(store.items[shardKey(shardOf(ws))].Value, &rec); err != nil {
				t.Fatal(err)
			}
			if held == 0 || held+otherHeld != rec.Granted[ws] {
				t.Errorf("the instances hold %d and %d, granted are %d", held, otherHeld, rec.Granted[ws])
			}
		})
	}
}

// Guards against dropping the shortfall of a waiting request when the first
// transaction of a round conflicts.
func TestShortfallSurvivesConflict(t *testing.T) {
	store := newFakeStore()
	s, book := newSyncer(store, "i1", 100_000, DefaultPolicy())
	other, _ := newSyncer(store, "i2", 100_000, DefaultPolicy())
	ctx := context.Background()
	s.runRound(ctx)
	other.runRound(ctx)
	s.ReportShortfall(ws, 20_000)
	raced := false
	store.beforeCommit = func() {
		if !raced {
			raced = true
			other.ReportShortfall(ws, 1000)
			other.runRound(ctx)
		}
	}
	s.runRound(ctx)
	if !raced || !book.Reserve(ws, 20_000) {
		t.Errorf("the shortfall was not covered after a conflict: %+v", book.Holding(ws, time.Now()))
	}
}

// Guards against a shutdown that strands rights although the store is reachable.
func TestReturnAll(t *testing.T) {
	store := newFakeStore()
	s, book := newSyncer(store, "i1", 10_000, DefaultPolicy())
	for range 2 {
		if _, _, err := s.attempt(context.Background(), nil, allShards()[0]); err != nil {
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
		t.Errorf("%d tokens are granted and %d reported after the return, want 70 as spent", rec.Granted[ws], rec.Spent[ws])
	}
}

// Guards against spending after the operator has lowered the prepaid amount below the
// granted sum.
func TestLoweredPrepaid(t *testing.T) {
	store := newFakeStore()
	prepaid := Tokens(10_000)
	b := NewBook()
	s := NewSyncer(SyncerOptions{Book: b, Ledger: NewLedger(store, "i1"), Prepaid: func() map[string]Tokens { return map[string]Tokens{ws: prepaid} },
		BufferHolders: func() (int, bool) { return 1, true }, Instances: func() int { return 1 }, SupplierRank: func(string) int { return 0 }, Policy: DefaultPolicy(), Timing: DefaultTiming(), Log: discardLogger()})
	for range 2 {
		if _, _, err := s.attempt(context.Background(), nil, allShards()[0]); err != nil {
			t.Fatal(err)
		}
	}
	if !b.Reserve(ws, 1) {
		t.Fatal("no rights")
	}
	prepaid = 100
	store.fault = refuseCommit
	_, _, _ = s.attempt(context.Background(), nil, allShards()[0]) // the store refuses the transaction
	if b.Reserve(ws, 1) {
		t.Error("rights above the prepaid amount were reserved")
	}
	store.fault = noFault
	for range 3 {
		if _, _, err := s.attempt(context.Background(), nil, allShards()[0]); err != nil {
			t.Fatal(err)
		}
	}
	if granted := s.opts.Ledger.Granted(ws); granted > 100 {
		t.Errorf("%d tokens stay granted, want at most 100", granted)
	}
}

// Guards against holdings that are too small for a store outage, or so large that they
// strand too many rights when an instance dies.
func TestPolicy(t *testing.T) {
	p := Policy{Horizon: 9 * time.Second, OwnHorizon: 2 * time.Second, MaxOwnShare: 0.3, StandingShare: 0.2, MaxStandingShare: 0.08, DepletionWindow: 100 * time.Second, RefillBelow: 0.8, ReturnAbove: 1.3, MinChangeShare: 0.1, MaxRoundShare: 1}
	for _, tc := range []struct {
		desc  string
		input PolicyInput
		want  Delta
	}{
		{"standing share without demand", PolicyInput{Prepaid: 1000, BufferHolders: 4}, 50},
		{"standing share bounded with few instances", PolicyInput{Prepaid: 1000, BufferHolders: 2}, 80},
		{"fleet consumption", PolicyInput{Prepaid: 100_000, Spent: 50_000, Granted: 50_000, FleetRate: 1200, BufferHolders: 4}, 2700},
		{"fleet consumption, tokens last for 10 s", PolicyInput{Prepaid: 100_000, Spent: 90_000, Granted: 90_000, FleetRate: 1000, BufferHolders: 40}, 50},
		{"own demand", PolicyInput{Prepaid: 10_000, Holding: Holding{Rate: 1000}, BufferHolders: 4}, 2000},
		{"instance without buffer holds for its own demand only", PolicyInput{Prepaid: 10_000, Holding: Holding{Rate: 100}, BufferHolders: 4, NoBuffer: true}, 200},
		{"own demand bounded by its share of the unspent tokens", PolicyInput{Prepaid: 10_000, Spent: 9000, Granted: 9000, FleetRate: 1000, Holding: Holding{Rate: 500}, BufferHolders: 4}, 150},
		{"enough", PolicyInput{Prepaid: 1000, BufferHolders: 4, Holding: Holding{Free: 45}}, 0},
		{"too much", PolicyInput{Prepaid: 1000, BufferHolders: 4, Holding: Holding{Free: 100}, Granted: 100}, -50},
		{"more granted than prepaid", PolicyInput{Prepaid: 1000, Granted: 1020, BufferHolders: 4, Holding: Holding{Free: 100}}, -20},
		{"last tokens are spread over the instances", PolicyInput{Prepaid: 1000, Granted: 960, BufferHolders: 4}, 10},
		{"ungranted tokens below the minimum change", PolicyInput{Prepaid: 1000, Granted: 984, BufferHolders: 4}, 0},
		{"tokens lost with instances", PolicyInput{Prepaid: 1000, Granted: 500, Spent: 300, Lost: 200, BufferHolders: 4}, 15},
		{"shortfall of a waiting request", PolicyInput{Prepaid: 1000, Granted: 900, BufferHolders: 4, Shortfall: 60}, 60},
		{"nothing left", PolicyInput{Prepaid: 1000, Granted: 1000, BufferHolders: 4, Shortfall: 60}, 0},
	} {
		if got := p.Change(tc.input); got != tc.want {
			t.Errorf("%s: change %d, want %d", tc.desc, got, tc.want)
		}
	}
}

// Guards against buffers that strand what a workspace needs after repeated losses of all instances.
func TestRepeatedLossesLeaveTokens(t *testing.T) {
	const (
		instances = 7
		day       = 60 // seconds, for which 1.3 times the need is prepaid
		prepaid   = Tokens(13_000_000)
		perSecond = prepaid * 10 / 13 / day
	)
	powerLost := map[int]bool{8: true, 20: true, 27: true, 40: true}
	p := DefaultPolicy()
	var granted, spent Tokens
	var free [instances]Tokens
	var lost losses
	start := time.Now()
	servedLate := 0
	for second := range day {
		for i := range free {
			if powerLost[second] {
				free[i], lost = 0, losses{}
			}
		}
		for i := range free {
			lost.add(unaccounted(granted, spent, Holding{Free: free[i]}, instances, instances, true), start.Add(time.Duration(second)*time.Second))
			change := p.Change(PolicyInput{Prepaid: prepaid, Granted: granted, Spent: spent, FleetRate: float64(perSecond), BufferHolders: instances, Lost: lost.tokens(),
				Holding: Holding{Free: free[i], Rate: float64(perSecond / instances), RequestCost: 10_000}})
			granted, free[i] = granted+Tokens(change), free[i]+Tokens(change)
		}
		for i := range free {
			used := min(free[i], perSecond/instances)
			spent, free[i] = spent+used, free[i]-used
			if second >= 40+2+12 && used > 0 {
				servedLate++
			}
		}
	}
	if servedLate < instances*(day-54)/4 {
		t.Errorf("%d of %d shares served at the end, %d%% of the tokens spent", servedLate, instances*(day-54), 100*spent/prepaid)
	}
}

// Guards against instances whose transactions conflict with the supplier's, and against
// consumption that is never reported to the store. Instances that are not the supplier
// must be refilled by it and must report through it.
func TestOnlySupplierWritesStore(t *testing.T) {
	for _, tc := range []struct {
		desc        string
		holdsBuffer bool
	}{{"buffer holder", true}, {"no buffer holder", false}} {
		store := newFakeStore()
		ctx := context.Background()
		supplier, supplierBook := newSyncer(store, "supplier", 100_000, DefaultPolicy())
		for range 2 {
			if _, _, err := supplier.attempt(ctx, nil, allShards()[0]); err != nil {
				t.Fatal(err)
			}
		}
		peers := &fakePeers{handlers: map[string]peer.Handler{}, from: peer.Identity{Incarnation: "b"}, shouldLose: func() (bool, bool) { return false, false }}
		members := func(string) []Member { return []Member{{"supplier", "a", true}} }
		var r registrar
		NewExchange(supplierBook, peers, members, supplier, discardLogger()).RegisterPeer(&r, "supplier")
		peers.handlers["a"] = r.handler
		book := NewBook()
		x := NewExchange(book, peers, members, emptySource{}, discardLogger())
		other := NewSyncer(SyncerOptions{Book: book, Ledger: NewLedger(store, "b"), Prepaid: func() map[string]Tokens { return map[string]Tokens{ws: 100_000} },
			BufferHolders: func() (int, bool) { return 2, tc.holdsBuffer }, Instances: func() int { return 2 }, SupplierRank: func(string) int { return NoSupplier }, ResolvePending: x.ResolvePending, Refill: x.Refill, Policy: DefaultPolicy(),
			Timing: DefaultTiming(), Log: discardLogger()})
		before := store.commits
		const size, used, requests = 20, 15, 50 // a request is small relative to the demand of one second
		for range requests {
			book.RecordDemand(ws, size, time.Now())
			if _, _, err := other.attempt(ctx, nil, allShards()[0]); err != nil {
				t.Fatal(err)
			}
			other.refillFromSuppliers(ctx)
			if book.Reserve(ws, size) {
				book.Settle(ws, size, used)
			}
		}
		spent := book.Holding(ws, time.Now()).Spent
		if n := store.commits - before; n != 0 {
			t.Errorf("%s: the instance made %d transactions, want 0", tc.desc, n)
		}
		if _, _, err := supplier.attempt(ctx, nil, allShards()[0]); err != nil {
			t.Fatal(err)
		}
		if got := supplierBook.Holding(ws, time.Now()).Unreported + supplier.opts.Ledger.Spent(ws); got < spent/2 || spent < requests*used/2 {
			t.Errorf("%s: %d of %d spent tokens were relayed", tc.desc, got, spent)
		}
	}
}

// Guards against an instance that gets no rights because its supplier is unreachable or
// cannot reach the store.
func TestUnreachableSupplier(t *testing.T) {
	for _, tc := range []struct {
		desc      string
		source    GrantSource // of the first supplier; nil if it does not answer
		hasSecond bool        // there is a second supplier, which reaches the store
	}{{"dead", nil, false}, {"store unreachable", unreachableSource{}, false}, {"dead, second supplier", nil, true}, {"store unreachable, second supplier", unreachableSource{}, true}} {
		store := newFakeStore()
		ctx := context.Background()
		peers := &fakePeers{handlers: map[string]peer.Handler{}, from: peer.Identity{Incarnation: "b"}, shouldLose: func() (bool, bool) { return false, false }}
		members := func(string) []Member { return []Member{{"supplier", "a", true}, {"second", "b", tc.hasSecond}} }
		if tc.hasSecond {
			var r registrar
			b := NewBook()
			NewExchange(b, peers, members, unlimitedSource{book: b}, discardLogger()).RegisterPeer(&r, "second")
			peers.handlers["b"] = r.handler
		}
		if tc.source != nil {
			var r registrar
			NewExchange(NewBook(), peers, members, tc.source, discardLogger()).RegisterPeer(&r, "supplier")
			peers.handlers["a"] = r.handler
		}
		s, book := newSyncer(store, "b", 100_000, DefaultPolicy())
		s.opts.SupplierRank = func(string) int { return NoSupplier }
		x := NewExchange(book, peers, members, s, discardLogger())
		s.opts.ResolvePending, s.opts.Refill = x.ResolvePending, x.Refill
		for range 2 {
			s.runRound(ctx)
			s.refillFromSuppliers(ctx)
		}
		if h := book.Holding(ws, time.Now()); h.Free == 0 {
			t.Errorf("%s: no rights after two rounds", tc.desc)
		}
		if (store.commits > 0) == tc.hasSecond {
			t.Errorf("%s: the instance made %d transactions", tc.desc, store.commits)
		}
	}
}

// Guards against instances that disagree on the suppliers, against a single instance
// that supplies all workspaces, and against a change of supplier when another instance
// ends.
func TestSuppliers(t *testing.T) {
	candidates := map[string]bool{}
	for i := range 12 {
		candidates[fmt.Sprintf("node-%d-7a", i)] = true
	}
	suppliers := map[string]int{}
	for i := range 200 {
		w := fmt.Sprintf("w%d", i)
		chosen := Suppliers(w, candidates)
		first := chosen[0]
		suppliers[first]++
		if again := Suppliers(w, maps.Clone(candidates)); !slices.Equal(again, chosen) || len(chosen) != maxSuppliers {
			t.Fatalf("%s: suppliers are %s, then %s", w, chosen, again)
		}
		remaining := maps.Clone(candidates)
		delete(remaining, fmt.Sprintf("node-%d-7a", i%12))
		if candidates[first] && remaining[first] && Suppliers(w, remaining)[0] != first {
			t.Errorf("%s: the first supplier changes when another instance ends", w)
		}
	}
	if len(suppliers) < 6 {
		t.Errorf("only %d of 12 instances are suppliers: %v", len(suppliers), suppliers)
	}
}

// Guards against a transfer of rights that is made twice because its reply got lost.
func TestTransferWithLostReply(t *testing.T) {
	giver, requester := NewBook(), NewBook()
	giver.Add(ws, 1000)
	lost := true
	peers := &fakePeers{handlers: map[string]peer.Handler{}, from: peer.Identity{Incarnation: "taker"},
		shouldLose: func() (bool, bool) { return false, lost }}
	members := func(string) []Member { return []Member{{"giver", "a", false}} }
	var r registrar
	NewExchange(giver, peers, members, emptySource{}, discardLogger()).RegisterPeer(&r, "giver")
	peers.handlers["a"] = r.handler
	x := NewExchange(requester, peers, members, emptySource{}, discardLogger())
	if got, _ := x.Ask(context.Background(), ws, 100); got != 0 {
		t.Fatalf("got %d tokens without a reply", got)
	}
	lost = false
	clear(x.peerStates)
	if got, _ := x.Ask(context.Background(), ws, 100); got != 200 {
		t.Errorf("got %d tokens from the repeated and the new request, want 200", got)
	}
	if sum := giver.Holding(ws, time.Now()).Free + requester.Holding(ws, time.Now()).Free; sum != 1000 {
		t.Errorf("both instances hold %d tokens, want 1000", sum)
	}
}

// Guards against an instance that cannot reach the store and gets only a part of what
// another one holds, although the other one can take more from the store.
func TestAskWithoutStore(t *testing.T) {
	const held, want = 100, 1000
	for _, tc := range []struct {
		desc             string
		requester, giver func(*Book) GrantSource
		want             Tokens
	}{
		{"both reach the store", func(*Book) GrantSource { return emptySource{} }, func(b *Book) GrantSource { return unlimitedSource{book: b} }, held / 2},
		{"the requester does not reach the store", func(*Book) GrantSource { return unreachableSource{} }, func(b *Book) GrantSource { return unlimitedSource{book: b} }, want},
		{"neither reaches the store", func(*Book) GrantSource { return unreachableSource{} }, func(*Book) GrantSource { return unreachableSource{} }, held / 2},
	} {
		giver, requester := NewBook(), NewBook()
		giver.Add(ws, held)
		giver.RecordDemand(ws, held, time.Now())
		peers := &fakePeers{handlers: map[string]peer.Handler{}, from: peer.Identity{Incarnation: "asker"}, shouldLose: func() (bool, bool) { return false, false }}
		var r registrar
		NewExchange(giver, peers, nil, tc.giver(giver), discardLogger()).RegisterPeer(&r, "giver")
		peers.handlers["a"] = r.handler
		x := NewExchange(requester, peers, func(string) []Member { return []Member{{"giver", "a", false}} }, tc.requester(requester), discardLogger())
		if got, _ := x.Ask(context.Background(), ws, want); got != tc.want {
			t.Errorf("%s: got %d, want %d", tc.desc, got, tc.want)
		}
	}
}

// Guards against an instance that gives away what its own waiting requests need, and against a caller that gives up and so marks a sound instance as unresponsive.
func TestAskSparesWaitingRequests(t *testing.T) {
	giver, requester := NewBook(), NewBook()
	giver.Add(ws, 100)
	giver.SetWaiting(ws, 70)
	peers := &fakePeers{handlers: map[string]peer.Handler{}, from: peer.Identity{Incarnation: "asker"}, shouldLose: func() (bool, bool) { return false, true }}
	var r registrar
	NewExchange(giver, peers, nil, emptySource{}, discardLogger()).RegisterPeer(&r, "giver")
	peers.handlers["a"] = r.handler
	x := NewExchange(requester, peers, func(string) []Member { return []Member{{"giver", "a", false}} }, unreachableSource{}, discardLogger())
	ctx, cancel := context.WithCancel(t.Context())
	peers.handlers["a"] = func(c context.Context, from peer.Identity, body []byte) (any, error) {
		cancel()
		return r.handler(c, from, body)
	}
	if got, _ := x.Ask(ctx, ws, 100); got != 0 {
		t.Errorf("got %d although the reply was lost", got)
	}
	peers.shouldLose = func() (bool, bool) { return false, false }
	if got, _ := x.Ask(t.Context(), ws, 100); got != 30 {
		t.Errorf("got %d, want 30", got)
	}
}

// Guards against missing the rights of an instance that started after the list of
// instances was read. The call to its predecessor reveals it, and the second pass over
// the list asks it.
func TestAskReachesReplacedInstance(t *testing.T) {
	giver, requester := NewBook(), NewBook()
	giver.Add(ws, 1000)
	peers := &fakePeers{handlers: map[string]peer.Handler{}, from: peer.Identity{Incarnation: "asker"}, shouldLose: func() (bool, bool) { return false, false }}
	var r registrar
	NewExchange(giver, peers, nil, emptySource{}, discardLogger()).RegisterPeer(&r, "second")
	members := []Member{{"first", "a", false}}
	peers.handlers["a"] = func(ctx context.Context, from peer.Identity, body []byte) (any, error) {
		members = []Member{{"second", "a", false}}
		return r.handler(ctx, from, body)
	}
	x := NewExchange(requester, peers, func(string) []Member { return members }, unreachableSource{}, discardLogger())
	if got, _ := x.Ask(context.Background(), ws, 100); got != 100 {
		t.Errorf("got %d, want 100", got)
	}
}

// Guards against rights that stay unusable because the reply to their transfer got lost
// and no further call is made on that channel.
func TestResolvePending(t *testing.T) {
	for _, tc := range []struct {
		desc      string
		want      Delta // a return if negative
		loseReply bool  // the reply is lost, not the request
	}{{"refill, reply lost", 100, true}, {"refill, request lost", 100, false}, {"return, reply lost", -100, true}, {"return, request lost", -100, false}} {
		giver, requester := NewBook(), NewBook()
		giver.Add(ws, 1000)
		requester.Add(ws, 500)
		lost := true
		peers := &fakePeers{handlers: map[string]peer.Handler{}, from: peer.Identity{Incarnation: "taker"},
			shouldLose: func() (bool, bool) { return lost && !tc.loseReply, lost && tc.loseReply }}
		members := func(string) []Member { return []Member{{"giver", "a", true}} }
		var r registrar
		NewExchange(giver, peers, members, unlimitedSource{book: NewBook()}, discardLogger()).RegisterPeer(&r, "giver")
		peers.handlers["a"] = r.handler
		x := NewExchange(requester, peers, members, emptySource{}, discardLogger())
		x.Refill(context.Background(), ws, tc.want)
		lost = false
		clear(x.peerStates)
		x.ResolvePending(context.Background())
		now := time.Now()
		if atGiver, atRequester := giver.Holding(ws, now).Free, requester.Holding(ws, now).Free; atGiver+atRequester != 1500 {
			t.Errorf("%s: the instances hold %d and %d tokens, want 1500 in total", tc.desc, atGiver, atRequester)
		}
	}
}

// Guards against a supplier that adds up repeated requests for the same shortfall.
func TestRepeatedGrantRequest(t *testing.T) {
	store := newFakeStore()
	s, book := newSyncer(store, "i1", 1_000_000, DefaultPolicy())
	s.runRound(context.Background())
	before := book.Holding(ws, time.Now()).Free
	for range 10 {
		s.RequestGrant(ws, "a", 20_000)
	}
	s.RequestGrant(ws, "b", 10_000)
	s.runRound(context.Background())
	if got := book.Holding(ws, time.Now()).Free - before; got != 30_000 {
		t.Errorf("took %d tokens, want 30000, the shortfall of two instances", got)
	}
}

// Guards against an instance that cannot reach the store and keeps excess rights
// although the supplier could return them, and against returns while no instance
// reaches the store.
func TestReturnWithoutStore(t *testing.T) {
	for _, reached := range []bool{true, false} {
		store := newFakeStore()
		s, book := newSyncer(store, "i1", 100_000, DefaultPolicy())
		s.opts.SupplierRank = func(string) int { return NoSupplier }
		s.opts.ResolvePending = func(context.Context) {}
		var returned Delta
		s.opts.Refill = func(_ context.Context, _ string, want Delta) bool {
			returned += max(0, -want)
			return reached
		}
		ctx := context.Background()
		s.plan(time.Now(), nil, false, shardSet{})
		s.refillFromSuppliers(ctx) // finds out whether the supplier reaches the store
		book.Add(ws, 90_000)
		s.plan(time.Now(), nil, false, shardSet{})
		s.refillFromSuppliers(ctx)
		if (returned > 0) != reached {
			t.Errorf("supplier reaches the store: %t, but %d tokens were returned", reached, returned)
		}
	}
}

// Guards against losing rights and reports that are sent to a supplier which has just
// restarted: its new incarnation rejects the call.
func TestReturnToReplacedSupplier(t *testing.T) {
	supplier, book := NewBook(), NewBook()
	book.Add(ws, 500)
	book.Reserve(ws, 100)
	book.Settle(ws, 100, 40)
	peers := &fakePeers{handlers: map[string]peer.Handler{}, from: peer.Identity{Incarnation: "b"}, shouldLose: func() (bool, bool) { return false, false }}
	var r registrar
	members := func(string) []Member { return []Member{{"first", "a", true}} }
	NewExchange(supplier, peers, members, emptySource{}, discardLogger()).RegisterPeer(&r, "second")
	peers.handlers["a"] = r.handler
	NewExchange(book, peers, members, emptySource{}, discardLogger()).Refill(context.Background(), ws, -300)
	if h := book.Holding(ws, time.Now()); h.Free != 460 || h.Unreported != 40 {
		t.Errorf("holding is %+v, want 460 free and 40 unreported", h)
	}
}

// Guards against instances that all return rights to the store while their suppliers do
// not answer: the transactions conflict with those for which requests wait.
func TestExcessWaitsForSupplier(t *testing.T) {
	store := newFakeStore()
	s, book := newSyncer(store, "i1", 100_000, DefaultPolicy())
	s.opts.SupplierRank = func(string) int { return NoSupplier }
	s.opts.ResolvePending = func(context.Context) {}
	s.opts.Refill = func(context.Context, string, Delta) bool { return false }
	book.Add(ws, 90_000)
	for range 3 {
		s.runRound(context.Background())
		s.refillFromSuppliers(context.Background())
	}
	if store.commits > 0 || book.Holding(ws, time.Now()).Free != 90_000 {
		t.Errorf("%d transactions, %d tokens left", store.commits, book.Holding(ws, time.Now()).Free)
	}
}

// Guards against rights that collect at a reserve supplier, which takes them back from
// others, while the first supplier does not answer.
func TestReserveSupplierReturns(t *testing.T) {
	store := newFakeStore()
	s, book := newSyncer(store, "i1", 100_000, DefaultPolicy())
	s.runRound(context.Background())
	s.opts.SupplierRank = func(string) int { return 1 }
	s.opts.ResolvePending = func(context.Context) {}
	s.opts.Refill = func(context.Context, string, Delta) bool { return false }
	target := book.Holding(ws, time.Now()).Free
	s.opts.Ledger.shards[shardOf(ws)].Granted[ws] += 50_000 // returned by other instances
	book.Add(ws, 50_000)
	for range 3 {
		s.runRound(context.Background())
		s.refillFromSuppliers(context.Background())
	}
	if got := book.Holding(ws, time.Now()).Free; got > 2*target {
		t.Errorf("the reserve supplier holds %d tokens, want about %d", got, target)
	}
}

// Guards against refills that fail because repeated calls to other, unreachable instances
// used up their time.
func TestRefillBesidePendingCalls(t *testing.T) {
	store := newFakeStore()
	s, _ := newSyncer(store, "i1", 100_000, DefaultPolicy())
	s.opts.SupplierRank = func(string) int { return NoSupplier }
	s.opts.ResolvePending = func(ctx context.Context) { <-ctx.Done() }
	refilled := false
	s.opts.Refill = func(ctx context.Context, _ string, _ Delta) bool {
		refilled = ctx.Err() == nil
		return refilled
	}
	s.runRound(context.Background())
	s.refillFromSuppliers(context.Background())
	if !refilled {
		t.Error("no time was left for the refill")
	}
}

// Guards against instances in conflict that keep colliding because they all try again
// within the same short time.
func TestConflictDelayGrows(t *testing.T) {
	s, _ := newSyncer(newFakeStore(), "i1", 100_000, DefaultPolicy())
	var longest time.Duration
	for range 100 {
		if d := s.conflictDelay(0, maxConflictDoublings); d >= 2*s.opts.Timing.ConflictDelay {
			t.Fatalf("delay after the first conflict: %s", d)
		}
		longest = max(longest, s.conflictDelay(s.opts.Timing.MaxAttempts-1, maxConflictDoublings))
	}
	if longest < 8*s.opts.Timing.ConflictDelay {
		t.Errorf("longest delay after the last conflict: %s", longest)
	}
}

// Guards against a fleet whose reads of the sums grow with the number of instances that
// only follow suppliers, and against a follower that does not read them for a request.
func TestFollowerReadsSeldom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		s, _ := newSyncer(store, "i1", 100_000, DefaultPolicy())
		s.opts.SupplierRank = func(string) int { return NoSupplier }
		s.opts.BufferHolders = func() (int, bool) { return 12, false }
		s.opts.ResolvePending = func(context.Context) {}
		s.opts.Refill = func(context.Context, string, Delta) bool { return true }
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { s.Run(ctx); close(done) }()
		time.Sleep(10 * time.Second)
		before := store.reads.Load()
		if before > 4 {
			t.Errorf("%d reads in 10 s", before)
		}
		s.ReportShortfall(ws, 100)
		time.Sleep(100 * time.Millisecond)
		if store.reads.Load() == before {
			t.Error("no read for a waiting request")
		}
		cancel()
		<-done
	})
}

// Guards against instances that starve each other: a transaction on many records conflicts
// with each of those that write one of them.
func TestConflictNarrowsTransaction(t *testing.T) {
	names := []string{"w1", "w2", "w3", "w4", "w5", "w6"}
	prepaid := map[string]Tokens{}
	for _, w := range names {
		prepaid[w] = 100_000
	}
	store := newFakeStore()
	s, book := newSyncer(store, "i1", 0, DefaultPolicy())
	s.opts.Prepaid = func() map[string]Tokens { return prepaid }
	contended := shardKey(shardOf(names[0]))
	empty, err := peer.Marshal(shardRecord{})
	if err != nil {
		t.Fatal(err)
	}
	store.beforeCommit = func() {
		// Another instance writes one record before each transaction.
		store.revision++
		it := store.items[contended]
		it.Key, it.Value, it.Revision = contended, empty, store.revision
		store.items[contended] = it
	}
	s.ReportShortfall(names[1], 5000)
	s.runRound(context.Background())
	for _, w := range names {
		if shardOf(w) != shardOf(names[0]) && book.Holding(w, time.Now()).Free == 0 {
			t.Errorf("no rights of %s, whose record is not contended", w)
		}
	}
}

// Guards against a supplier that takes no rights for others while it waits for another
// supplier that does not answer.
func TestRoundsContinueDuringRefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, book := newSyncer(newFakeStore(), "i1", 1_000_000, DefaultPolicy())
		s.opts.ResolvePending = func(ctx context.Context) { <-ctx.Done() } // until the calls time out
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { s.Run(ctx); close(done) }()
		time.Sleep(s.opts.Timing.Interval + 50*time.Millisecond)
		before := book.Holding(ws, time.Now()).Free
		s.RequestGrant(ws, "a", 200_000)
		time.Sleep(2 * s.opts.Timing.MinRoundDelay)
		if after := book.Holding(ws, time.Now()).Free; after < before+200_000 {
			t.Errorf("%d tokens %s after another instance asked for 200000, %d before", after, 2*s.opts.Timing.MinRoundDelay, before)
		}
		cancel()
		<-done
	})
}

// Guards against a whole fleet that turns to the store at once when an outage ends: the
// instances that are no suppliers must be refilled first.
func TestNoRushAfterOutage(t *testing.T) {
	store := newFakeStore()
	s, _ := newSyncer(store, "i1", 100_000, DefaultPolicy())
	s.opts.SupplierRank = func(string) int { return NoSupplier }
	s.opts.ResolvePending = func(context.Context) {}
	s.opts.Refill = func(context.Context, string, Delta) bool { return false }
	s.dependency.Record(errors.New("away"))
	s.plan(time.Now(), nil, false, shardSet{})
	s.refillFromSuppliers(context.Background())
	if !s.unsupplied[ws] {
		t.Fatal("the workspace is supplied in the outage")
	}
	s.runRound(context.Background())
	if store.commits > 0 {
		t.Errorf("%d transactions in the first round after the outage", store.commits)
	}
}
