package rights

import (
	"cmp"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/tokens"
)

// ws is the workspace of the tests.
const ws = "w"

// modelInstance is one incarnation of an instance under test.
type modelInstance struct {
	name     string
	address  string
	book     *Book
	ledger   *Ledger
	syncer   *Syncer
	exchange *Exchange
	reserved []Tokens // reservations of requests in flight
}

// fleet is the state of TestRightsMachine: instances that share one workspace, and
// the totals that the invariants need.
type fleet struct {
	t          *rapid.T
	store      *fakeStore
	peers      *fakePeers
	live       []*modelInstance
	prepaid    Tokens
	maxPrepaid Tokens   // largest value of prepaid so far
	spent      Tokens   // by all incarnations, including those that were killed
	started    int      // number of incarnations so far
	ends       []Tokens // amounts that are drawn beside ordinary ones
}

// amount draws an amount from low to high, or one of f.ends.
func (f *fleet) amount(t *rapid.T, label string, low, high int) Tokens {
	if f.ends != nil && rapid.Bool().Draw(t, label+" at an end") {
		return rapid.SampledFrom(f.ends).Draw(t, label)
	}
	return Tokens(rapid.IntRange(low, high).Draw(t, label))
}

// modelRank makes the instance at supplierAddress the first supplier and the others, but
// for one, reserves.
func modelRank(address string) int {
	switch address {
	case supplierAddress:
		return 0
	case "a2":
		return NoSupplier
	}
	return 1
}

// start starts a new incarnation at an address. It replaces the handler of the old one.
func (f *fleet) start(address string) *modelInstance {
	f.started++
	inst := &modelInstance{name: fmt.Sprintf("i%d", f.started), address: address, book: NewBook()}
	inst.ledger = NewLedger(f.store, inst.name)
	inst.syncer = NewSyncer(SyncerOptions{Book: inst.book, Ledger: inst.ledger, Prepaid: func() map[string]Tokens { return map[string]Tokens{ws: f.prepaid} },
		Evidence: f.evidence, Announce: func(_ context.Context, states []KnownState) { f.announce(inst, states) }, RestoreDelay: func() (time.Duration, bool) { return -uninformedDelay, true },
		BufferHolders: func() (int, bool) { return 2, address != "a2" }, Instances: func() int { return 2 }, SupplierRank: func(string) int { return modelRank(address) }, Policy: DefaultPolicy(), Timing: DefaultTiming(), Log: discardLogger()})
	inst.exchange = NewExchange(inst.book, f.peers, func(string) []Member { return f.members(inst) }, inst.syncer, discardLogger())
	inst.exchange.grantTimeout = 0
	// The steps resolve pending calls themselves, because beside refills the order of the
	// calls would differ between two runs of the same steps.
	inst.syncer.opts.ResolvePending, inst.syncer.opts.Refill = func(context.Context) {}, inst.exchange.Refill
	var r registrar
	inst.exchange.RegisterPeer(&r, inst.name)
	f.peers.handlers[address] = r.handler
	return inst
}

// members returns the other instances, ordered by address.
func (f *fleet) members(self *modelInstance) []Member {
	var out []Member
	for _, inst := range f.live {
		if inst != self {
			out = append(out, Member{inst.name, inst.address, inst.address == supplierAddress})
		}
	}
	slices.SortStableFunc(out, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// evidence implements Evidence with what the instances know that can be reached.
func (f *fleet) evidence(_ context.Context, era uint64) (known [Shards]ShardState) {
	for _, inst := range f.live {
		known = latest(known, inst.ledger.Known(era))
	}
	return known
}

// announce implements SyncerOptions.Announce. One of the other instances can be reached.
func (f *fleet) announce(from *modelInstance, states []KnownState) {
	for _, inst := range f.live {
		if inst != from {
			inst.ledger.Witness(states)
			return
		}
	}
}

// supplierAddress is the address of the only supplier.
const supplierAddress = "a0"

// draw draws a live instance.
func (f *fleet) draw(label string) *modelInstance {
	return f.live[rapid.IntRange(0, len(f.live)-1).Draw(f.t, label)]
}

// held returns the free and reserved rights of all live instances.
func (f *fleet) held() Tokens {
	var n Tokens
	for _, inst := range f.live {
		holding := inst.book.Holding(ws, time.Now())
		n += holding.Free + holding.Reserved
	}
	return n
}

// granted returns the granted sum in the store.
func (f *fleet) granted() Tokens {
	var rec shardRecord
	if it, ok := f.store.items[shardKey(shardOf(ws))]; ok {
		if err := peer.Unmarshal(it.Value, &rec); err != nil {
			f.t.Fatal(err)
		}
	}
	return rec.Granted[ws]
}

// newModelFleet returns three instances that share a store.
func newModelFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, store: newFakeStore(), prepaid: 10_000, maxPrepaid: 10_000}
	f.store.isEraKnown = func() bool { return rapid.Bool().Draw(t, "known") }
	// Calls are made in other goroutines, in which rapid cannot draw while it shrinks a failure.
	lose := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "losses"), 0))
	f.peers = &fakePeers{handlers: map[string]peer.Handler{}, shouldLose: func() (bool, bool) {
		n := lose.IntN(4)
		return n == 1, n == 2
	}}
	for i := range 3 {
		f.live = append(f.live, f.start(fmt.Sprintf("a%d", i)))
	}
	return f
}

