package rights

import (
	"context"
	"hash/fnv"
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// Shards is the number of shard records over which workspaces are spread. A
// transaction on all of them and the holder record stays below the store's limit of
// 32 entries.
const Shards = 12

const (
	shardPrefix  = "rights/shard/"
	holderPrefix = "rights/holder/"
)

// shardOf returns the number of the shard of a workspace, from 0 to Shards-1.
func shardOf(workspace string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(workspace)) // never fails
	return int(h.Sum32() % Shards)
}

func shardKey(i int) string { return shardPrefix + strconv.Itoa(i) }

// shardRecord is the stored form of one shard. Its maps are keyed by workspace.
type shardRecord struct {
	// Granted is the sum of the tokens that all instances have taken.
	Granted sums `cbor:"1,keyasint"`
	// Spent is the sum that instances have reported. It lags behind the real
	// consumption and is used only to size holdings.
	Spent sums `cbor:"2,keyasint"`
	// Bases are the states of former eras from which the record continues, oldest first.
	Bases []base `cbor:"3,keyasint,omitempty"`
}

// holderRecord is the stored form of the latest transaction of one instance.
type holderRecord struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

// ShardState is a known state of a shard record. Its maps must not be modified.
type ShardState struct {
	Revision uint64
	shardRecord
}

// Change is the change of one workspace's sums in a transaction.
type Change struct {
	// Granted is added to the granted sum. It is negative if rights are returned.
	Granted Delta
	// Spent is added to the spent sum.
	Spent Tokens
}

// transaction is one change of the ledger, which may take several attempts.
type transaction struct {
	sequence uint64
	changes  map[string]Change // by workspace
	request  kvstore.Transaction
}

// Store is the part of the key-value store's interface that a Ledger uses.
type Store interface {
	kvstore.Transactor
	kvstore.RangeReader
}

// Ledger changes the granted and spent sums in the store. Only Known and Witness are safe
// for concurrent use.
type Ledger struct {
	store          Store
	holderKey      string       // key of the holder record of this instance
	holderRevision uint64       // revision of that holder record
	sequence       uint64       // of the latest transaction
	pending        *transaction // transaction without a known result, or nil
	era            uint64       // of the store, as entered by EnterEra
	seenEra        uint64       // latest era of an answer
	fence          uint64       // revision of the fence record of era, 0 for a store without eras
	enteredAt      time.Time    // when era was entered

	mu        sync.Mutex         // held to change the fields below and in Known
	shards    [Shards]ShardState // of era, as last read or written
	witnessed [Shards]ShardState // as last reported by other instances
}

// NewLedger returns the ledger of one incarnation of an instance.
func NewLedger(store Store, incarnation string) *Ledger {
	return &Ledger{store: store, holderKey: holderPrefix + incarnation}
}

// Granted returns the granted sum of a workspace as last read from the store.
func (l *Ledger) Granted(workspace string) Tokens {
	return l.shards[shardOf(workspace)].Granted[workspace]
}

// Spent returns the reported consumption of a workspace as last read from the store.
func (l *Ledger) Spent(workspace string) Tokens {
	return l.shards[shardOf(workspace)].Spent[workspace]
}

// Refresh reads the sums from the store. It uses a cheap read that may be stale,
// which at worst makes the next transaction conflict. It fails if the store has returned
// from an older copy; see NewEra.
func (l *Ledger) Refresh(ctx context.Context) error {
	items, at, err := l.store.Range(ctx, shardPrefix, time.Since(l.enteredAt) > staleReadPause)
	if err != nil {
		return err
	}
	if l.seenEra = max(l.seenEra, kvstore.EraOf(at)); l.seenEra != l.era || kvstore.EraOf(at) != l.era {
		return errEraChanged
	}
	read, err := decodeShards(items)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shards = latest(l.shards, read)
	return nil
}

// ResolvePending finds the result of a transaction that got no answer, by repeating
// it. It returns the changes as applied if they took effect, as rejected if they never
// will, and nil maps if no transaction is pending. If it returns an error and no
// changes, the transaction stays pending.
func (l *Ledger) ResolvePending(ctx context.Context) (applied, rejected map[string]Change, err error) {
	if l.pending == nil {
		return nil, nil, nil
	}
	return l.commit(ctx, l.pending)
}

// Apply changes the sums in the store; changes is keyed by workspace. It returns like
// ResolvePending. If the changes are rejected because of a conflict with another
// instance, the ledger has read the newer sums. Apply fails with failure.Internal
// while another transaction is pending.
func (l *Ledger) Apply(ctx context.Context, changes map[string]Change) (applied, rejected map[string]Change, err error) {
	if l.pending != nil {
		return nil, nil, failure.New(failure.Internal, "resolve the pending transaction first", "transaction %d is still pending", l.pending.sequence)
	}
	t, err := l.buildTransaction(changes)
	if err != nil {
		return nil, nil, err
	}
	return l.commit(ctx, t)
}

