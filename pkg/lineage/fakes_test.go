package lineage

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// callDelay is how long a call of a memoryStore takes.
const callDelay = 5 * time.Millisecond

// memoryStore implements Store. Its fields are changed by set.
type memoryStore struct {
	kvstore.RangeReader

	mu          sync.Mutex
	items       map[string]kvstore.Item
	revision    uint64
	era         uint64
	unavailable bool // all calls fail
	readOnly    bool // commits fail
	loseAnswers int  // commits that take effect and return failure.Uncertain
	calls       map[string]int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{items: map[string]kvstore.Item{}, era: 1, calls: map[string]int{}}
}

func (s *memoryStore) set(change func(s *memoryStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

func (s *memoryStore) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// restore returns the store to a copy of its items.
func (s *memoryStore) restore(items map[string]kvstore.Item) {
	s.set(func(s *memoryStore) { s.items, s.era = maps.Clone(items), s.era+1 })
}

func (s *memoryStore) copy() map[string]kvstore.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.items)
}

func (s *memoryStore) keys(prefix string) (keys []string) {
	for key := range s.copy() {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

// countCalls returns the number of calls of all kinds.
func (s *memoryStore) countCalls() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, count := range s.calls {
		n += count
	}
	return n
}

// begin counts a call and locks the store unless it is unavailable.
func (s *memoryStore) begin(kind string) error {
	time.Sleep(callDelay)
	s.mu.Lock()
	s.calls[kind]++
	if s.unavailable {
		s.mu.Unlock()
		return failure.New(failure.Unavailable, "", "unavailable")
	}
	return nil
}

func (s *memoryStore) Commit(_ context.Context, t kvstore.Transaction) (uint64, []kvstore.Item, error) {
	if err := s.begin("commit"); err != nil {
		return 0, nil, err
	}
	defer s.mu.Unlock()
	if s.readOnly {
		return 0, nil, failure.New(failure.Unavailable, "", "read-only")
	}
	var items []kvstore.Item
	conflict := false
	for _, e := range t.Expect {
		item, ok := s.items[e.Key]
		conflict = conflict || item.Revision != e.Revision
		if ok {
			items = append(items, item)
		}
	}
	if conflict {
		return 0, items, failure.New(failure.Conflict, "", "conflict")
	}
	s.revision++
	revision := kvstore.InEra(s.era, s.revision)
	for _, w := range t.Write {
		s.items[w.Key] = kvstore.Item{Key: w.Key, Value: w.Value, Revision: revision}
	}
	for _, key := range t.Remove {
		delete(s.items, key)
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return 0, nil, failure.New(failure.Uncertain, "", "no answer")
	}
	return revision, nil, nil
}

func (s *memoryStore) Range(_ context.Context, prefix string, _ bool) ([]kvstore.Item, uint64, error) {
	if err := s.begin("range"); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	var items []kvstore.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item)
		}
	}
	return items, kvstore.InEra(s.era, s.revision+1), nil
}

func (s *memoryStore) Get(_ context.Context, key string) (*kvstore.Item, uint64, error) {
	if err := s.begin("get"); err != nil {
		return nil, 0, err
	}
	defer s.mu.Unlock()
	item, ok := s.items[key]
	if !ok {
		return nil, 0, nil
	}
	return &item, kvstore.InEra(s.era, s.revision+1), nil
}

// world holds the instances of a test, which see the same endpoints and store.
type world struct {
	t         *testing.T
	store     *memoryStore
	started   int
	instances []*instance
	listed    []Origin

	mu         sync.Mutex
	collectors []*instance // write the origins of all; none means that each instance does
}

// instance is a tracker with the list of endpoints that it follows.
type instance struct {
	*Tracker
	stop    func()
	handler peer.Handler
	view    []*instance // replaces world.collectors for this instance

	mu    sync.Mutex
	since time.Time
	cutAt time.Time // when the list stopped being confirmed, or zero
	rank  int
	// recheck brings the list of an instance that is cut off up to date. Without it, it cannot be
	// read.
	recheck func()
}

// inWorld runs a test in virtual time, with instances that are stopped at its end.
func inWorld(t *testing.T, test func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, store: newMemoryStore()}
		test(t, w)
		w.killAll()
	})
}

// start starts count instances.
func (w *world) start(count int) []*instance {
	for range count {
		log := logrus.New()
		log.SetOutput(io.Discard)
		x := &instance{since: time.Now(), rank: len(w.instances)}
		x.Tracker = New(Options{Incarnation: fmt.Sprint("i", w.started), Store: w.store, StoreEra: w.store.currentEra, ListConfirmed: x.confirmed, RecheckList: x.recheckList,
			Rank: func() int { return x.rank }, Peers: w, Collectors: func() ([]string, bool) { return w.collectorsFor(x) }, Log: log, Registerer: prometheus.NewRegistry()})
		x.RegisterPeer(x)
		w.started++
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { x.Run(ctx) })
		x.stop = func() { cancel(); running.Wait() }
		w.instances = append(w.instances, x)
		x.UpdateEndpoints(endpointsOf(w.listed), time.Now())
	}
	return w.instances[len(w.instances)-count:]
}

