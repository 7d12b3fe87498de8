package lineage

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

const (
	// prefix is the key prefix of all that this package stores.
	prefix = "lineage/"
	// versionsKey is the key of the durable record.
	versionsKey = prefix + "versions"
	// streamsPrefix is the prefix of the keys of the origins, one for each incarnation.
	streamsPrefix = prefix + "streams/"

	// incompleteReadInterval is the delay between two reads of a record that another instance
	// may complete.
	incompleteReadInterval = 2 * time.Second
	// maxDelayedRank is the rank from which all instances have the same delay, so that none
	// learns later of a version than its streams may begin.
	maxDelayedRank = 14
)

// storedVersions is the durable record: the possible versions by service.
type storedVersions struct {
	// Era is the era of the store in which the record was last known to be complete. A record
	// of a former era comes from a copy and may lack versions.
	Era      uint64              `cbor:"1,keyasint"`
	Versions map[string][]string `cbor:"2,keyasint"`
}

// recordState is what is known of the durable record. Its versions are marked in
// versionState.stored.
type recordState struct {
	readAt   time.Time // when the latest read or write began that has succeeded; zero if none has
	revision uint64    // of the key; 0 if it does not exist
	era      uint64    // of the store at readAt
	savedEra uint64    // storedVersions.Era
	complete bool      // it lacks no version that may have begun a stream
	unsure   bool      // it may have changed since
}

// isCertainAt reports whether the record had all versions at a time at or after at.
func (r *recordState) isCertainAt(at time.Time) bool {
	return r.complete && !r.readAt.IsZero() && !r.readAt.Before(at)
}

// applyRecord applies the item of the durable record, nil if it does not exist, which a call
// that began at start read at a store revision. t.mu must be held.
func (t *Tracker) applyRecord(item *kvstore.Item, revision uint64, start time.Time) {
	if start.Before(t.record.readAt) {
		return
	}
	first := t.record.readAt.IsZero()
	era := kvstore.EraOf(revision)
	t.record = recordState{readAt: start, era: era, savedEra: era, complete: true}
	var content storedVersions
	if item != nil {
		t.record.revision = item.Revision
		if err := peer.Unmarshal(item.Value, &content); err != nil {
			t.opts.Log.WithError(err).Warn("cannot decode the record of software versions")
		}
		t.record.savedEra = content.Era
		t.record.complete = content.Versions != nil && content.Era >= era
	}
	t.markStored(content.Versions)
	if first {
		t.opts.Log.WithField("services", len(content.Versions)).WithField("complete", t.record.complete).Info("record of software versions read")
	}
}

// markStored records which versions the durable record has. t.mu must be held.
func (t *Tracker) markStored(stored map[string][]string) {
	for _, versions := range t.services {
		for _, v := range versions {
			v.stored = false
		}
	}
	for service, versions := range stored {
		for _, version := range versions {
			t.version(Origin{service, version}).stored = true
		}
	}
}

// keeper keeps the durable record. It belongs to the control goroutine.
type keeper struct {
	due         time.Time // of the next call; zero if none is needed
	experienced bool      // the versions were certain once
}

// recordNeeds says what the durable record lacks.
type recordNeeds struct{ read, write bool }

// needsOf returns what the durable record needs at time now. t.mu must be held.
func (t *Tracker) needsOf(k knowledge, since time.Time, storeEra uint64, first, experienced bool, now time.Time) recordNeeds {
	r, recorded := &t.record, t.recordedVersions()
	lacks := func(wanted map[string][]string) bool { return !maps.EqualFunc(recorded, wanted, slices.Equal) }
	if since.IsZero() || r.readAt.IsZero() {
		return recordNeeds{read: !since.IsZero()} // nothing is listed yet, or nothing is read
	}
	age := now.Sub(r.readAt)
	needs := recordNeeds{write: lacks(t.wantedVersions(k, first, now)) || !r.complete && experienced}
	switch {
	case r.unsure || storeEra > r.era:
		needs.read = true
	case !r.complete && !experienced:
		needs.read = age > incompleteReadInterval // an instance that knows all versions completes it
	case k.fresh && !k.complete && r.readAt.Before(since):
		needs.read = true // versions may have been added and left unnoticed
	case k.complete && !first:
		needs.read = age > t.opts.Timing.Retention/2 && lacks(t.wantedVersions(k, true, now)) // the first instance removes versions
	}
	return needs
}

// recordedVersions returns the versions of the durable record. t.mu must be held.
func (t *Tracker) recordedVersions() map[string][]string {
	return t.selectVersions(func(v *versionState) bool { return v.stored })
}