// actions returns what can happen to the fleet.
func (f *fleet) actions(ctx context.Context) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"sync": func(t *rapid.T) {
			f.store.fault = storeFault(rapid.IntRange(0, int(delayCommit)).Draw(t, "fault"))
			inst := f.draw("who")
			if f.store.era > 0 && inst.ledger.Refresh(ctx) != nil {
				return // as in runRound; without eras the sums may be older
			}
			shortfalls := map[string]Tokens{}
			if rapid.Bool().Draw(t, "short") {
				shortfalls[ws] = f.amount(t, "lack", 1, 3000)
			}
			_, _, _ = inst.syncer.attempt(ctx, shortfalls, allShards()[0]) // errors from the faulty store are expected
			f.store.fault = noFault
			f.peers.from = peer.Identity{Incarnation: inst.name}
			inst.exchange.ResolvePending(ctx)
			inst.syncer.refillFromSuppliers(ctx)
		},
		"late": func(*rapid.T) { f.store.applyDelayed() },
		"reserve": func(t *rapid.T) {
			inst := f.draw("who")
			n := f.amount(t, "most", 1, 800)
			inst.book.RecordDemand(ws, n, time.Now())
			if inst.book.Reserve(ws, n) {
				inst.reserved = append(inst.reserved, n)
			}
		},
		"settle": func(t *rapid.T) {
			inst := f.draw("who")
			if len(inst.reserved) == 0 {
				return
			}
			n := inst.reserved[0]
			inst.reserved = inst.reserved[1:]
			used := Tokens(rapid.IntRange(0, int(n)).Draw(t, "used"))
			if err := inst.book.Settle(ws, n, used); err != nil {
				t.Fatal(err)
			}
			f.spent += used
		},
		"refill": func(t *rapid.T) {
			inst := f.draw("who")
			f.peers.from = peer.Identity{Incarnation: inst.name}
			inst.exchange.Refill(ctx, ws, Delta(f.amount(t, "want", -2000, 2000)))
		},
		"ask": func(t *rapid.T) {
			inst := f.draw("who")
			f.peers.from = peer.Identity{Incarnation: inst.name}
			inst.exchange.Ask(ctx, ws, f.amount(t, "want", 1, 2000))
			clear(inst.exchange.peerStates) // no backoff between steps
		},
		"repeat": func(t *rapid.T) {
			if n := len(f.peers.duplicates); n > 0 {
				f.peers.duplicates[rapid.IntRange(0, n-1).Draw(t, "which")]()
			}
		},
		"kill": func(t *rapid.T) {
			i := rapid.IntRange(0, len(f.live)-1).Draw(t, "who")
			for _, n := range f.live[i].reserved {
				f.spent += n // requests in flight may have cost their maximum
			}
			f.live[i] = f.start(f.live[i].address)
		},
		"pay": func(t *rapid.T) {
			f.prepaid = f.amount(t, "prepaid", 2_000, 20_000)
			f.maxPrepaid = max(f.maxPrepaid, f.prepaid)
		},
		"return": func(t *rapid.T) {
			inst := f.draw("who")
			f.store.fault = storeFault(rapid.IntRange(0, int(delayCommit)).Draw(t, "fault"))
			cancelled, cancel := context.WithCancel(ctx)
			cancel()
			_ = inst.syncer.ReturnAll(cancelled) // errors from the faulty store are expected
			f.store.fault = noFault
		},
	}
}

