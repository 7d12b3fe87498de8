package operator

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

// indexFormat is the version of the stored form of a budgetIndex.
const indexFormat = 1

// budgetIndex is the record of the names of a workspace's budgets. It is not
// part of the configuration, because 230,000 names do not fit into one value of
// the store.
type budgetIndex struct {
	Format int `cbor:"1,keyasint"`
	// Generation is that of the apply which wrote the names. An apply of a lower
	// generation writes nothing.
	Generation uint64   `cbor:"2,keyasint"`
	Names      []string `cbor:"3,keyasint"` // sorted
}

func indexKey(workspace string) string { return "budget-index/" + workspace }

func decodeIndex(workspace string, data []byte) (budgetIndex, error) {
	if len(data) == 0 {
		return budgetIndex{Format: indexFormat}, nil
	}
	var x budgetIndex
	if err := cbor.Unmarshal(data, &x); err != nil {
		return x, failure.New(failure.Format, "restore the key \""+indexKey(workspace)+"\" from the platform's backup",
			"the index of budgets of workspace %q cannot be decoded: %v", workspace, err)
	}
	if x.Format != indexFormat {
		return x, failure.New(failure.Format, "upgrade this instance to the release that wrote the index",
			"the index of budgets of workspace %q has format %d, this release reads format %d", workspace, x.Format, indexFormat)
	}
	return x, nil
}

// encode fails with failure.Invalid if the names do not fit into one value.
func (x budgetIndex) encode(workspace string) ([]byte, error) {
	data, err := cbor.Marshal(x)
	if err != nil {
		return nil, failure.New(failure.Internal, "report this message to the maintainers", "the index of budgets cannot be encoded: %v", err)
	}
	if len(data) > kvstore.MaxValueBytes {
		return nil, failure.New(failure.Invalid, "spread the budgets over several workspaces, or shorten their names",
			"the index of the %d budgets of workspace %q takes %d bytes, the store accepts %d", len(x.Names), workspace, len(data), kvstore.MaxValueBytes)
	}
	return data, nil
}

// checkBudgets sorts the names of an apply and checks them before anything is
// written.
func checkBudgets(req ApplyRequest) error {
	for workspace, names := range req.Budgets {
		declared := slices.ContainsFunc(req.Document.Workspaces, func(w config.Workspace) bool { return w.Name == workspace })
		slices.Sort(names)
		unique := len(slices.Compact(slices.Clone(names))) == len(names)
		if !declared || !unique || slices.ContainsFunc(names, func(n string) bool { return !config.ValidName(n) }) {
			return failure.New(failure.Invalid, "declare the workspace and name each of its budgets once, with letters, digits, dots, underscores or hyphens",
				"the budgets of workspace %q are not valid", workspace)
		}
		if _, err := (budgetIndex{Format: indexFormat, Names: names}).encode(workspace); err != nil {
			return err
		}
	}
	return nil
}

// storedIndex is an index with the version of its record.
type storedIndex struct {
	budgetIndex
	version uint64
}

type storedIndexes map[string]storedIndex // by workspace

func (s storedIndexes) differFrom(req ApplyRequest) bool {
	for workspace, x := range s {
		if !slices.Equal(x.Names, req.Budgets[workspace]) {
			return true
		}
	}
	return false
}

func (b *StoreBackend) readIndex(ctx context.Context, workspace string) (storedIndex, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	rec, err := b.store.Get(ctx, indexKey(workspace))
	if err != nil {
		return storedIndex{}, failure.New(failure.Unavailable, "repeat the call, or send it to another instance", "the store could not be read: %v", err)
	}
	x, err := decodeIndex(workspace, rec.Value)
	return storedIndex{x, rec.Version}, err
}

// readIndexes reads the indexes of all workspaces of a document, one call each.
func (b *StoreBackend) readIndexes(ctx context.Context, doc *config.Document) (storedIndexes, error) {
	var mu sync.Mutex
	out := storedIndexes{}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(budgetReaders)
	for _, w := range doc.Workspaces {
		g.Go(func() error {
			x, err := b.readIndex(ctx, w.Name)
			mu.Lock()
			defer mu.Unlock()
			out[w.Name] = x
			return err
		})
	}
	return out, g.Wait()
}

// writeIndexes writes the indexes that differ from the declared names and
// returns the faults of those that could not be written.
func (b *StoreBackend) writeIndexes(ctx context.Context, known storedIndexes, req ApplyRequest, generation uint64) []string {
	var mu sync.Mutex
	var faults []string
	var g errgroup.Group
	g.SetLimit(budgetReaders)
	for workspace, x := range known {
		g.Go(func() error {
			if err := b.writeIndex(ctx, workspace, x, budgetIndex{indexFormat, generation, req.Budgets[workspace]}); err != nil {
				mu.Lock()
				defer mu.Unlock()
				faults = append(faults, workspace+": "+err.Error())
			}
			return nil
		})
	}
	_ = g.Wait() // faults are in the result
	slices.Sort(faults)
	return faults
}

// writeIndex swaps until the record shows the names or a newer generation. A
// swap without an answer is settled by the next read.
func (b *StoreBackend) writeIndex(ctx context.Context, workspace string, have storedIndex, want budgetIndex) error {
	var last error
	for i := range maxBudgetAttempts {
		if i > 0 {
			pause(ctx, budgetPause/2+rand.N(budgetPause))
			var err error
			if have, err = b.readIndex(ctx, workspace); err != nil {
				return err
			}
		}
		if have.Generation > want.Generation || slices.Equal(have.Names, want.Names) {
			return nil
		}
		if last = b.swapIndex(ctx, workspace, have.version, want); last == nil {
			return nil
		}
		if k := failure.KindOf(last); k == failure.Unavailable || k == failure.Invalid {
			return last
		}
	}
	return last
}

func (b *StoreBackend) swapIndex(ctx context.Context, workspace string, version uint64, x budgetIndex) error {
	data, err := x.encode(workspace)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err = b.store.CompareAndSwap(ctx, indexKey(workspace), version, data)
	return err
}
