package node

import (
	"context"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
)

// culpritPrefix is the key prefix under which collectors store what is refused, so that
// it outlasts the end of all instances.
const culpritPrefix = "quarantine/"

// adoption is a combination that this instance refuses.
type adoption struct {
	quarantine.Combination
	evidence time.Time // of the latest death under it
	until    time.Time
	stored   bool // by this or another instance
	saving   bool
}

// adopt refuses a combination and reports whether it was not refused before. An empty one,
// which only another instance could send, matches no request.
func (f *culpritFinder) adopt(c quarantine.Combination, evidence, now time.Time, stored bool) bool {
	if len(c) == 0 || !f.refusals.Add(c, evidence, now.Add(refusalTTL)) {
		return false
	}
	f.adopted = append(f.adopted, &adoption{Combination: c, evidence: evidence, until: now.Add(refusalTTL), stored: stored})
	f.told = map[string]int{}
	return true
}

// adoptAll adopts what another instance or the store refuses.
func (f *culpritFinder) adoptAll(refused []refusedCombination, from string) {
	now := time.Now()
	for _, c := range refused {
		if f.adopt(c.Traits, now.Add(-max(0, c.Age)), now, true) {
			f.log.WithField("refused", c.Traits.String()).WithField("from", from).Warn("requests that crash endpoints are refused")
		}
	}
}

// lift ends the refusal of a combination and reports whether there was one.
func (f *culpritFinder) lift(c quarantine.Combination, now time.Time) bool {
	for _, t := range c {
		f.attribution.RecordSurvival(t, now)
	}
	f.refusals.Lift(c, now)
	count := len(f.adopted)
	f.adopted = slices.DeleteFunc(f.adopted, func(a *adoption) bool { return slices.Equal(a.Combination, c) })
	f.told = map[string]int{}
	return len(f.adopted) < count
}

// liftEverywhere ends a refusal at all instances and in the store after a request with the
// combination ended well.
func (f *culpritFinder) liftEverywhere(ctx context.Context, c quarantine.Combination) {
	if !f.lift(c, time.Now()) {
		return
	}
	f.log.WithField("lifted", c.String()).Warn("a refused request ended well; such requests are no longer refused")
	for _, other := range f.roster.Others() {
		f.call(ctx, other, liftMethod, liftMessage{c}, nil, func(context.Context, error) {}) // an instance that misses it sees such requests end well itself or refuses them until refusalTTL
	}
	f.commit(ctx, kvstore.Transaction{Remove: []string{culpritKey(c)}}, func(error) {}) // a key that stays is refused again only after the next start of the fleet
}

// round repeats what has not succeeded yet.
func (f *culpritFinder) round(ctx context.Context, now time.Time) {
	f.explainInterruptions(ctx, now)
	f.sendReports(ctx, now)
	f.expire(ctx, now)
	f.sync(ctx, now)
	if len(f.adopted) == 0 {
		return
	}
	if _, rank := f.rankCollectors(now); rank < 0 && !f.decided {
		return
	}
	f.tellOthers(ctx)
	f.save(ctx)
}

// tellOthers tells the instances that do not know it what is refused.
func (f *culpritFinder) tellOthers(ctx context.Context) {
	message := refusalsMessage{f.refused(time.Now())}
	for _, other := range f.roster.Others() {
		if f.told[other.Incarnation] == len(f.adopted) || f.telling[other.Incarnation] {
			continue
		}
		known := len(f.adopted)
		f.telling[other.Incarnation] = true
		f.call(ctx, other, refuseMethod, message, nil, func(_ context.Context, err error) {
			delete(f.telling, other.Incarnation)
			if err == nil && known == len(f.adopted) {
				f.told[other.Incarnation] = known
			}
		})
	}
}

// refused returns what this instance refuses.
func (f *culpritFinder) refused(now time.Time) []refusedCombination {
	var all []refusedCombination
	for _, a := range f.adopted {
		all = append(all, refusedCombination{a.Combination, now.Sub(a.evidence)})
	}
	return all
}

