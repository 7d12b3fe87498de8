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

// fixedSplitSystem gives each domain an equal, fixed share of every payment. The
// baseline is favoured by the model: it sends no messages and never fails.
type fixedSplitSystem struct {
	domains  []string
	mu       sync.Mutex
	balances map[string]map[ledger.BudgetKey]ledger.Tokens
}

func newFixedSplitSystem(domains []string) *fixedSplitSystem {
	s := &fixedSplitSystem{domains: domains, balances: map[string]map[ledger.BudgetKey]ledger.Tokens{}}
	for _, d := range domains {
		s.balances[d] = map[ledger.BudgetKey]ledger.Tokens{}
	}
	return s
}

// adjust adds delta to the balance of a budget in a domain. It reports false and
// changes nothing if the balance would become negative.
func (s *fixedSplitSystem) adjust(domain string, b ledger.BudgetKey, delta ledger.Tokens) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.balances[domain][b]+delta < 0 {
		return false
	}
	s.balances[domain][b] += delta
	return true
}

func (s *fixedSplitSystem) reserve(_ context.Context, c *call) (decision, func(context.Context) bool) {
	if !s.adjust(c.domain, c.budget, -c.amount) {
		return exhausted, nil
	}
	return admitted, func(context.Context) bool { return s.adjust(c.domain, c.budget, c.amount-c.cost) }
}

func (s *fixedSplitSystem) topUp(_ context.Context, b ledger.BudgetKey, _ string, amount ledger.Tokens) {
	for _, d := range s.domains {
		s.adjust(d, b, amount/ledger.Tokens(len(s.domains)))
	}
}

// storeSystem updates the budget record in the store for each reservation and
// settlement. An instance serializes its updates of a budget, and backs off for a
// random time after a conflict. Without both, conflicts use up the write rate of
// the store.
type storeSystem struct {
	store   *kvstoretest.Fake
	limiter *writeLimiter

	mu    sync.Mutex
	rng   *rand.Rand
	locks map[lockKey]chan struct{}
}

// lockKey identifies the lock of a client on a budget.
type lockKey struct {
	client string
	budget ledger.BudgetKey
}

func newStoreSystem(store *kvstoretest.Fake) *storeSystem {
	return &storeSystem{store: store, limiter: &writeLimiter{}, rng: rand.New(rand.NewPCG(seed, 0)), locks: map[lockKey]chan struct{}{}}
}

// lock acquires the lock of a client on a budget. It reports false if ctx ends
// first.
func (s *storeSystem) lock(ctx context.Context, key lockKey) (release func(), ok bool) {
	s.mu.Lock()
	mutex := s.locks[key]
	if mutex == nil {
		mutex = make(chan struct{}, 1)
		s.locks[key] = mutex
	}
	s.mu.Unlock()
	select {
	case mutex <- struct{}{}:
		return func() { <-mutex }, true
	case <-ctx.Done():
		return nil, false
	}
}

const maxConflictBackoff = 20 * time.Millisecond

// backoff sleeps for a random time below maxConflictBackoff.
func (s *storeSystem) backoff(ctx context.Context) {
	s.mu.Lock()
	delay := time.Duration(s.rng.Int64N(int64(maxConflictBackoff)))
	s.mu.Unlock()
	sleep(ctx, delay)
}

// writeLimiter spaces writes evenly so that the store receives at most
// maxWritesPerSecond.
type writeLimiter struct {
	mu        sync.Mutex
	nextWrite time.Time
}

// maxWritesPerSecond stands for the "several hundred" writes per second that the
// store accepts.
const maxWritesPerSecond = 400

// wait blocks until the next write may start.
func (l *writeLimiter) wait(ctx context.Context) {
	l.mu.Lock()
	start := l.nextWrite
	if now := time.Now(); start.Before(now) {
		start = now
	}
	l.nextWrite = start.Add(time.Second / maxWritesPerSecond)
	l.mu.Unlock()
	sleep(ctx, time.Until(start))
}

// storedBudget is the record of a budget in the store.
type storedBudget struct{ Paid, Used ledger.Tokens }

// update changes the record of a budget by compare-and-swap and retries on
// conflicts. It reports false if change returns false; nothing is written then.
func (s *storeSystem) update(ctx context.Context, client kvstore.Store, b ledger.BudgetKey, change func(*storedBudget) bool) (bool, error) {
	for {
		record, err := client.Get(ctx, b.StoreKey())
		if err != nil {
			return false, err
		}
		var budget storedBudget
		_ = cbor.Unmarshal(record.Value, &budget) // a missing record is an empty budget
		if !change(&budget) {
			return false, nil
		}
		data, _ := cbor.Marshal(budget) // two integers always encode
		s.limiter.wait(ctx)
		_, err = client.CompareAndSwap(ctx, b.StoreKey(), record.Version, data)
		if err == nil || !failure.Is(err, failure.Conflict) {
			return err == nil, err
		}
		s.backoff(ctx)
	}
}

// updateUntilDone retries update on errors until ctx ends. It returns exhausted if
// change returned false and unavailable if ctx ended.
func (s *storeSystem) updateUntilDone(ctx context.Context, clientName string, b ledger.BudgetKey, change func(*storedBudget) bool) decision {
	release, ok := s.lock(ctx, lockKey{clientName, b})
	if !ok {
		return unavailable
	}
	defer release()
	client := s.store.Client(clientName)
	for ; ctx.Err() == nil; sleep(ctx, retryInterval) {
		ok, err := s.update(ctx, client, b, change)
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

func (s *storeSystem) reserve(ctx context.Context, c *call) (decision, func(context.Context) bool) {
	client := instanceName(c.domain, c.firstInstance+1)
	decided := s.updateUntilDone(ctx, client, c.budget, func(b *storedBudget) bool {
		b.Used += c.amount
		return b.Used <= b.Paid
	})
	return decided, func(ctx context.Context) bool {
		decided := s.updateUntilDone(ctx, client, c.budget, func(b *storedBudget) bool { b.Used += c.cost - c.amount; return true })
		return decided == admitted
	}
}

func (s *storeSystem) topUp(ctx context.Context, b ledger.BudgetKey, _ string, amount ledger.Tokens) {
	s.updateUntilDone(ctx, "operator", b, func(stored *storedBudget) bool { stored.Paid += amount; return true })
}