// collect has the given instances write the origins of all.
func (w *world) collect(collectors ...*instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.collectors = collectors
}

func (w *world) collectorsFor(x *instance) (addresses []string, self bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	collectors := w.collectors
	if x.view != nil {
		collectors = x.view
	}
	for _, c := range collectors {
		addresses = append(addresses, c.opts.Incarnation)
	}
	return addresses, slices.Contains(collectors, x)
}

// Handle implements peer.Registrar.
func (x *instance) Handle(_ peer.Method, h peer.Handler) { x.handler = h }

// Call implements peer.Caller for all instances. Those that have been stopped do not answer.
func (w *world) Call(ctx context.Context, address string, _ peer.Method, req, _ any) error {
	time.Sleep(callDelay)
	w.mu.Lock()
	i := slices.IndexFunc(w.instances, func(c *instance) bool { return c.opts.Incarnation == address })
	c := w.instances[i]
	w.mu.Unlock()
	body, err := peer.Marshal(req)
	if err != nil {
		return err
	}
	_, err = c.handler(ctx, peer.Identity{}, body)
	return err
}

func (w *world) killAll() {
	for _, x := range w.instances {
		x.stop()
	}
	w.instances = nil
}

// list lists endpoints of the given origins at all instances that are not cut off.
func (w *world) list(origins ...Origin) {
	w.listed = origins
	for _, x := range w.instances {
		if x.cutAt.IsZero() {
			x.UpdateEndpoints(endpointsOf(origins), time.Now())
		}
	}
}

func endpointsOf(origins []Origin) (list catalog.EndpointList) {
	for i, o := range origins {
		list.Endpoints = append(list.Endpoints, catalog.Endpoint{ID: fmt.Sprint("e", i), Service: o.Service, SoftwareVersion: o.Version})
	}
	return list
}

// setCut cuts the instance off from the list of endpoints, or ends that.
func (x *instance) setCut(cut bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !cut {
		x.cutAt, x.since = time.Time{}, time.Now()
	} else {
		x.cutAt = time.Now()
	}
}

// setRecheck sets what brings the list of an instance up to date that is cut off.
func (x *instance) setRecheck(recheck func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.recheck = recheck
}

// recheckList is Options.RecheckList.
func (x *instance) recheckList(context.Context) error {
	start := time.Now()
	time.Sleep(callDelay)
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.cutAt.IsZero():
	case x.recheck == nil:
		return failure.New(failure.Unavailable, "", "cut off")
	default:
		x.recheck()
		x.cutAt = start
	}
	return nil
}

func (x *instance) confirmed() (latest, since time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.cutAt.IsZero() {
		return x.cutAt, x.since
	}
	return time.Now(), x.since
}

// maxWait is the longest time that Resolve takes while the store answers.
const maxWait = 1300 * time.Millisecond

// checkOrigin checks that x resolves a stream in time.
func (w *world) checkOrigin(x *instance, stream string, want Origin, services ...string) {
	w.t.Helper()
	start := time.Now()
	got, err := x.Resolve(w.t.Context(), stream, services)
	if err != nil || got != want {
		w.t.Errorf("stream %q at %s: %v, %v, want %v", stream, x.opts.Incarnation, got, err, want)
	}
	if took := time.Since(start); took > maxWait {
		w.t.Errorf("resolved after %s", took)
	}
}

// checkRefused checks that x refuses a stream in time, and says that nothing ran.
func (w *world) checkRefused(x *instance, stream string, within time.Duration) {
	w.t.Helper()
	start := time.Now()
	got, err := x.Resolve(w.t.Context(), stream, []string{"s"})
	if err == nil {
		w.t.Errorf("stream %q at %s: %v, want a refusal", stream, x.opts.Incarnation, got)
	} else if failure.Status(err.Kind) != 503 || err.Outcome != failure.NotRun || err.Remedy == "" {
		w.t.Errorf("%+v", err)
	}
	if took := time.Since(start); took > within {
		w.t.Errorf("refused after %s", took)
	}
}

func (w *world) storedVersions() []string {
	for _, x := range w.instances {
		x.Tracker.mu.Lock()
		defer x.Tracker.mu.Unlock()
		return slices.Clone(x.recordedVersions()["s"])
	}
	return nil
}