// save writes the adoptions that no instance has stored to the store. The key depends on
// the combination alone, so that it does not matter who writes it.
func (f *culpritFinder) save(ctx context.Context) {
	if era := f.storeEra(); era != f.savedEra {
		f.savedEra = era
		for _, a := range f.adopted {
			a.stored = false // a store that returned from an older copy may have lost it
		}
	}
	for _, a := range f.adopted {
		if a.stored || a.saving {
			continue
		}
		value, err := peer.Marshal(a.Combination)
		if err != nil {
			f.log.WithError(err).Error("cannot encode a refused combination")
			a.stored = true
			continue
		}
		a.saving = true
		f.commit(ctx, kvstore.Transaction{Write: []kvstore.Write{{Key: culpritKey(a.Combination), Value: value}}}, func(err error) {
			a.saving, a.stored = false, err == nil
		})
	}
}

func culpritKey(c quarantine.Combination) string { return culpritPrefix + c.Key() }

// commit commits a transaction and has the control goroutine run done with the result.
func (f *culpritFinder) commit(ctx context.Context, t kvstore.Transaction, done func(error)) {
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, culpritCallTimeout)
		defer cancel()
		_, _, err := f.store.Commit(callCtx, t)
		f.post(ctx, func(context.Context) { done(err) })
	}()
}

// expire forgets the adoptions that have ended. The first collector removes them from the
// store.
func (f *culpritFinder) expire(ctx context.Context, now time.Time) {
	for _, a := range f.adopted {
		if now.Before(a.until) {
			continue
		}
		if _, rank := f.rankCollectors(now); rank == 0 {
			f.commit(ctx, kvstore.Transaction{Remove: []string{culpritKey(a.Combination)}}, func(error) {}) // a key that stays is refused again only after the next start of the fleet
		}
	}
	f.adopted = slices.DeleteFunc(f.adopted, func(a *adoption) bool { return !now.Before(a.until) })
}

// sync learns what the fleet refuses at the start, and after a time in which this instance
// may have missed something: from a collector, or from the store if it is one itself.
func (f *culpritFinder) sync(ctx context.Context, now time.Time) {
	listedAt := f.roster.ListedAt()
	if !listedAt.IsZero() && now.Sub(listedAt) > maxMissedLists {
		f.synced = false
	}
	if f.synced || f.syncing || listedAt.IsZero() || now.Sub(listedAt) > maxMissedLists {
		return
	}
	ranked, rank := f.rankCollectors(now)
	if rank >= 0 {
		if f.roster.IsSettled() {
			f.syncing = true
			f.readStore(ctx)
		}
		return
	}
	f.syncing = true
	reply := new(refusalsMessage)
	collector := ranked[int(now.UnixNano()/int64(culpritInterval))%len(ranked)]
	f.call(ctx, collector, refusalsMethod, struct{}{}, reply, func(_ context.Context, err error) {
		f.syncing, f.synced = false, err == nil
		f.adoptAll(reply.Refused, collector.Instance)
	})
}

// learnFromStore adopts what the store holds, unless it has just been read.
func (f *culpritFinder) learnFromStore(ctx context.Context, now time.Time) {
	if f.syncing || now.Sub(f.learnedAt) < storeReadInterval {
		return
	}
	f.syncing, f.learnedAt = true, now
	f.readStore(ctx)
}

// readStore adopts what the store holds.
func (f *culpritFinder) readStore(ctx context.Context) {
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, culpritCallTimeout)
		defer cancel()
		items, _, err := f.store.Range(callCtx, culpritPrefix, false)
		f.post(ctx, func(context.Context) {
			f.syncing, f.synced = false, err == nil
			var stored []refusedCombination
			for _, item := range items {
				var c quarantine.Combination
				if err := peer.Unmarshal(item.Value, &c); err != nil {
					f.log.WithError(err).WithField("key", item.Key).Warn("cannot decode a refused combination")
					continue
				}
				stored = append(stored, refusedCombination{Traits: c, Age: refusalTTL}) // a refusal that was lifted here does not start again
			}
			f.adoptAll(stored, "store")
		})
	}()
}
