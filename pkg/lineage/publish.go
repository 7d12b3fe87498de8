package lineage

import (
	"context"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// publisher brings the origins of this instance into the store. It belongs to the control
// goroutine.
type publisher struct {
	services  []string  // those whose origins are published, sorted
	at        time.Time // of the latest write or transfer
	revision  uint64    // of the own key; 0 if it does not exist
	unsure    bool      // a write may have taken effect since
	era       uint64    // of the store at the latest write
	idleSince time.Time // since when no service has several versions; zero if one has

	collector  string        // address of the one that got origins last, or ""
	generation uint64        // rises when all origins have to be handed over again
	handing    bool          // a transfer is running
	handingAt  time.Time     // when it began
	handed     chan handOver // results
	aloneUntil time.Time     // until when this instance writes its origins although it has collectors
}

func newPublisher() *publisher { return &publisher{generation: 1, handed: make(chan handOver, 1)} }

// publish brings the origins that are not saved into the store, and removes the own key once no
// service has several versions. It returns when to call it again; zero means that nothing is
// due.
func (t *Tracker) publish(ctx context.Context, p *publisher) time.Time {
	t.endHandOver(p)
	t.endWaitForCollector(p)
	services := t.ambiguousServices()
	now := time.Now()
	if len(services) == 0 {
		return t.withdraw(ctx, p, now)
	}
	addresses, writes := t.collectors(p, now)
	era := t.opts.StoreEra()
	t.mu.Lock()
	if !slices.Equal(services, p.services) || era != p.era {
		t.unsaved = true
		p.generation++
	}
	unsaved := t.unsaved
	t.mu.Unlock()
	p.services, p.era, p.idleSince = services, era, time.Time{}
	interval := t.opts.Timing.FlushInterval
	if !writes {
		interval /= 2 // the collector adds its own
	}
	if due := p.at.Add(interval); now.Before(due) {
		return due
	}
	switch {
	case !unsaved:
	case writes:
		p.at = now
		t.writeOrigins(ctx, p, now)
	case !p.handing:
		p.at = now
		t.handOver(ctx, p, addresses, now)
	}
	return now.Add(interval)
}

// writeOrigins writes the origins of the published services. Its condition keeps a write that
// the store executes late from replacing a newer one.
func (t *Tracker) writeOrigins(ctx context.Context, p *publisher, now time.Time) {
	t.mu.Lock()
	t.unsaved = false
	waiting := t.write
	t.write = nil
	entries := t.originsOf(p.services, now, func(recordedOrigin) bool { return true })
	t.mu.Unlock()
	if len(entries) == 0 {
		waiting.end(nil)
		return
	}
	value, err := peer.Marshal(encodeOrigins(entries))
	if err == nil {
		err = t.commitOwn(ctx, p, kvstore.Transaction{Write: []kvstore.Write{{Key: t.ownKey(), Value: value}}})
	}
	waiting.end(err)
	t.metrics.observeWrite("streams", err)
	t.health.Record(err)
	if err == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsaved = true
}

func (t *Tracker) ownKey() string { return streamsPrefix + t.opts.Incarnation }

// commitOwn commits a change of the own key. After a conflict, which a former call without an
// answer or a store that returned from an older copy causes, it commits once more.
func (t *Tracker) commitOwn(ctx context.Context, p *publisher, change kvstore.Transaction) error {
	ctx, cancel := context.WithTimeout(ctx, t.opts.Timing.CallTimeout)
	defer cancel()
	for again := true; ; again = false {
		change.Expect = []kvstore.Expectation{{Key: t.ownKey(), Revision: p.revision}}
		revision, items, err := t.opts.Store.Commit(ctx, change)
		switch {
		case err == nil:
			p.revision, p.unsure = revision, false
			if len(change.Remove) > 0 {
				p.revision = 0
			}
			return nil
		case !failure.Is(err, failure.Conflict):
			p.unsure = p.unsure || failure.Is(err, failure.Uncertain)
			return err
		}
		p.revision = 0
		for _, item := range items {
			p.revision = item.Revision
		}
		if !again {
			return err
		}
	}
}

// originEntry is one origin of one stream.
type originEntry struct {
	id streamID
	recordedOrigin
}

// originsOf returns the origins of services that were recorded here within Retention and match,
// those of the latest maxStoredStreams streams. t.mu must be held.
func (t *Tracker) originsOf(services []string, now time.Time, match func(recordedOrigin) bool) []originEntry {
	var entries []originEntry
	for id, origins := range t.streams {
		for _, o := range origins {
			if now.Sub(o.at) <= t.opts.Timing.Retention && slices.Contains(services, o.Service) && match(o) {
				entries = append(entries, originEntry{id, o})
			}
		}
	}
	if len(entries) > maxStoredStreams {
		slices.SortFunc(entries, func(a, b originEntry) int { return b.at.Compare(a.at) })
		entries = entries[:maxStoredStreams]
	}
	return entries
}

// withdraw removes the own key some time after the last service with several versions, because
// other instances may count one for a little longer.
func (t *Tracker) withdraw(ctx context.Context, p *publisher, now time.Time) time.Time {
	if p.idleSince.IsZero() {
		p.idleSince = now
	}
	p.services = nil
	t.mu.Lock()
	waiting := t.write
	t.write = nil
	t.mu.Unlock()
	waiting.end(failure.New(failure.Unavailable, "hand the origins to another instance", "no service has several versions here"))
	if p.revision == 0 && !p.unsure {
		return time.Time{}
	}
	due := p.idleSince.Add(t.opts.Timing.Retention / 4)
	if now.Before(due) {
		return due
	}
	err := t.commitOwn(ctx, p, kvstore.Transaction{Remove: []string{t.ownKey()}})
	t.metrics.observeWrite("removal", err)
	if err == nil {
		return time.Time{}
	}
	return time.Now().Add(t.opts.Timing.RetryDelay)
}
