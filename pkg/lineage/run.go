package lineage

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

// maxRemovals bounds the keys of one transaction that removes origins. The store accepts 32
// conditions and removals together.
const maxRemovals = 16

// Run reads and writes the store until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	var readers sync.WaitGroup
	readers.Go(func() { t.reads.run(ctx) })
	readers.Go(func() { t.rechecks.run(ctx) })
	defer readers.Wait()
	defer t.transfers.Wait()
	keep, p, c := &keeper{}, newPublisher(), &cleaner{keys: map[string]leftKey{}, due: time.Now().Add(t.opts.Timing.Retention)}
	sweepAt := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-t.wake:
		}
		next := time.Now().Add(t.opts.Timing.IdleInterval)
		for _, due := range []time.Time{t.publish(ctx, p), t.keepRecord(ctx, keep), t.clean(ctx, c)} {
			if !due.IsZero() && due.Before(next) {
				next = due
			}
		}
		if now := time.Now(); !now.Before(sweepAt) {
			t.sweep(now)
			sweepAt = now.Add(t.opts.Timing.Retention / 8)
		}
		timer.Reset(time.Until(next))
	}
}

// cleaner removes the origins of ended incarnations. It belongs to the control goroutine.
type cleaner struct {
	due  time.Time
	keys map[string]leftKey
	done bool // no key is left and none is written
}

// leftKey is a key of another incarnation.
type leftKey struct {
	revision uint64
	since    time.Time // when the revision was first seen
}

// clean removes keys that have not changed for twice Retention, if this is the first instance.
// Their streams have ended, or their instance writes them again.
func (t *Tracker) clean(ctx context.Context, c *cleaner) time.Time {
	if len(t.ambiguousServices()) > 0 {
		c.done = false
	}
	now := time.Now()
	switch {
	case t.opts.Rank() != 0:
		clear(c.keys)
		return time.Time{}
	case c.done || now.Before(c.due):
		return time.Time{}
	}
	c.due = now.Add(t.opts.Timing.Retention)
	callCtx, cancel := context.WithTimeout(ctx, t.opts.Timing.ReadTimeout)
	defer cancel()
	items, _, err := t.opts.Store.Range(callCtx, streamsPrefix, true)
	if err != nil {
		return time.Time{}
	}
	keys := map[string]leftKey{}
	var removal kvstore.Transaction
	for _, item := range items {
		left, ok := c.keys[item.Key]
		if !ok || left.revision != item.Revision {
			left = leftKey{item.Revision, now}
		}
		keys[item.Key] = left
		if now.Sub(left.since) >= 2*t.opts.Timing.Retention && len(removal.Remove) < maxRemovals && !strings.HasSuffix(item.Key, "/"+t.opts.Incarnation) {
			removal.Expect = append(removal.Expect, kvstore.Expectation{Key: item.Key, Revision: item.Revision})
			removal.Remove = append(removal.Remove, item.Key)
		}
	}
	c.keys = keys
	if len(removal.Remove) > 0 {
		_, _, err = t.opts.Store.Commit(callCtx, removal) // what stays is removed next time
		t.metrics.observeWrite("removal", err)
	}
	c.done = len(items) == 0 && len(t.ambiguousServices()) == 0
	return time.Time{}
}