// buildTransaction returns a transaction that is conditional on the known revisions of
// the holder record, of the shard records that changes affects and of the fence record.
func (l *Ledger) buildTransaction(changes map[string]Change) (*transaction, error) {
	changed := map[int]shardRecord{}
	for w, c := range changes {
		i := shardOf(w)
		rec, ok := changed[i]
		if !ok {
			rec = shardRecord{Granted: cloneOrEmpty(l.shards[i].Granted), Spent: cloneOrEmpty(l.shards[i].Spent), Bases: l.shards[i].Bases}
			changed[i] = rec
		}
		rec.Granted[w] = rec.Granted[w].Plus(c.Granted.Increase()).Excess(c.Granted.Decrease())
		rec.Spent[w] = rec.Spent[w].Plus(c.Spent)
	}
	l.sequence++
	t := &transaction{sequence: l.sequence, changes: changes}
	holder, err := peer.Marshal(holderRecord{Sequence: l.sequence})
	if err != nil {
		return nil, err
	}
	t.request.Expect = append(t.request.Expect, kvstore.Expectation{Key: l.holderKey, Revision: l.holderRevision})
	t.request.Write = append(t.request.Write, kvstore.Write{Key: l.holderKey, Value: holder})
	for i, rec := range changed {
		value, err := peer.Marshal(rec)
		if err != nil {
			return nil, err
		}
		t.request.Expect = append(t.request.Expect, kvstore.Expectation{Key: shardKey(i), Revision: l.shards[i].Revision})
		t.request.Write = append(t.request.Write, kvstore.Write{Key: shardKey(i), Value: value})
	}
	if l.fence > 0 {
		t.request.Expect = append(t.request.Expect, kvstore.Expectation{Key: fenceKey(l.era), Revision: l.fence})
	}
	return t, nil
}

// cloneOrEmpty returns a copy of m that is never nil.
func cloneOrEmpty(m sums) sums {
	if m == nil {
		return sums{}
	}
	return maps.Clone(m)
}

// commit makes one attempt of a transaction. The condition on the holder record
// ensures that at most one of all attempts takes effect.
func (l *Ledger) commit(ctx context.Context, t *transaction) (applied, rejected map[string]Change, err error) {
	revision, current, err := l.store.Commit(ctx, t.request)
	switch {
	case err == nil:
		l.pending = nil
		return t.changes, nil, l.applyWrites(t, revision)
	case failure.Is(err, failure.Conflict):
		committed, updateErr := l.update(t, current)
		if errors.Is(updateErr, errEraChanged) && l.pending == nil {
			return nil, t.changes, updateErr // the only attempt had no effect
		}
		if updateErr != nil {
			l.pending = t
			return nil, nil, updateErr
		}
		l.pending = nil
		if committed {
			return t.changes, nil, nil
		}
		return nil, t.changes, nil
	case failure.Is(err, failure.Unavailable) && l.pending == nil:
		return nil, t.changes, err // the only attempt had no effect
	default:
		l.pending = t
		return nil, nil, err
	}
}

// applyWrites updates the known state to what a successful transaction wrote.
func (l *Ledger) applyWrites(t *transaction, revision uint64) error {
	items := make([]kvstore.Item, 0, len(t.request.Write))
	for _, w := range t.request.Write {
		items = append(items, kvstore.Item{Key: w.Key, Value: w.Value, Revision: revision})
	}
	if l.fence > 0 {
		items = append(items, kvstore.Item{Key: fenceKey(l.era), Revision: l.fence})
	}
	_, err := l.update(t, items)
	return err
}

// update sets the known state of the records of a transaction to items and reports
// whether the holder record shows that the transaction took effect. A record that is
// not among the items does not exist. update fails if the store has returned from an older
// copy.
func (l *Ledger) update(t *transaction, items []kvstore.Item) (bool, error) {
	byKey := make(map[string]kvstore.Item, len(items))
	for _, it := range items {
		byKey[it.Key] = it
		l.seenEra = max(l.seenEra, kvstore.EraOf(it.Revision))
	}
	if l.seenEra != l.era || byKey[fenceKey(l.era)].Revision != l.fence {
		return false, errEraChanged
	}
	var holder holderRecord
	if it := byKey[l.holderKey]; it.Revision > 0 {
		if err := peer.Unmarshal(it.Value, &holder); err != nil {
			return false, err
		}
	}
	read, err := decodeShards(items)
	if err != nil {
		return false, err
	}
	l.holderRevision = byKey[l.holderKey].Revision
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range t.request.Write {
		if w.Key == l.holderKey {
			continue
		}
		i, err := strconv.Atoi(strings.TrimPrefix(w.Key, shardPrefix))
		if err != nil {
			return false, failure.New(failure.Internal, "report this message to the maintainers", "parse shard key %q: %v", w.Key, err)
		}
		l.shards[i] = read[i]
	}
	return holder.Sequence == t.sequence, nil
}
