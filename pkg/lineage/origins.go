package lineage

import (
	"cmp"
	"context"
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// streamIDBytes is the length of an encoded streamID.
const streamIDBytes = 8

// maxStoredStreams bounds the origins that one instance writes. The value stays well below
// kvstore.MaxValueBytes; the oldest are left out.
const maxStoredStreams = 64 << 10

// storedOrigins are the streams with one origin that an instance remembers.
type storedOrigins struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
	Streams []byte `cbor:"3,keyasint"` // streamIDs in big-endian order, one after the other
}

// storeRead is a read of all origins that callers of Resolve share.
type storeRead struct {
	done chan struct{} // closed at the end
	err  error         // valid after done
}

// readStore waits for a read of the origins and the durable record that begins after the call.
func (t *Tracker) readStore(ctx context.Context) error {
	t.mu.Lock()
	if t.pending == nil {
		t.pending = &storeRead{done: make(chan struct{})}
		t.reads <- struct{}{} // has room: the former read was taken out before pending became nil
	}
	read := t.pending
	t.mu.Unlock()
	select {
	case <-read.done:
		return read.err
	case <-ctx.Done():
		return failure.New(failure.Timeout, "repeat the request", "the store was not read in time: %v", ctx.Err())
	}
}

// runReads makes the reads that readStore requests until ctx ends.
func (t *Tracker) runReads(ctx context.Context) {
	for {
		select {
		case <-t.reads:
		case <-ctx.Done():
			return
		}
		t.mu.Lock()
		read := t.pending
		t.pending = nil
		t.mu.Unlock()
		read.err = t.readOrigins(ctx)
		close(read.done)
		wait.Sleep(ctx, t.opts.Timing.ReadDelay)
	}
}

// readOrigins reads the origins of all instances and the durable record.
func (t *Tracker) readOrigins(ctx context.Context) error {
	start := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, t.opts.Timing.ReadTimeout)
	defer cancel()
	items, revision, err := t.opts.Store.Range(callCtx, prefix, false)
	t.health.Record(err)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.failures, t.failedAt = t.failures+1, time.Now()
		return err
	}
	t.failures = 0
	var record *kvstore.Item
	t.stored, t.storedAt = map[streamID][]Origin{}, start
	for _, item := range items {
		switch {
		case item.Key == versionsKey:
			record = &item
		case strings.HasPrefix(item.Key, streamsPrefix):
			t.addStored(item)
		}
	}
	t.applyRecord(record, revision, start)
	return nil
}

// addStored adds the origins that an instance has written. t.mu must be held.
func (t *Tracker) addStored(item kvstore.Item) {
	var groups []storedOrigins
	if err := peer.Unmarshal(item.Value, &groups); err != nil {
		t.opts.Log.WithError(err).WithField("key", item.Key).Warn("cannot decode the origins of streams")
		return
	}
	for _, g := range groups {
		origin := Origin{g.Service, g.Version}
		for encoded := range slices.Chunk(g.Streams, streamIDBytes) {
			if len(encoded) < streamIDBytes {
				break
			}
			id := streamID(binary.BigEndian.Uint64(encoded))
			if !slices.Contains(t.stored[id], origin) {
				t.stored[id] = append(t.stored[id], origin)
			}
		}
	}
}

// publisher writes the origins of this instance to the store. It belongs to the control
// goroutine.
type publisher struct {
	services  []string // those whose origins are published, sorted
	writtenAt time.Time
	revision  uint64    // of the own key; 0 if it does not exist
	unsure    bool      // a write may have taken effect since
	era       uint64    // of the store at the latest write
	idleSince time.Time // since when no service has several versions; zero if one has
}

// publish writes the origins if some are not written, and removes them once no service has
// several versions. It returns when to call it again; zero means that nothing is due.
func (t *Tracker) publish(ctx context.Context, p *publisher) time.Time {
	services := t.ambiguousServices()
	now := time.Now()
	if len(services) == 0 {
		return t.withdraw(ctx, p, now)
	}
	era := t.opts.StoreEra()
	t.mu.Lock()
	if !slices.Equal(services, p.services) || era != p.era {
		t.unsaved = true
	}
	unsaved := t.unsaved
	t.mu.Unlock()
	p.services, p.era, p.idleSince = services, era, time.Time{}
	due := p.writtenAt.Add(t.opts.Timing.FlushInterval)
	if !now.Before(due) {
		if unsaved {
			p.writtenAt = now
			t.writeOrigins(ctx, p, now)
		}
		due = now.Add(t.opts.Timing.FlushInterval)
	}
	return due
}

// ambiguousServices returns the services that have more than one possible version, sorted.
func (t *Tracker) ambiguousServices() []string {
	latest, since := t.opts.ListConfirmed()
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	k := t.knowledge(latest, since, now)
	var services []string
	for service := range t.services {
		if len(t.possible(service, k, now)) > 1 {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// writeOrigins writes the origins of the published services. Its condition keeps a write that
// the store executes late from replacing a newer one.
func (t *Tracker) writeOrigins(ctx context.Context, p *publisher, now time.Time) {
	t.mu.Lock()
	t.unsaved = false
	groups := t.originsOf(p.services, now)
	t.mu.Unlock()
	if len(groups) == 0 {
		return
	}
	value, err := peer.Marshal(groups)
	if err == nil {
		err = t.commitOwn(ctx, p, kvstore.Transaction{Write: []kvstore.Write{{Key: t.ownKey(), Value: value}}})
	}
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

// originsOf returns the origins of services that were recorded here within Retention, those of
// the latest maxStoredStreams streams. t.mu must be held.
func (t *Tracker) originsOf(services []string, now time.Time) []storedOrigins {
	type entry struct {
		id streamID
		recordedOrigin
	}
	var entries []entry
	for id, origins := range t.streams {
		for _, o := range origins {
			if now.Sub(o.at) <= t.opts.Timing.Retention && slices.Contains(services, o.Service) {
				entries = append(entries, entry{id, o})
			}
		}
	}
	if len(entries) > maxStoredStreams {
		slices.SortFunc(entries, func(a, b entry) int { return b.at.Compare(a.at) })
		entries = entries[:maxStoredStreams]
	}
	groups := map[Origin]*storedOrigins{}
	for _, e := range entries {
		g := groups[e.Origin]
		if g == nil {
			g = &storedOrigins{Service: e.Service, Version: e.Version}
			groups[e.Origin] = g
		}
		g.Streams = binary.BigEndian.AppendUint64(g.Streams, uint64(e.id))
	}
	var all []storedOrigins
	for _, origin := range slices.SortedFunc(maps.Keys(groups), func(a, b Origin) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	}) {
		all = append(all, *groups[origin])
	}
	return all
}

// withdraw removes the own key some time after the last service with several versions, because
// other instances may count one for a little longer.
func (t *Tracker) withdraw(ctx context.Context, p *publisher, now time.Time) time.Time {
	if p.idleSince.IsZero() {
		p.idleSince = now
	}
	p.services = nil
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

// sweep forgets the origins and versions that are older than Retention.
func (t *Tracker) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, origins := range t.streams {
		origins = slices.DeleteFunc(origins, func(o recordedOrigin) bool { return now.Sub(o.at) > t.opts.Timing.Retention })
		if t.streams[id] = origins; len(origins) == 0 {
			delete(t.streams, id)
		}
	}
	if now.Sub(t.storedAt) > t.opts.Timing.Retention {
		t.stored = nil
	}
	t.dropVersions(now)
}
