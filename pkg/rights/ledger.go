package rights

import (
	"context"
	"hash/fnv"
	"maps"
	"strconv"
	"strings"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// Shards is the number of records over which workspaces are spread. With the
// holder's own record a transaction stays below the 32 entries that the store
// takes.
const Shards = 12

const (
	shardPrefix  = "rights/shard/"
	holderPrefix = "rights/holder/"
)

// shardOf returns the record of a workspace.
func shardOf(workspace string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(workspace)) // never fails
	return int(h.Sum32() % Shards)
}

func shardKey(i int) string { return shardPrefix + strconv.Itoa(i) }

// shardRecord is the stored form of one shard, by workspace.
type shardRecord struct {
	Granted map[string]Tokens `cbor:"1,keyasint"`
	// Spent is what holders have reported; it lags behind and only informs the
	// size of holdings.
	Spent map[string]Tokens `cbor:"2,keyasint"`
}

// holderRecord is the stored form of what one instance took last.
type holderRecord struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

// shard is the latest known state of a record.
type shard struct {
	revision uint64
	shardRecord
}

// Change is what a transaction changes for one workspace.
type Change struct {
	// Granted is taken, or given back if it is negative.
	Granted Tokens
	// Spent is reported for the first time.
	Spent Tokens
}

// transaction is one change of the ledger.
type transaction struct {
	sequence uint64
	changes  map[string]Change // by workspace
	call     kvstore.Transaction
}

// Store is what a Ledger needs of the store.
type Store interface {
	kvstore.Transactor
	kvstore.Ranger
}

// Ledger changes the granted sums in the store. One goroutine uses it.
type Ledger struct {
	store    Store
	self     string // key of the own record
	shards   [Shards]shard
	revision uint64 // of the own record
	sequence uint64
	pending  *transaction // without a known result
}

// NewLedger returns the ledger of one incarnation of an instance.
func NewLedger(store Store, incarnation string) *Ledger {
	return &Ledger{store: store, self: holderPrefix + incarnation}
}

// Granted returns the granted sum of a workspace as of the latest contact.
func (l *Ledger) Granted(workspace string) Tokens {
	return l.shards[shardOf(workspace)].Granted[workspace]
}

// Spent returns the reported consumption of a workspace as of the latest contact.
func (l *Ledger) Spent(workspace string) Tokens {
	return l.shards[shardOf(workspace)].Spent[workspace]
}

// Refresh reads the sums. The cheap read may be out of date, which at worst makes
// the next transaction lose.
func (l *Ledger) Refresh(ctx context.Context) error {
	items, _, err := l.store.Range(ctx, shardPrefix, true)
	if err != nil {
		return err
	}
	for _, it := range items {
		i, err := strconv.Atoi(strings.TrimPrefix(it.Key, shardPrefix))
		if err != nil || i < 0 || i >= Shards || it.Revision <= l.shards[i].revision {
			continue
		}
		var rec shardRecord
		if err := peer.Unmarshal(it.Value, &rec); err != nil {
			return err
		}
		l.shards[i] = shard{revision: it.Revision, shardRecord: rec}
	}
	return nil
}

// ResolvePending finds the result of a transaction without an answer. It returns the
// changes that took effect, or nil when none did; undone then holds the changes
// that never will. An error leaves the result open.
func (l *Ledger) ResolvePending(ctx context.Context) (applied, undone map[string]Change, err error) {
	if l.pending == nil {
		return nil, nil, nil
	}
	return l.send(ctx, l.pending)
}

// Apply changes the granted sums. It returns like Settle; a change that lost
// against another instance is undone and the ledger knows the newer sums.
func (l *Ledger) Apply(ctx context.Context, changes map[string]Change) (applied, undone map[string]Change, err error) {
	if l.pending != nil {
		return nil, nil, failure.New(failure.Internal, "settle the open transaction first", "a transaction has no result yet")
	}
	t, err := l.build(changes)
	if err != nil {
		return nil, nil, err
	}
	return l.send(ctx, t)
}

