package node

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/admission"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/gateway"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/rights"
)

// dyingPeer never answers a call.
type dyingPeer struct{}

func (dyingPeer) Call(ctx context.Context, _ string, _ peer.Method, _, _ any) error {
	<-ctx.Done()
	return failure.New(failure.Uncertain, "", "no answer")
}

// waitingRights is a reserver without store that holds 100 tokens of workspace "w", all of them
// reserved, and knows that streams use half of what they reserve.
type waitingRights struct {
	*reserver
	t *testing.T
}

// newWaitingRights returns such a reserver in the bubble of a synctest.
func newWaitingRights(t *testing.T) *waitingRights {
	log := logrus.New()
	log.SetOutput(io.Discard)
	book := rights.NewBook()
	syncer := rights.NewSyncer(rights.SyncerOptions{Book: book, Ledger: rights.NewLedger(unavailableStore{}, "a"), Prepaid: func() map[string]rights.Tokens { return map[string]rights.Tokens{"w": 10_000} },
		BufferHolders: func() (int, bool) { return 2, true }, Instances: func() int { return 2 }, SupplierRank: func(string) int { return rights.NoSupplier }, ResolvePending: func(context.Context) {},
		Refill: func(context.Context, string, rights.Delta) bool { return false }, Policy: rights.DefaultPolicy(), Timing: rights.DefaultTiming(), Log: log})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { syncer.Run(ctx); close(done) }()
	t.Cleanup(func() {
		time.Sleep(time.Second) // ends the searches
		cancel()
		<-done
	})
	for !syncer.IsStoreUnreachable() {
		time.Sleep(time.Millisecond) // until the first round has failed
	}
	exchange := rights.NewExchange(book, dyingPeer{}, func(string) []rights.Member {
		return []rights.Member{{Incarnation: "b", Address: "b", IsSupplier: true}}
	}, syncer, log)
	w := &waitingRights{newReserver(book, syncer, exchange, func(string) bool { return false }, log, nil), t}
	book.Add("w", 600)
	for range 10 {
		w.mustReserve(100)
		w.Settle("w", 100, 50)
	}
	w.mustReserve(100)
	time.Sleep(time.Second) // the search before rights run dry has failed
	return w
}

func (w *waitingRights) request(tokens rights.Tokens) gateway.Reservation {
	now := time.Now()
	return gateway.Reservation{Workspace: "w", Tokens: tokens, Patience: admission.Patience{Objective: now.Add(time.Second), Deadline: now.Add(8 * time.Second), Trial: 120 * time.Millisecond}}
}

func (w *waitingRights) mustReserve(tokens rights.Tokens) {
	if err, _ := w.Reserve(w.t.Context(), w.request(tokens)); err != nil {
		w.t.Fatal(err)
	}
}

// Guards against a request that is refused, or held too long, while the store is away and a stream that settles frees what it needs.
func TestRequestGetsWhatSettles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWaitingRights(t)
		time.AfterFunc(200*time.Millisecond, func() { w.Settle("w", 100, 50) })
		began := time.Now()
		err, _ := w.Reserve(t.Context(), w.request(40))
		if waited := time.Since(began); err != nil || waited != 200*time.Millisecond {
			t.Errorf("%v after %v", err, waited)
		}
		if h := w.book.Holding("w", time.Now()); h.Free+h.Reserved+h.Spent != 600 || h.Free != 10 || h.Waiting != 0 {
			t.Errorf("holding %+v", h)
		}
	})
}

// Guards against a request that is held although nothing that it needs can be freed, and against a refusal that names no time or the wrong cause.
func TestRequestWithoutSupplyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWaitingRights(t)
		began := time.Now()
		err, retryAfter := w.Reserve(t.Context(), w.request(80))
		if waited := time.Since(began); err == nil || err.Outcome != failure.NotRun || failure.CauseOf(err) != failure.CauseRights || retryAfter <= 0 || waited > 120*time.Millisecond {
			t.Errorf("%v, retry after %v, after %v", err, retryAfter, waited)
		}
		w.mustReserveAfterSettle()
	})
}

// Guards against a request that keeps its place, or gets rights, after its caller has left.
func TestLeavingRequestGivesUpItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWaitingRights(t)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		if err, _ := w.Reserve(ctx, w.request(40)); err == nil {
			t.Error("the request is served")
		}
		w.mustReserveAfterSettle()
	})
}

// mustReserveAfterSettle settles the stream under way and reserves all that it frees.
func (w *waitingRights) mustReserveAfterSettle() {
	w.t.Helper()
	w.Settle("w", 100, 50)
	w.mustReserve(50)
	if h := w.book.Holding("w", time.Now()); h.Free != 0 || h.Reserved != 50 || h.Spent != 550 || h.Waiting != 0 {
		w.t.Errorf("holding %+v", h)
	}
}
