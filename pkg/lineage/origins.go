package lineage

import (
	"cmp"
	"context"
	"encoding/binary"
	"maps"
	"slices"
	"strings"
	"sync"
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

// encodeOrigins returns the encoding of origins.
func encodeOrigins(entries []originEntry) []storedOrigins {
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

// forEach calls f for each stream of the group.
func (g storedOrigins) forEach(f func(streamID, Origin)) {
	for encoded := range slices.Chunk(g.Streams, streamIDBytes) {
		if len(encoded) == streamIDBytes {
			f(streamID(binary.BigEndian.Uint64(encoded)), Origin{g.Service, g.Version})
		}
	}
}

// storeCall is a read or write of the store for which several callers wait.
type storeCall struct {
	done chan struct{} // closed at the end
	err  error         // valid after done
}

func (c *storeCall) end(err error) {
	if c != nil {
		c.err = err
		close(c.done)
	}
}

// wait returns the result of the call, or an error of kind failure.Timeout if ctx ends before.
func (c *storeCall) wait(ctx context.Context) error {
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return failure.New(failure.Timeout, "repeat the request", "the store did not answer in time: %v", ctx.Err())
	}
}

// sharedCall makes a call of the store for all callers that wait for one which begins after
// their request.
type sharedCall struct {
	call  func(ctx context.Context) error
	delay time.Duration // minimum between two calls
	wake  chan struct{}

	mu   sync.Mutex
	next *storeCall // nil if nobody waits for one
}

func newSharedCall(delay time.Duration, call func(ctx context.Context) error) *sharedCall {
	return &sharedCall{call: call, delay: delay, wake: make(chan struct{}, 1)}
}

// do waits for a call that begins after do was called.
func (s *sharedCall) do(ctx context.Context) error {
	s.mu.Lock()
	if s.next == nil {
		s.next = &storeCall{done: make(chan struct{})}
		s.wake <- struct{}{} // has room: the former one was taken out before next became nil
	}
	next := s.next
	s.mu.Unlock()
	return next.wait(ctx)
}

// run makes the calls until ctx ends.
func (s *sharedCall) run(ctx context.Context) {
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		next := s.next
		s.next = nil
		s.mu.Unlock()
		next.end(s.call(ctx))
		wait.Sleep(ctx, s.delay)
	}
}

// recheckList reads the changes of the list of endpoints.
func (t *Tracker) recheckList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, t.opts.Timing.CallTimeout)
	defer cancel()
	return t.opts.RecheckList(ctx)
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
		g.forEach(func(id streamID, origin Origin) {
			if !slices.Contains(t.stored[id], origin) {
				t.stored[id] = append(t.stored[id], origin)
			}
		})
	}
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
