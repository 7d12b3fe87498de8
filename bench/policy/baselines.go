//go:build bench

package policy

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/kvstore/kvstoretest"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// splitSystem gives each domain an equal fixed share of every payment. It has no
// messages and no failures of its own, which favours it.
type splitSystem struct {
	domains []string
	mu      sync.Mutex
	left    map[string]map[ledger.BudgetKey]ledger.Tokens
}

func newSplit(domains []string) *splitSystem {
	s := &splitSystem{domains: domains, left: map[string]map[ledger.BudgetKey]ledger.Tokens{}}
	for _, d := range domains {
		s.left[d] = map[ledger.BudgetKey]ledger.Tokens{}
	}
	return s
}

func (s *splitSystem) change(domain string, b ledger.BudgetKey, by ledger.Tokens) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left[domain][b]+by < 0 {
		return false
	}
	s.left[domain][b] += by
	return true
}

func (s *splitSystem) reserve(_ context.Context, c *call) (verdict, func(context.Context) bool) {
	if !s.change(c.domain, c.budget, -c.amount) {
		return exhausted, nil
	}
	return admitted, func(context.Context) bool { return s.change(c.domain, c.budget, c.amount-c.cost) }
}

func (s *splitSystem) topUp(_ context.Context, b ledger.BudgetKey, _ string, amount ledger.Tokens) {
	for _, d := range s.domains {
		s.change(d, b, amount/ledger.Tokens(len(s.domains)))
	}
}

// storeSystem writes the budget record for each reservation and settlement. The
// requests of one instance for one budget go one after the other, and a conflict
// waits for a random time; without both, the conflicts use up all writes.
type storeSystem struct {
	store *kvstoretest.Fake
	gate  *writeGate

	mu    sync.Mutex
	rng   *rand.Rand
	turns map[turn]chan struct{}
}

type turn struct {
	client string
	budget ledger.BudgetKey
}

func newStoreSystem(store *kvstoretest.Fake) *storeSystem {
	return &storeSystem{store: store, gate: &writeGate{}, rng: rand.New(rand.NewPCG(seed, 0)), turns: map[turn]chan struct{}{}}
}

// take waits for the turn of an instance at a budget.
func (s *storeSystem) take(ctx context.Context, t turn) (release func(), ok bool) {
	s.mu.Lock()
	ch := s.turns[t]
	if ch == nil {
		ch = make(chan struct{}, 1)
		s.turns[t] = ch
	}
	s.mu.Unlock()
	select {
	case ch <- struct{}{}:
		return func() { <-ch }, true
	case <-ctx.Done():
		return nil, false
	}
}

const conflictPause = 20 * time.Millisecond // at most

func (s *storeSystem) backOff(ctx context.Context) {
	s.mu.Lock()
	d := time.Duration(s.rng.Int64N(int64(conflictPause)))
	s.mu.Unlock()
	sleep(ctx, d)
}

// writeGate spaces writes so that the store takes at most writesPerSecond.
type writeGate struct {
	mu   sync.Mutex
	next time.Time
}

const writesPerSecond = 400 // "several hundred"

func (g *writeGate) wait(ctx context.Context) {
	g.mu.Lock()
	at := g.next
	if now := time.Now(); at.Before(now) {
		at = now
	}
	g.next = at.Add(time.Second / writesPerSecond)
	g.mu.Unlock()
	sleep(ctx, time.Until(at))
}

type storedBudget struct{ Paid, Used ledger.Tokens }

// update changes a record by compare-and-swap. It reports false when fn refused.
func (s *storeSystem) update(ctx context.Context, client kvstore.Store, b ledger.BudgetKey, fn func(*storedBudget) bool) (bool, error) {
	for {
		rec, err := client.Get(ctx, b.StoreKey())
		if err != nil {
			return false, err
		}
		var v storedBudget
		_ = cbor.Unmarshal(rec.Value, &v) // a missing record is an empty budget
		if !fn(&v) {
			return false, nil
		}
		data, _ := cbor.Marshal(v) // two integers always encode
		s.gate.wait(ctx)
		_, err = client.CompareAndSwap(ctx, b.StoreKey(), rec.Version, data)
		if err == nil || !failure.Is(err, failure.Conflict) {
			return err == nil, err
		}
		s.backOff(ctx)
	}
}

func (s *storeSystem) until(ctx context.Context, id string, b ledger.BudgetKey, fn func(*storedBudget) bool) verdict {
	release, ok := s.take(ctx, turn{id, b})
	if !ok {
		return unavailable
	}
	defer release()
	client := s.store.Client(id)
	for ; ctx.Err() == nil; sleep(ctx, reservePause) {
		ok, err := s.update(ctx, client, b, fn)
		switch {
		case err != nil:
			continue
		case ok:
			return admitted
		}
		return exhausted
	}
	return unavailable
}

func (s *storeSystem) reserve(ctx context.Context, c *call) (verdict, func(context.Context) bool) {
	client := slotName(c.domain, c.balance+1)
	v := s.until(ctx, client, c.budget, func(b *storedBudget) bool {
		b.Used += c.amount
		return b.Used <= b.Paid
	})
	return v, func(ctx context.Context) bool {
		v := s.until(ctx, client, c.budget, func(b *storedBudget) bool { b.Used += c.cost - c.amount; return true })
		return v == admitted
	}
}

func (s *storeSystem) topUp(ctx context.Context, b ledger.BudgetKey, _ string, amount ledger.Tokens) {
	s.until(ctx, "operator", b, func(v *storedBudget) bool { v.Paid += amount; return true })
}
