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
	// MaxBudgetsPerQuery bounds the reads of one query, those of indexes
	// included: 500 reads are a quarter of what the store sustains in a second.
	MaxBudgetsPerQuery = 500
	// budgetReaders bounds concurrent calls of the store for one request.
	budgetReaders = 8
	// maxBudgetAttempts bounds the swaps of one command. Shard owners of all
	// domains write the record of a busy budget too.
	maxBudgetAttempts = 10
	// budgetPause spreads the attempts.
	budgetPause = 20 * time.Millisecond
	// storeCallTimeout bounds one call of the store.
	storeCallTimeout = 2 * time.Second
)

// StoreBackend implements the queries and commands that need only the platform
// store and the configuration. It is safe for concurrent use.
type StoreBackend struct {
	store   kvstore.Store
	replica *config.Replica
}

// NewStoreBackend returns a backend on the given store and configuration.
func NewStoreBackend(store kvstore.Store, replica *config.Replica) *StoreBackend {
	return &StoreBackend{store, replica}
}

// readAll reads the records of keys. A record of an unknown format gives a nil
// entry and a fault; any other error ends the query.
func (b *StoreBackend) readAll(ctx context.Context, keys []ledger.BudgetKey) ([]*ledger.BudgetRecord, []error, error) {
	records, faults := make([]*ledger.BudgetRecord, len(keys)), make([]error, len(keys))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(budgetReaders)
	for i, k := range keys {
		g.Go(func() error {
			rec, _, err := b.read(ctx, k)
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

func (b *StoreBackend) read(ctx context.Context, k ledger.BudgetKey) (*ledger.BudgetRecord, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	rec, err := b.store.Get(ctx, k.StoreKey())
	if err != nil {
		return nil, 0, failure.New(failure.Unavailable, "repeat the call, or send it to another instance", "the store could not be read: %v", err)
	}
	budget, err := ledger.DecodeBudget(rec.Value)
	return budget, rec.Version, err
}

func (b *StoreBackend) swap(ctx context.Context, k ledger.BudgetKey, version uint64, record *ledger.BudgetRecord) error {
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
	mutate  func(*ledger.BudgetRecord) (bool, error) // false means that there is nothing to write
	// pending is true when a swap on version got no answer. It can take effect
	// only while the record still has that version.
	pending bool
	version uint64
}

// update reads, changes and swaps until the command is in the record. A swap
// without an answer is settled by the next read.
func (b *StoreBackend) update(ctx context.Context, c *budgetChange) (*ledger.BudgetRecord, bool, error) {
	for i := range maxBudgetAttempts {
		if i > 0 {
			pause(ctx, budgetPause/2+rand.N(budgetPause))
		}
		record, changed, done, err := b.attempt(ctx, c)
		if err != nil {
			return nil, false, c.settled(err)
		}
		if done {
			return record, changed, nil
		}
	}
	return nil, false, c.settled(failure.New(failure.Conflict, "repeat it with the same command id",
		"other writers of budget %s came first in %d attempts", c.budget, maxBudgetAttempts))
}

func (b *StoreBackend) attempt(ctx context.Context, c *budgetChange) (record *ledger.BudgetRecord, changed, done bool, err error) {
	record, version, err := b.read(ctx, c.budget)
	if err != nil {
		return nil, false, false, err
	}
	wrote := c.pending
	c.pending = c.pending && version <= c.version
	if i := slices.IndexFunc(record.Applied, func(a ledger.AppliedCommand) bool { return a.Command == c.command }); i >= 0 {
		c.pending = false
		return record, wrote, true, c.sameAmount(record.Applied[i])
	}
	if write, err := c.mutate(record); err != nil || !write {
		return record, false, err == nil, err
	}
	err = b.swap(ctx, c.budget, version, record)
	switch failure.KindOf(err) {
	case "":
		return record, true, true, nil
	case failure.Conflict:
		return nil, false, false, nil
	case failure.Unavailable, failure.Invalid, failure.Format:
		return nil, false, false, err
	}
	c.pending, c.version = true, version
	return nil, false, false, nil
}

// sameAmount refuses a command id that was used for another amount. Opening
// amounts are exempt: only the first one counts.
func (c *budgetChange) sameAmount(a ledger.AppliedCommand) error {
	if a.Amount == c.amount || reserved(c.command) {
		return nil
	}
	return failure.New(failure.Conflict, "choose another command id", "command %s changed budget %s by %d tokens already, not by %d",
		c.command, c.budget, a.Amount, c.amount)
}

func (c *budgetChange) settled(err error) error {
	if !c.pending {
		return err
	}
	return failure.New(failure.Uncertain, "repeat it with the same command id",
		"command %s may have changed budget %s; the store did not answer: %v", c.command, c.budget, err)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func spendingOf(k ledger.BudgetKey, r *ledger.BudgetRecord) BudgetStatus {
	s := BudgetStatus{Budget: k, Paid: r.Paid, Charged: r.Charged(), Unassigned: r.Unassigned(), Grants: r.Grants}
	for _, g := range r.Grants {
		s.Granted += g.Granted
	}
	for _, st := range r.Stranded {
		s.Stranded += st.Amount
		s.StrandedCharged += st.Charged
	}
	return s
}
