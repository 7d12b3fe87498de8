package rights

import (
	"context"
	"hash/fnv"
	"maps"
	"strconv"

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

// shardRecord is the stored form of one shard.
type shardRecord struct {
	Granted map[string]Tokens `cbor:"1,keyasint"`
}

// holderRecord is the stored form of what one instance took last.
type holderRecord struct {
	Sequence uint64 `cbor:"1,keyasint"`
}

// shard is the latest known state of a record.
type shard struct {
	revision uint64
	granted  map[string]Tokens
}

// transaction is one change of the ledger.
type transaction struct {
	sequence uint64
	deltas   map[string]Tokens // by workspace; negative ones are given back
	call     kvstore.Transaction
}

// Ledger changes the granted sums in the store. One goroutine uses it.
type Ledger struct {
	store    kvstore.Transactor
	self     string // key of the own record
	shards   [Shards]shard
	revision uint64 // of the own record
	sequence uint64
	pending  *transaction // without a known result
}

// NewLedger returns the ledger of one incarnation of an instance.
func NewLedger(store kvstore.Transactor, incarnation string) *Ledger {
	return &Ledger{store: store, self: holderPrefix + incarnation}
}

// Granted returns the granted sum of a workspace as of the latest contact.
func (l *Ledger) Granted(workspace string) Tokens {
	return l.shards[shardOf(workspace)].granted[workspace]
}

// Settle finds the result of a transaction without an answer. It returns the
// changes that took effect, or nil when none did; undone then holds the changes
// that never will. An error leaves the result open.
func (l *Ledger) Settle(ctx context.Context) (applied, undone map[string]Tokens, err error) {
	if l.pending == nil {
		return nil, nil, nil
	}
	return l.send(ctx, l.pending)
}

// Apply changes the granted sums. It returns like Settle; a change that lost
// against another instance is undone and the ledger knows the newer sums.
func (l *Ledger) Apply(ctx context.Context, deltas map[string]Tokens) (applied, undone map[string]Tokens, err error) {
	if l.pending != nil {
		return nil, nil, failure.New(failure.Internal, "settle the open transaction first", "a transaction has no result yet")
	}
	t, err := l.build(deltas)
	if err != nil {
		return nil, nil, err
	}
	return l.send(ctx, t)
}

func (l *Ledger) build(deltas map[string]Tokens) (*transaction, error) {
	changed := map[int]map[string]Tokens{}
	for w, d := range deltas {
		i := shardOf(w)
		if changed[i] == nil {
			changed[i] = maps.Clone(l.shards[i].granted)
			if changed[i] == nil {
				changed[i] = map[string]Tokens{}
			}
		}
		changed[i][w] += d
	}
	l.sequence++
	t := &transaction{sequence: l.sequence, deltas: deltas}
	own, err := peer.Marshal(holderRecord{Sequence: l.sequence})
	if err != nil {
		return nil, err
	}
	t.call.Expect = append(t.call.Expect, kvstore.Expectation{Key: l.self, Revision: l.revision})
	t.call.Write = append(t.call.Write, kvstore.Write{Key: l.self, Value: own})
	for i, granted := range changed {
		value, err := peer.Marshal(shardRecord{Granted: granted})
		if err != nil {
			return nil, err
		}
		t.call.Expect = append(t.call.Expect, kvstore.Expectation{Key: shardKey(i), Revision: l.shards[i].revision})
		t.call.Write = append(t.call.Write, kvstore.Write{Key: shardKey(i), Value: value})
	}
	return t, nil
}

// send makes one attempt. The condition on the own record makes sure that of all
// attempts of a transaction at most one takes effect.
func (l *Ledger) send(ctx context.Context, t *transaction) (applied, undone map[string]Tokens, err error) {
	revision, current, err := l.store.Commit(ctx, t.call)
	switch {
	case err == nil:
		l.pending = nil
		return t.deltas, nil, l.adopt(t, revision)
	case failure.Is(err, failure.Conflict):
		was, learnErr := l.learn(t, current)
		if learnErr != nil {
			l.pending = t
			return nil, nil, learnErr
		}
		l.pending = nil
		if was {
			return t.deltas, nil, nil
		}
		return nil, t.deltas, nil
	case failure.Is(err, failure.Unavailable) && l.pending == nil:
		return nil, t.deltas, err // it was not done
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
		l.shards[i] = shard{revision: byKey[e.Key].Revision, granted: rec.Granted}
	}
	return own.Sequence == t.sequence, nil
}