// wantedVersions returns what the durable record should hold: what it has and all possible
// versions. Only the first instance removes versions, and only if it knows the possible ones
// by itself. t.mu must be held.
func (t *Tracker) wantedVersions(k knowledge, first bool, now time.Time) map[string][]string {
	return t.selectVersions(func(v *versionState) bool {
		return v.listed || now.Sub(v.usedAt) <= t.opts.Timing.Retention || v.stored && !(first && k.complete)
	})
}

// selectVersions returns the sorted versions for which match reports true, by service. t.mu
// must be held.
func (t *Tracker) selectVersions(match func(*versionState) bool) map[string][]string {
	selected := map[string][]string{}
	for service, versions := range t.services {
		for version, v := range versions {
			if match(v) {
				selected[service] = append(selected[service], version)
			}
		}
		slices.Sort(selected[service])
	}
	return selected
}

// keepRecord makes the durable record complete when it is due, and returns when to call it
// again; zero means that nothing is due.
func (t *Tracker) keepRecord(ctx context.Context, keep *keeper) time.Time {
	rank := t.opts.Rank()
	needs, experienced := t.recordNeeds(keep, rank)
	now := time.Now()
	switch {
	case needs == recordNeeds{}:
		keep.due = time.Time{}
		return keep.due
	case keep.due.IsZero() && t.hasReadRecord():
		keep.due = now.Add(time.Duration(min(rank, maxDelayedRank))*t.opts.Timing.RankDelay + rand.N(3*t.opts.Timing.RankDelay))
	}
	if now.Before(keep.due) {
		return keep.due
	}
	var err error
	if needs.read || rank > 0 {
		if err = t.readRecord(ctx); err == nil {
			needs, experienced = t.recordNeeds(keep, rank)
		}
	}
	if err == nil && needs.write {
		err = t.writeRecord(ctx, rank == 0, experienced)
	}
	keep.due = time.Time{}
	if needs, _ = t.recordNeeds(keep, rank); err != nil || needs != (recordNeeds{}) {
		delay := t.opts.Timing.RetryDelay
		if failure.Is(err, failure.Conflict) {
			delay = t.opts.Timing.RankDelay
		}
		keep.due = time.Now().Add(delay)
	}
	return keep.due
}

func (t *Tracker) hasReadRecord() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.record.readAt.IsZero()
}

// recordNeeds returns what the durable record needs, and whether this instance may call it
// complete.
func (t *Tracker) recordNeeds(keep *keeper, rank int) (recordNeeds, bool) {
	latest, since := t.opts.ListConfirmed()
	era := t.opts.StoreEra()
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.knowledge(latest, since, now)
	keep.experienced = keep.experienced || k.certain
	return t.needsOf(k, since, era, rank == 0, keep.experienced, now), keep.experienced
}

// readRecord reads the durable record.
func (t *Tracker) readRecord(ctx context.Context) error {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, t.opts.Timing.CallTimeout)
	defer cancel()
	item, revision, err := t.opts.Store.Get(ctx, versionsKey)
	if err != nil {
		t.health.Record(err)
		return err
	}
	if item == nil { // the revision of a Get without an item is 0 at some stores
		revision = kvstore.InEra(t.opts.StoreEra(), 1)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyRecord(item, revision, start)
	return nil
}

// writeRecord writes the durable record if it has not changed since it was read. experienced
// says that this instance knows all versions, so that the record is complete.
func (t *Tracker) writeRecord(ctx context.Context, first, experienced bool) error {
	latest, since := t.opts.ListConfirmed()
	start := time.Now()
	t.mu.Lock()
	previous := t.record
	content := storedVersions{Era: previous.savedEra, Versions: t.wantedVersions(t.knowledge(latest, since, start), first, start)}
	t.mu.Unlock()
	if previous.complete || experienced {
		content.Era = previous.era
	}
	value, err := peer.Marshal(content)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, t.opts.Timing.CallTimeout)
	defer cancel()
	revision, items, err := t.opts.Store.Commit(callCtx, kvstore.Transaction{
		Expect: []kvstore.Expectation{{Key: versionsKey, Revision: previous.revision}},
		Write:  []kvstore.Write{{Key: versionsKey, Value: value}},
	})
	t.metrics.observeWrite("versions", err)
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err == nil:
		if !start.Before(t.record.readAt) {
			t.record = recordState{readAt: start, revision: revision, era: previous.era, savedEra: content.Era, complete: content.Era >= kvstore.EraOf(revision)}
			t.markStored(content.Versions)
		}
		t.opts.Log.WithField("versions", content.Versions).Info("record of software versions written")
	case failure.Is(err, failure.Conflict) && len(items) > 0:
		t.applyRecord(&items[0], items[0].Revision, start)
	default:
		t.record.unsure = true
	}
	return err
}
