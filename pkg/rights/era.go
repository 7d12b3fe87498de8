package rights

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// A store that returns from an older copy has lost the latest sums, but the instances still
// hold the rights that these sums record. In each era of the store, one instance writes the
// latest sums that any instance knows back, before anybody takes rights. The same transaction
// creates the fence record of the era, on which every later transaction is conditional, and
// removes that of the former era, so that no transaction of before can take effect any more.
// An instance that was out of reach meanwhile adds what was missing when it enters the era.

// fencePrefix is the key prefix of the fence records. The era follows it.
const fencePrefix = "rights/era/"

func fenceKey(era uint64) string { return fencePrefix + strconv.FormatUint(era, 10) }

const (
	// maxBases bounds the bases of a shard record: that of an instance which was out of reach
	// in more restores is not corrected.
	maxBases = 3
	// staleReadPause is the time after the start of an era in which the sums are not read from
	// replicas, which may still have the content of before.
	staleReadPause = 10 * time.Second
)

// base is the state of a former era from which a shard record continues.
type base struct {
	// Revision is that of the state in its era.
	Revision uint64 `cbor:"1,keyasint"`
	Granted  sums   `cbor:"2,keyasint"`
	Spent    sums   `cbor:"3,keyasint"`
}

// errEraChanged means that the store has returned from an older copy since the ledger read it.
var errEraChanged = failure.New(failure.Unavailable, "enter the new era", "the store has returned from an older copy")

// Evidence returns the latest states of the shards that other instances know from eras before
// the given one. A state that nobody knows has revision 0.
type Evidence func(ctx context.Context, era uint64) [Shards]ShardState

// latest returns for each shard the state with the later revision.
func latest(a, b [Shards]ShardState) [Shards]ShardState {
	for i := range a {
		if b[i].Revision > a[i].Revision {
			a[i] = b[i]
		}
	}
	return a
}

// Known returns the latest states that this instance knows from eras before the given one.
// It is safe for concurrent use.
func (l *Ledger) Known(era uint64) [Shards]ShardState {
	l.mu.Lock()
	defer l.mu.Unlock()
	var known [Shards]ShardState
	for _, states := range [][Shards]ShardState{l.shards, l.witnessed} {
		for i, s := range states {
			if kvstore.EraOf(s.Revision) < era && s.Revision > known[i].Revision {
				known[i] = s
			}
		}
	}
	return known
}

// KnowsFormer reports whether this instance knows a state from an era before the given one.
func (l *Ledger) KnowsFormer(era uint64) bool {
	for _, s := range l.Known(era) {
		if s.Revision > 0 {
			return true
		}
	}
	return false
}

// Witness records states that another instance has written. It is safe for concurrent use.
func (l *Ledger) Witness(states []KnownState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.witnessed = latest(l.witnessed, indexStates(states))
}

// Written returns the states of the shards of workspaces that changes affect, or nil if the
// store cannot lose them because it has no eras.
func (l *Ledger) Written(changes map[string]Change) []KnownState {
	if l.fence == 0 {
		return nil
	}
	var states []KnownState
	var seen [Shards]bool
	for w := range changes {
		i := shardOf(w)
		if !seen[i] {
			states = append(states, KnownState{i, l.shards[i].Revision, l.shards[i].shardRecord})
		}
		seen[i] = true
	}
	return states
}

// NewEra returns the era that the store has reached if that is not the one of the ledger.
func (l *Ledger) NewEra() (era uint64, changed bool) { return l.seenEra, l.seenEra > l.era }

// EnterEra makes the ledger use the era that the store has reached. If no instance has
// restored the sums in it yet, it does so from what this instance and evidence know; if
// evidence is nil, it fails with failure.NotReady instead. A pending transaction is given
// up: it cannot take effect any more. The rights that it would take are not used, and those
// that it returns are lost, because it may have taken effect before.
func (l *Ledger) EnterEra(ctx context.Context, evidence Evidence) error {
	era := l.seenEra
	fences, err := l.rangeInEra(ctx, fencePrefix, era)
	if err != nil {
		return err
	}
	fence, t := uint64(0), kvstore.Transaction{}
	for _, it := range fences {
		if it.Key == fenceKey(era) {
			fence = it.Revision
		} else {
			t.Remove = append(t.Remove, it.Key)
		}
	}
	t.Expect = []kvstore.Expectation{{Key: fenceKey(era), Revision: fence}}
	isFirst := fence == 0
	if isFirst && evidence == nil {
		return failure.New(failure.NotReady, "wait until an instance has restored the sums", "era %d of the store has just begun", era)
	}
	items, err := l.rangeInEra(ctx, shardPrefix, era)
	if err != nil {
		return err
	}
	stored, err := decodeShards(items)
	if err != nil {
		return err
	}
	known := l.Known(era)
	if isFirst {
		known = latest(known, evidence(ctx, era))
		t.Write = append(t.Write, kvstore.Write{Key: fenceKey(era), Value: []byte(l.holderKey)}) // the value tells operators who restored the sums
	}
	var changed [Shards]bool
	for i := range stored {
		var rec shardRecord
		rec, changed[i] = stored[i].continueFrom(known[i], era, isFirst)
		if !changed[i] {
			continue
		}
		value, err := peer.Marshal(rec)
		if err != nil {
			return err
		}
		t.Expect = append(t.Expect, kvstore.Expectation{Key: shardKey(i), Revision: stored[i].Revision})
		t.Write = append(t.Write, kvstore.Write{Key: shardKey(i), Value: value})
		stored[i].shardRecord = rec
	}
	if len(t.Write) > 0 {
		revision, _, err := l.store.Commit(ctx, t)
		if err != nil {
			return err
		}
		if isFirst {
			fence = revision
		}
		for i := range stored {
			if changed[i] {
				stored[i].Revision = revision
			}
		}
	}
	return l.adopt(ctx, era, fence, stored)
}