func (l *Ledger) build(changes map[string]Change) (*transaction, error) {
	changed := map[int]shardRecord{}
	for w, c := range changes {
		i := shardOf(w)
		rec, ok := changed[i]
		if !ok {
			rec = shardRecord{Granted: cloned(l.shards[i].Granted), Spent: cloned(l.shards[i].Spent)}
			changed[i] = rec
		}
		rec.Granted[w] += c.Granted
		rec.Spent[w] += c.Spent
	}
	l.sequence++
	t := &transaction{sequence: l.sequence, changes: changes}
	own, err := peer.Marshal(holderRecord{Sequence: l.sequence})
	if err != nil {
		return nil, err
	}
	t.call.Expect = append(t.call.Expect, kvstore.Expectation{Key: l.self, Revision: l.revision})
	t.call.Write = append(t.call.Write, kvstore.Write{Key: l.self, Value: own})
	for i, rec := range changed {
		value, err := peer.Marshal(rec)
		if err != nil {
			return nil, err
		}
		t.call.Expect = append(t.call.Expect, kvstore.Expectation{Key: shardKey(i), Revision: l.shards[i].revision})
		t.call.Write = append(t.call.Write, kvstore.Write{Key: shardKey(i), Value: value})
	}
	return t, nil
}

func cloned(m map[string]Tokens) map[string]Tokens {
	if m == nil {
		return map[string]Tokens{}
	}
	return maps.Clone(m)
}

// send makes one attempt. The condition on the own record makes sure that of all
// attempts of a transaction at most one takes effect.
func (l *Ledger) send(ctx context.Context, t *transaction) (applied, undone map[string]Change, err error) {
	revision, current, err := l.store.Commit(ctx, t.call)
	switch {
	case err == nil:
		l.pending = nil
		return t.changes, nil, l.adopt(t, revision)
	case failure.Is(err, failure.Conflict):
		was, learnErr := l.learn(t, current)
		if learnErr != nil {
			l.pending = t
			return nil, nil, learnErr
		}
		l.pending = nil
		if was {
			return t.changes, nil, nil
		}
		return nil, t.changes, nil
	case failure.Is(err, failure.Unavailable) && l.pending == nil:
		return nil, t.changes, err // it was not done
	default:
		l.pending = t
		return nil, nil, err
	}
}

// adopt takes over what a successful transaction wrote.
func (l *Ledger) adopt(t *transaction, revision uint64) error {
	items := make([]kvstore.Item, 0, len(t.call.Write))
	for _, w := range t.call.Write {
		items = append(items, kvstore.Item{Key: w.Key, Value: w.Value, Revision: revision})
	}
	_, err := l.learn(t, items)
	return err
}

// learn takes over the state of the records of a transaction and reports whether
// the own record shows that it took effect. A record that is not among the items
// does not exist.
func (l *Ledger) learn(t *transaction, items []kvstore.Item) (bool, error) {
	byKey := make(map[string]kvstore.Item, len(items))
	for _, it := range items {
		byKey[it.Key] = it
	}
	var own holderRecord
	if it := byKey[l.self]; it.Revision > 0 {
		if err := peer.Unmarshal(it.Value, &own); err != nil {
			return false, err
		}
	}
	l.revision = byKey[l.self].Revision
	for _, e := range t.call.Expect[1:] {
		i, err := strconv.Atoi(e.Key[len(shardPrefix):])
		if err != nil {
			return false, failure.New(failure.Internal, "report this message to the maintainers", "shard key %q: %v", e.Key, err)
		}
		var rec shardRecord
		if it := byKey[e.Key]; it.Revision > 0 {
			if err := peer.Unmarshal(it.Value, &rec); err != nil {
				return false, err
			}
		}
		l.shards[i] = shard{revision: byKey[e.Key].Revision, shardRecord: rec}
	}
	return own.Sequence == t.sequence, nil
}
