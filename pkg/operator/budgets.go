package operator

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

const (
	// MaxBudgetsPerQuery limits the store reads of one query, including the reads
	// of budget indexes. 500 reads are a quarter of what the store sustains in a
	// second.
	MaxBudgetsPerQuery = 500
	// maxConcurrentStoreCalls limits the concurrent store calls of one request.
	maxConcurrentStoreCalls = 8
	// maxSwapAttempts limits the attempts to swap one record. A command competes
	// with the shard owners of all domains, which also write the record of a busy
	// budget.
	maxSwapAttempts = 10
	// swapRetryDelay is the mean delay between two swap attempts. Its jitter
	// separates concurrent writers.
	swapRetryDelay = 20 * time.Millisecond
	// storeCallTimeout limits one call to the store.
	storeCallTimeout = 2 * time.Second
)

// StoreBackend implements the queries and commands that need only the platform
// store and the configuration. It is safe for concurrent use.
type StoreBackend struct {
	store   kvstore.Store
	replica *config.Replica
}

// NewStoreBackend returns a backend that reads and writes budgets in store and
// changes the configuration through replica.
func NewStoreBackend(store kvstore.Store, replica *config.Replica) *StoreBackend {
	return &StoreBackend{store, replica}
}

// readBudgets reads the records of keys. For a record that cannot be decoded it
// returns a nil record and an error in the second slice, at the index of the key.
// Any other error ends the read.
func (b *StoreBackend) readBudgets(ctx context.Context, keys []ledger.BudgetKey) ([]*ledger.BudgetRecord, []error, error) {
	records, faults := make([]*ledger.BudgetRecord, len(keys)), make([]error, len(keys))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentStoreCalls)
	for i, k := range keys {
		g.Go(func() error {
			rec, _, err := b.readBudget(ctx, k)
			if failure.Is(err, failure.Format) {
				faults[i] = err
				return nil
			}
			records[i] = rec
			return err
		})
	}
	return records, faults, g.Wait()
}

// readBudget returns the record of a budget and its version in the store.
func (b *StoreBackend) readBudget(ctx context.Context, k ledger.BudgetKey) (*ledger.BudgetRecord, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	rec, err := b.store.Get(ctx, k.StoreKey())
	if err != nil {
		return nil, 0, failure.New(failure.Unavailable, "repeat the call, or send it to another instance", "the store could not be read: %v", err)
	}
	budget, err := ledger.DecodeBudget(rec.Value)
	return budget, rec.Version, err
}

// swapBudget writes the record of a budget if the store still has the given
// version.
func (b *StoreBackend) swapBudget(ctx context.Context, k ledger.BudgetKey, version uint64, record *ledger.BudgetRecord) error {
	data, err := record.Encode()
	if err != nil {
		return failure.New(failure.Internal, "report this message to the maintainers", "the budget record cannot be encoded: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err = b.store.CompareAndSwap(ctx, k.StoreKey(), version, data)
	return err
}

// budgetChange is a change of one budget under a command id.
type budgetChange struct {
	budget  ledger.BudgetKey
	command string
	amount  ledger.Tokens
	mutate  func(*ledger.BudgetRecord) (bool, error) // reports whether the record must be written
	// pending is true when a swap that expects pendingVersion got no answer. It
	// can take effect only while the record still has that version.
	pending        bool
	pendingVersion uint64
}

// updateBudget applies a change to the record of a budget and reports whether the
// record changed. It fails with failure.Uncertain if a swap may still take effect.
func (b *StoreBackend) updateBudget(ctx context.Context, c *budgetChange) (*ledger.BudgetRecord, bool, error) {
	for i := range maxSwapAttempts {
		if i > 0 {
			sleep(ctx, swapRetryDelay/2+rand.N(swapRetryDelay))
		}
		record, changed, done, err := b.attemptUpdate(ctx, c)
		if err != nil {
			return nil, false, c.resolveError(err)
		}
		if done {
			return record, changed, nil
		}
	}
	return nil, false, c.resolveError(failure.New(failure.Conflict, "repeat it with the same command id",
		"other writers of budget %s came first in each of %d attempts", c.budget, maxSwapAttempts))
}

// attemptUpdate reads the record and swaps it once. It reports whether the record
// changed and whether the change is done. If a swap gets no answer, the read of
// the next attempt shows its result.
func (b *StoreBackend) attemptUpdate(ctx context.Context, c *budgetChange) (record *ledger.BudgetRecord, changed, done bool, err error) {
	record, version, err := b.readBudget(ctx, c.budget)
	if err != nil {
		return nil, false, false, err
	}
	hadPending := c.pending
	c.pending = c.pending && version <= c.pendingVersion
	if i := slices.IndexFunc(record.Applied, func(a ledger.AppliedCommand) bool { return a.Command == c.command }); i >= 0 {
		c.pending = false
		return record, hadPending, true, c.checkAmount(record.Applied[i])
	}
	if write, err := c.mutate(record); err != nil || !write {
		return record, false, err == nil, err
	}
	err = b.swapBudget(ctx, c.budget, version, record)
	switch failure.KindOf(err) {
	case "":
		return record, true, true, nil
	case failure.Conflict:
		return nil, false, false, nil
	case failure.Unavailable, failure.Invalid, failure.Format:
		return nil, false, false, err
	}
	c.pending, c.pendingVersion = true, version
	return nil, false, false, nil
}

// checkAmount fails with failure.Conflict if the command id was applied with
// another amount. Opening amounts are exempt, because a budget gets only its first
// one.
func (c *budgetChange) checkAmount(a ledger.AppliedCommand) error {
	if a.Amount == c.amount || isReservedCommandID(c.command) {
		return nil
	}
	return failure.New(failure.Conflict, "choose another command id", "command %s changed budget %s by %d tokens already, not by %d",
		c.command, c.budget, a.Amount, c.amount)
}

// resolveError returns err, or failure.Uncertain if a swap may still take effect.
func (c *budgetChange) resolveError(err error) error {
	if !c.pending {
		return err
	}
	return failure.New(failure.Uncertain, "repeat it with the same command id",
		"command %s may have changed budget %s; the store did not answer: %v", c.command, c.budget, err)
}

// sleep returns after d or when ctx is done, whichever comes first.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// newBudgetStatus summarizes a budget record.
func newBudgetStatus(k ledger.BudgetKey, r *ledger.BudgetRecord) BudgetStatus {
	s := BudgetStatus{Budget: k, Paid: r.Paid, Charged: r.Charged(), Unassigned: r.Unassigned(), Grants: r.Grants}
	for _, g := range r.Grants {
		s.Granted += g.Granted
	}
	for _, stranded := range r.Stranded {
		s.Stranded += stranded.Amount
		s.StrandedCharged += stranded.Charged
	}
	return s
}