// Guards against duplicated rights. They could come from a transaction that was repeated
// or took effect late, from a transfer whose reply got lost or whose request arrived
// twice, or from an instance that died. Invariants: the tokens spent and held never
// exceed the granted sum, and the granted sum never exceeds the largest prepaid amount.
func TestRightsMachine(t *testing.T) { checkRightsMachine(t, nil) }

// Guards against sums that leave their range in any order of reservations, settlements, moves and reports.
func TestRightsMachineAtEndsOfRange(t *testing.T) {
	checkRightsMachine(t, []Tokens{0, 1, tokens.Max / 2, tokens.Max - 1, tokens.Max, tokens.Max + 1, math.MaxInt64, -1, math.MinInt64})
}

// checkRightsMachine checks the invariants of TestRightsMachine with amounts that include ends.
func checkRightsMachine(t *testing.T, ends []Tokens) {
	rapid.Check(t, func(t *rapid.T) {
		f := newModelFleet(t)
		f.ends = ends
		actions := f.actions(context.Background())
		actions[""] = func(t *rapid.T) {
			if spentOrHeld, granted := f.spent+f.held(), f.granted(); spentOrHeld > granted {
				t.Fatalf("%d tokens are spent or held, but only %d are granted", spentOrHeld, granted)
			}
			if granted := f.granted(); granted > f.maxPrepaid {
				t.Fatalf("%d tokens are granted, but at most %d were prepaid", granted, f.maxPrepaid)
			}
		}
		t.Repeat(actions)
	})
}

// Guards against an instance that has just started and restores older sums before those that know the latest ones.
func TestUninformedInstanceLeavesRestoreToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.era = 1
		informed, _ := newSyncer(store, "i1", 100_000, DefaultPolicy())
		started, _ := newSyncer(store, "i2", 100_000, DefaultPolicy())
		for _, s := range []*Syncer{informed, started} {
			s.opts.Evidence = func(context.Context, uint64) (none [Shards]ShardState) { return none }
			s.opts.Announce = func(context.Context, []KnownState) {}
			s.opts.RestoreDelay = func() (time.Duration, bool) { return 0, true }
		}
		_ = informed.refresh(t.Context()) // the first instance of all waits as well
		time.Sleep(uninformedDelay)
		informed.runRound(t.Context())
		store.copyContent()
		informed.ReportShortfall(ws, 50_000)
		informed.runRound(t.Context())
		store.restore()
		if err := started.refresh(t.Context()); !failure.Is(err, failure.NotReady) {
			t.Errorf("the started instance restored the sums: %v", err)
		}
		if err := informed.refresh(t.Context()); err != nil {
			t.Error(err)
		}
		if err := started.refresh(t.Context()); err != nil || started.opts.Ledger.Granted(ws) < 50_000 {
			t.Errorf("%d tokens are granted, %v", started.opts.Ledger.Granted(ws), err)
		}
	})
}

// Guards against rights that are taken twice because the store returned from an older copy, also repeatedly, or while instances end or take part late.
func TestRestoredRightsMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newModelFleet(t)
		ctx := context.Background()
		f.store.era = 1
		f.store.copyContent()
		killed := false // since the latest copy
		actions := f.actions(ctx)
		kill := actions["kill"]
		actions["kill"] = func(t *rapid.T) {
			if !killed { // what nobody remembers cannot be restored
				kill(t)
				killed = true
			}
		}
		actions["copy"] = func(*rapid.T) {
			for _, inst := range f.live {
				_ = inst.syncer.refresh(ctx)
				if _, changed := inst.ledger.NewEra(); changed {
					return
				}
			}
			f.store.copyContent()
			killed = false
		}
		actions["restore"] = func(*rapid.T) { f.store.restore() }
		actions["enter"] = func(t *rapid.T) { _ = f.draw("who").syncer.refresh(ctx) }
		actions[""] = func(t *rapid.T) {
			n, granted := f.spent+f.held(), f.granted()
			if n > f.maxPrepaid {
				t.Fatalf("%d tokens are spent or held, but at most %d were prepaid", n, f.maxPrepaid)
			}
			isOutside := func(inst *modelInstance) bool { return inst.ledger.era != f.store.era }
			if n > granted && !slices.ContainsFunc(f.live, isOutside) {
				t.Fatalf("%d tokens are spent or held, but only %d are granted after all instances have entered the era", n, granted)
			}
		}
		t.Repeat(actions)
	})
}
