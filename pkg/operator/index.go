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

// indexFormat is the version of the stored format of a budgetIndex.
const indexFormat = 1

// budgetIndex is the stored list of the budgets of a workspace. It is not part of
// the configuration, because the 230,000 names of a fleet do not fit into one
// value of the store.
type budgetIndex struct {
	Format int `cbor:"1,keyasint"`
	// Generation is the generation of the apply that wrote the names. An apply of
	// a lower generation does not overwrite them.
	Generation uint64   `cbor:"2,keyasint"`
	Names      []string `cbor:"3,keyasint"` // sorted
}

// indexKey returns the key of a workspace's index in the store.
func indexKey(workspace string) string { return "budget-index/" + workspace }

// decodeIndex decodes a stored index. Empty data yields an empty index. It fails
// with failure.Format if data cannot be decoded or has another format.
func decodeIndex(workspace string, data []byte) (budgetIndex, error) {
	if len(data) == 0 {
		return budgetIndex{Format: indexFormat}, nil
	}
	var index budgetIndex
	if err := cbor.Unmarshal(data, &index); err != nil {
		return index, failure.New(failure.Format, "restore the key \""+indexKey(workspace)+"\" from the platform's backup",
			"the index of budgets of workspace %q cannot be decoded: %v", workspace, err)
	}
	if index.Format != indexFormat {
		return index, failure.New(failure.Format, "upgrade this instance to the release that wrote the index",
			"the index of budgets of workspace %q has format %d, this release reads format %d", workspace, index.Format, indexFormat)
	}
	return index, nil
}

// encode returns the index in its stored form, CBOR. It fails with failure.Invalid
// if the names do not fit into one value of the store.
func (index budgetIndex) encode(workspace string) ([]byte, error) {
	data, err := cbor.Marshal(index)
	if err != nil {
		return nil, failure.New(failure.Internal, "report this message to the maintainers", "the index of budgets cannot be encoded: %v", err)
	}
	if len(data) > kvstore.MaxValueBytes {
		return nil, failure.New(failure.Invalid, "spread the budgets over several workspaces, or shorten their names",
			"the index of the %d budgets of workspace %q takes %d bytes, the store accepts %d", len(index.Names), workspace, len(data), kvstore.MaxValueBytes)
	}
	return data, nil
}

// sortAndCheckBudgets sorts the budget names of an apply in place and validates
// them, so that an invalid apply writes nothing.
func sortAndCheckBudgets(req ApplyRequest) error {
	for workspace, names := range req.Budgets {
		declared := slices.ContainsFunc(req.Document.Workspaces, func(w config.Workspace) bool { return w.Name == workspace })
		slices.Sort(names)
		unique := len(slices.Compact(slices.Clone(names))) == len(names)
		if !declared || !unique || slices.ContainsFunc(names, func(n string) bool { return !config.IsValidName(n) }) {
			return failure.New(failure.Invalid, "declare the workspace and name each of its budgets once, with letters, digits, dots, underscores or hyphens",
				"the budgets of workspace %q are not valid", workspace)
		}
		if _, err := (budgetIndex{Format: indexFormat, Names: names}).encode(workspace); err != nil {
			return err
		}
	}
	return nil
}

// storedIndex is an index and the version of its record in the store.
type storedIndex struct {
	budgetIndex
	version uint64
}

// storedIndexes holds the stored indexes by workspace.
type storedIndexes map[string]storedIndex

// differsFrom reports whether a workspace has other budgets than the apply
// declares.
func (s storedIndexes) differsFrom(req ApplyRequest) bool {
	for workspace, index := range s {
		if !slices.Equal(index.Names, req.Budgets[workspace]) {
			return true
		}
	}
	return false
}

// readIndex reads the index of a workspace.
func (b *StoreBackend) readIndex(ctx context.Context, workspace string) (storedIndex, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	rec, err := b.store.Get(ctx, indexKey(workspace))
	if err != nil {
		return storedIndex{}, failure.New(failure.Unavailable, "repeat the call, or send it to another instance", "the store could not be read: %v", err)
	}
	index, err := decodeIndex(workspace, rec.Value)
	return storedIndex{index, rec.Version}, err
}

// readIndexes reads the indexes of all workspaces of a document, with one store
// call for each workspace.
func (b *StoreBackend) readIndexes(ctx context.Context, doc *config.Document) (storedIndexes, error) {
	var mu sync.Mutex
	indexes := storedIndexes{}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentStoreCalls)
	for _, w := range doc.Workspaces {
		g.Go(func() error {
			index, err := b.readIndex(ctx, w.Name)
			mu.Lock()
			defer mu.Unlock()
			indexes[w.Name] = index
			return err
		})
	}
	return indexes, g.Wait()
}

// writeIndexes writes the indexes that differ from the declared names. It returns
// one message for each index that could not be written.
func (b *StoreBackend) writeIndexes(ctx context.Context, indexes storedIndexes, req ApplyRequest, generation uint64) []string {
	var mu sync.Mutex
	var faults []string
	var g errgroup.Group
	g.SetLimit(maxConcurrentStoreCalls)
	for workspace, index := range indexes {
		g.Go(func() error {
			if err := b.writeIndex(ctx, workspace, index, budgetIndex{indexFormat, generation, req.Budgets[workspace]}); err != nil {
				mu.Lock()
				defer mu.Unlock()
				faults = append(faults, workspace+": "+err.Error())
			}
			return nil
		})
	}
	_ = g.Wait() // errors are collected in faults
	slices.Sort(faults)
	return faults
}

// writeIndex swaps the index until it has the desired names or a newer generation.
// If a swap gets no answer, the read of the next attempt shows its result.
func (b *StoreBackend) writeIndex(ctx context.Context, workspace string, stored storedIndex, desired budgetIndex) error {
	var lastErr error
	for i := range maxSwapAttempts {
		if i > 0 {
			sleep(ctx, swapRetryDelay/2+rand.N(swapRetryDelay))
			var err error
			if stored, err = b.readIndex(ctx, workspace); err != nil {
				return err
			}
		}
		if stored.Generation > desired.Generation || slices.Equal(stored.Names, desired.Names) {
			return nil
		}
		if lastErr = b.swapIndex(ctx, workspace, stored.version, desired); lastErr == nil {
			return nil
		}
		if k := failure.KindOf(lastErr); k == failure.Unavailable || k == failure.Invalid {
			return lastErr
		}
	}
	return lastErr
}

// swapIndex writes an index if the store still has the given version.
func (b *StoreBackend) swapIndex(ctx context.Context, workspace string, version uint64, index budgetIndex) error {
	data, err := index.encode(workspace)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	_, err = b.store.CompareAndSwap(ctx, indexKey(workspace), version, data)
	return err
}