// rangeInEra lists the keys with a prefix. It fails if the store is not in the given era.
func (l *Ledger) rangeInEra(ctx context.Context, prefix string, era uint64) ([]kvstore.Item, error) {
	items, at, err := l.store.Range(ctx, prefix, false)
	if err == nil && kvstore.EraOf(at) != era {
		l.seenEra = max(l.seenEra, kvstore.EraOf(at))
		err = errEraChanged
	}
	return items, err
}

// adopt makes the ledger continue in an era from the given states.
func (l *Ledger) adopt(ctx context.Context, era, fence uint64, shards [Shards]ShardState) error {
	holder, _, err := l.store.Get(ctx, l.holderKey)
	if err != nil {
		return err
	}
	l.holderRevision = 0
	if holder != nil {
		l.holderRevision = holder.Revision
	}
	l.era, l.fence, l.enteredAt, l.pending = era, fence, time.Now(), nil
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shards, l.witnessed = shards, [Shards]ShardState{}
	return nil
}

// decodeShards returns the states of the shard records among items.
func decodeShards(items []kvstore.Item) ([Shards]ShardState, error) {
	var shards [Shards]ShardState
	for _, it := range items {
		i, err := strconv.Atoi(strings.TrimPrefix(it.Key, shardPrefix))
		if err != nil || i < 0 || i >= Shards {
			continue
		}
		if err := peer.Unmarshal(it.Value, &shards[i].shardRecord); err != nil {
			return shards, err
		}
		shards[i].Revision = it.Revision
	}
	return shards, nil
}

// lastBaseEra returns the latest era from which the record continues, or 0.
func (r *shardRecord) lastBaseEra() uint64 {
	if len(r.Bases) == 0 {
		return 0
	}
	return kvstore.EraOf(r.Bases[len(r.Bases)-1].Revision)
}

// continueFrom returns the record that the stored one has to be replaced by if known is the
// latest known state of an era before the given one, and whether it differs. isFirst means
// that the record is that of the copy.
func (s ShardState) continueFrom(known ShardState, era uint64, isFirst bool) (rec shardRecord, changed bool) {
	switch {
	case known.Revision > 0 && s.lastBaseEra() >= kvstore.EraOf(known.Revision):
		rec, changed = s.addMissing(known)
		if !isFirst {
			return rec, changed
		}
	case !isFirst:
		return s.addMissing(known)
	case s.Revision == 0 && known.Revision == 0:
		return s.shardRecord, false
	case known.lastBaseEra() > s.lastBaseEra(), kvstore.RawRevision(known.Revision) >= kvstore.RawRevision(s.Revision):
		rec = known.shardRecord
	default:
		// The copy is later than what is known, or a transaction of before took effect after
		// it. The larger sum is safe in both cases.
		rec = shardRecord{Granted: maxOf(s.Granted, known.Granted), Spent: maxOf(s.Spent, known.Spent), Bases: s.Bases}
	}
	raw := max(kvstore.RawRevision(known.Revision), kvstore.RawRevision(s.Revision))
	rec.Bases = append(slices.Clone(rec.Bases), base{kvstore.InEra(era-1, raw), cloneOrEmpty(rec.Granted), cloneOrEmpty(rec.Spent)})
	rec.Bases = rec.Bases[max(0, len(rec.Bases)-maxBases):]
	return rec, true
}

// addMissing adds to the sums by how much those of known exceed the base of its era, or of
// the latest era before. If the record continues from no such era, nothing of known is in it.
func (s ShardState) addMissing(known ShardState) (rec shardRecord, changed bool) {
	i := len(s.Bases) - 1
	for i >= 0 && kvstore.EraOf(s.Bases[i].Revision) > kvstore.EraOf(known.Revision) {
		i--
	}
	if known.Revision == 0 || i < 0 && len(s.Bases) == maxBases { // or the base was dropped
		return s.shardRecord, false
	}
	rec = shardRecord{Granted: cloneOrEmpty(s.Granted), Spent: cloneOrEmpty(s.Spent), Bases: slices.Clone(s.Bases)}
	if i < 0 {
		i = 0
		rec.Bases = slices.Insert(rec.Bases, 0, base{})
	}
	b := base{max(rec.Bases[i].Revision, known.Revision), cloneOrEmpty(rec.Bases[i].Granted), cloneOrEmpty(rec.Bases[i].Spent)}
	changed = addExcess(rec.Granted, b.Granted, known.Granted)
	changed = addExcess(rec.Spent, b.Spent, known.Spent) || changed
	rec.Bases[i] = b
	return rec, changed
}

// addExcess adds to total, and to based, by how much known exceeds based.
func addExcess(total, based, known sums) (changed bool) {
	for w, n := range known {
		if excess := n.Excess(based[w]); excess > 0 {
			total[w] = total[w].Plus(excess)
			based[w] = n
			changed = true
		}
	}
	return changed
}

// maxOf returns the larger value of a and b for each key.
func maxOf(a, b sums) sums {
	out := cloneOrEmpty(a)
	for w, n := range b {
		out[w] = max(out[w], n)
	}
	return out
}
