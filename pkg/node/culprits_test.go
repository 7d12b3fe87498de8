package node

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
	"github.com/clementinerack/clementinerack/pkg/rendezvous"
)

// contactWindow is the users' bound: how long after the fifth death an instance may need to
// refuse requests, and how long after its start or the end of a partition.
const contactWindow = 3 * time.Second

const (
	crashing = quarantine.Trait(0xbad)
	shared   = quarantine.Trait(0xa)
)

// finderFleet connects culprit finders in memory.
type finderFleet struct {
	t     *testing.T
	store *memoryStore

	mu      sync.Mutex
	finders []*testFinder
	deaths  int
	// lost instances have ended and stay listed. They refuse calls, or do not answer them if
	// lostAreSilent is set.
	lost          map[*testFinder]bool
	lostAreSilent bool
	// deadAddress is what an attempt to connect to a dead endpoint returns.
	deadAddress error
	// listedEndpoints are listed beside those that are always listed.
	listedEndpoints []catalog.Endpoint
}

// testFinder is the culprit finder of one instance. It implements peer.Caller, peer.Registrar,
// culpritRoster and endpointProber for itself.
type testFinder struct {
	*culpritFinder
	fleet    *finderFleet
	stop     context.CancelFunc
	stopped  chan struct{}
	handlers map[peer.Method]peer.Handler

	mu        sync.Mutex
	cutSince  time.Time // zero if the instance is not cut off
	partition int       // instances reach those of the same one
	domain    string    // reported to the others, "" if none
}

func newFinderFleet(t *testing.T, instances int) *finderFleet {
	f := &finderFleet{t: t, store: &memoryStore{values: map[string][]byte{}}, lost: map[*testFinder]bool{}, deadAddress: syscall.ECONNREFUSED}
	for range instances {
		f.start()
	}
	t.Cleanup(func() {
		for _, finder := range f.running() {
			f.end(finder)
		}
	})
	return f
}

// start starts an instance.
func (f *finderFleet) start() *testFinder {
	f.mu.Lock()
	defer f.mu.Unlock()
	name := fmt.Sprint("i", len(f.finders))
	log := logrus.New()
	log.SetOutput(io.Discard)
	x := &testFinder{fleet: f, handlers: map[peer.Method]peer.Handler{}, stopped: make(chan struct{})}
	x.culpritFinder = newCulpritFinder(culpritOptions{self: peer.Identity{Instance: name, Incarnation: name, Address: name},
		peers: x, roster: x, store: f.store, prober: x, storeEra: f.store.currentEra, endpoints: f.endpoints, log: log, refusals: quarantine.NewRefusals(nil), survivals: quarantine.NewSurvivals()})
	x.registerPeer(x)
	ctx, cancel := context.WithCancel(context.Background())
	x.stop = cancel
	go func() { defer close(x.stopped); x.run(ctx) }()
	f.finders = append(f.finders, x)
	return x
}

// endpoints returns two endpoints of each failure domain, of which one accepts connections in
// domain d and none in cutDomain.
func (f *finderFleet) endpoints() []catalog.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]catalog.Endpoint{{ID: "n1", Domain: "d"}, {ID: "n2", Domain: "d", Address: accepting}, {ID: "n3", Domain: cutDomain}, {ID: "n4", Domain: cutDomain}}, f.listedEndpoints...)
}

// setListed replaces the further endpoints that are listed.
func (f *finderFleet) setListed(listed ...catalog.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listedEndpoints = listed
}

// accepting is the address of an endpoint that accepts connections; all others refuse them.
const (
	accepting = "accepting"
	cutDomain = "cut"
)

func (f *finderFleet) end(x *testFinder) {
	x.stop()
	<-x.stopped
}

// lose ends instances that stay listed.
func (f *finderFleet) lose(lost ...*testFinder) {
	f.mu.Lock()
	for _, x := range lost {
		f.lost[x] = true
	}
	f.mu.Unlock()
	for _, x := range lost {
		f.end(x)
	}
}

// listed returns the instances that are running or lost.
func (f *finderFleet) listed() []*testFinder {
	running := f.running()
	f.mu.Lock()
	defer f.mu.Unlock()
	for x := range f.lost {
		if !slices.Contains(running, x) {
			running = append(running, x)
		}
	}
	return running
}

func (f *finderFleet) running() []*testFinder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.finders), func(x *testFinder) bool {
		select {
		case <-x.stopped:
			return true
		default:
			return false
		}
	})
}

// crash has an endpoint die under a request with the given traits at an instance, and waits
// long enough to make it an occasion of its own.
func (f *finderFleet) crash(x *testFinder, traits ...quarantine.Trait) {
	f.deaths++
	x.RecordInterruption(catalog.Endpoint{ID: fmt.Sprint("e", f.deaths), Domain: "d"}, traits, quarantine.EndedHere)
	time.Sleep(150 * time.Millisecond)
}

// waitUntilRefused waits until all running instances that are not cut off refuse a request.
func (f *finderFleet) waitUntilRefused(within time.Duration, traits ...quarantine.Trait) {
	f.t.Helper()
	for deadline := time.Now().Add(within); ; time.Sleep(10 * time.Millisecond) {
		allows := slices.IndexFunc(f.running(), func(x *testFinder) bool { return !x.isCut() && x.CheckTraits(traits, time.Now()) == nil })
		if allows < 0 {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("instance %s does not refuse %x after %s", f.running()[allows].self.Instance, traits, within)
		}
	}
}

// checkAllowed checks that no instance refuses a request.
func (f *finderFleet) checkAllowed(traits ...quarantine.Trait) {
	f.t.Helper()
	for _, x := range f.running() {
		if err := x.CheckTraits(traits, time.Now()); err != nil {
			f.t.Errorf("instance %s: %v", x.self.Instance, err)
		}
	}
}

func (x *testFinder) isCut() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.cutSince.IsZero()
}

func (x *testFinder) setCut(cut bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cutSince = time.Time{}
	if cut {
		x.cutSince = time.Now()
	}
}

func (x *testFinder) Call(ctx context.Context, address string, method peer.Method, req, resp any) error {
	for _, to := range x.fleet.running() {
		if to.self.Address != address || to.isCut() || x.isCut() || to.partition != x.partition {
			continue
		}
		body, err := peer.Marshal(req)
		if err != nil {
			return err
		}
		answer, err := to.handlers[method](ctx, x.self, body)
		if err != nil || resp == nil {
			return err
		}
		if body, err = peer.Marshal(answer); err != nil {
			return err
		}
		return peer.Unmarshal(body, resp)
	}
	if x.fleet.lostAreSilent {
		<-ctx.Done()
	}
	return failure.New(failure.Unavailable, "", "no such instance")
}

func (x *testFinder) Handle(method peer.Method, h peer.Handler) { x.handlers[method] = h }

func (x *testFinder) Others() []peer.Identity {
	var others []peer.Identity
	for _, other := range x.fleet.listed() {
		if other != x {
			id := other.self
			id.Domain = other.domain
			others = append(others, id)
		}
	}
	return others
}

func (x *testFinder) IsSettled() bool { return true }

func (x *testFinder) ListedAt() time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.cutSince.IsZero() {
		return x.cutSince
	}
	return time.Now()
}

func (x *testFinder) TryConnect(_ context.Context, address string) error {
	if address == accepting || slices.ContainsFunc(x.fleet.running(), func(to *testFinder) bool {
		return to != x && to.self.Address == address && to.partition == x.partition
	}) {
		return nil
	}
	return x.fleet.deadAddress
}

// memoryStore implements culpritStore for writes and ranges.
type memoryStore struct {
	kvstore.RangeReader
	mu     sync.Mutex
	values map[string][]byte
	era    uint64
}

func (s *memoryStore) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// restoreEmpty returns the store to an empty copy.
func (s *memoryStore) restoreEmpty() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	clear(s.values)
}

func (s *memoryStore) Commit(_ context.Context, t kvstore.Transaction) (uint64, []kvstore.Item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range t.Write {
		s.values[w.Key] = w.Value
	}
	for _, key := range t.Remove {
		delete(s.values, key)
	}
	return 1, nil, nil
}

func (s *memoryStore) Range(_ context.Context, prefix string, _ bool) ([]kvstore.Item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var items []kvstore.Item
	for key, value := range s.values {
		if strings.HasPrefix(key, prefix) {
			items = append(items, kvstore.Item{Key: key, Value: value})
		}
	}
	return items, 1, nil
}

func (s *memoryStore) isEmpty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.values) == 0
}

// Guards against an instance that goes on sending requests that crashed endpoints of others.
func TestCulpritIsRefusedByAllInstances(t *testing.T) {
	t.Parallel()
	for _, instances := range []int{1, 2, 9, 60} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			t.Parallel()
			f := newFinderFleet(t, instances)
			for i := range 5 {
				f.crash(f.finders[i%instances], crashing, quarantine.Trait(100+i), quarantine.Trait(200+i%2))
			}
			f.waitUntilRefused(contactWindow, crashing, 300)
			f.checkAllowed(100, 200)
		})
	}
}

// waitUntilStored waits until a refusal is in the store.
func (f *finderFleet) waitUntilStored() {
	f.t.Helper()
	for deadline := time.Now().Add(contactWindow); f.store.isEmpty(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatal("the refusal is not stored")
		}
	}
}

// Guards against a refusal that is forgotten when all instances end at once, also after the store lost it.
func TestRefusalOutlastsAllInstances(t *testing.T) {
	t.Parallel()
	f := newFinderFleet(t, 4)
	for i := range 3 {
		f.crash(f.finders[i], crashing)
	}
	f.waitUntilRefused(contactWindow, crashing)
	f.waitUntilStored()
	f.store.restoreEmpty()
	f.waitUntilStored()
	for _, x := range f.running() {
		f.end(x)
	}
	for range 5 {
		f.start()
	}
	f.waitUntilRefused(contactWindow, crashing)
}

// Guards against an instance that returns from a partition and sends what the others refuse.
func TestInstanceThatWasCutOffLearnsWhatIsRefused(t *testing.T) {
	t.Parallel()
	f := newFinderFleet(t, 6)
	time.Sleep(2 * culpritInterval) // until all have learned that nothing is refused
	for _, x := range f.finders[4:] {
		x.setCut(true)
	}
	for i := range 3 {
		f.crash(f.finders[i], crashing)
	}
	f.waitUntilRefused(contactWindow, crashing)
	time.Sleep(maxMissedLists)
	for _, x := range f.finders[4:] {
		x.setCut(false)
	}
	f.waitUntilRefused(contactWindow, crashing)
}

// Guards against deaths that are forgotten when the instances that collect them end.
func TestCollectorsAreReplaced(t *testing.T) {
	t.Parallel()
	f := newFinderFleet(t, 8)
	ranked, _ := f.finders[0].rankCollectors(time.Now())
	isCollector := func(x *testFinder) bool {
		return slices.ContainsFunc(ranked, func(id peer.Identity) bool { return id == x.self })
	}
	others := slices.DeleteFunc(f.running(), isCollector)
	for _, x := range others[:2] {
		f.crash(x, crashing)
	}
	time.Sleep(culpritInterval)
	for _, x := range f.running() {
		if isCollector(x) {
			f.end(x)
		}
	}
	f.crash(others[2], crashing)
	f.waitUntilRefused(contactWindow, crashing)
}

// Guards against a part that crashes endpoints and comes in several requests at a time, which is refused only after several bursts.
func TestPartThatCrashesSeveralEndpointsAtOnceIsRefused(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct{ burst, bursts, parts int }{{6, 1, 1}, {3, 2, 1}, {2, 3, 1}, {25, 1, 1}, {6, 3, 2}, {6, 3, 3}} {
		t.Run(fmt.Sprintf("%d bursts of %d, %d parts", tc.bursts, tc.burst, tc.parts), func(t *testing.T) {
			t.Parallel()
			f := newFinderFleet(t, 9)
			f.finders[0].RecordSurvival([]quarantine.Trait{shared}, time.Now())
			for b := range tc.bursts {
				time.Sleep(time.Duration(b) * 400 * time.Millisecond)
				for e := range tc.burst {
					f.finders[e%9].RecordInterruption(catalog.Endpoint{ID: fmt.Sprint("e", b, "-", e), Domain: "d"},
						[]quarantine.Trait{shared, crashing + quarantine.Trait(e%tc.parts), quarantine.Trait(1000 + 100*b + e)}, quarantine.EndedHere)
				}
			}
			for p := range tc.parts {
				f.waitUntilRefused(contactWindow, crashing+quarantine.Trait(p), 300)
			}
			f.checkAllowed(shared, 300)
		})
	}
}

// Guards against sound parts that are refused because their requests ran on endpoints that died.
func TestSoundPartsAreNotRefused(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		desc     string
		deaths   int
		without  int // further endpoints that die without the part
		survived bool
	}{
		{"four endpoints that die together", 4, 0, false},
		{"endpoints that die together, one without the part", 8, 1, false},
		{"endpoints that die together after the part survived", 8, 0, true},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			t.Parallel()
			f := newFinderFleet(t, 4)
			if tc.survived {
				f.finders[2].RecordSurvival([]quarantine.Trait{shared}, time.Now())
				time.Sleep(2 * time.Second)
			}
			for e := range tc.deaths + tc.without {
				trait := shared
				if e >= tc.deaths {
					trait = shared + 1
				}
				for _, x := range f.finders {
					x.RecordInterruption(catalog.Endpoint{ID: fmt.Sprint("together", e), Domain: "d"}, []quarantine.Trait{trait}, quarantine.EndedHere)
				}
			}
			time.Sleep(contactWindow)
			f.checkAllowed(shared)
		})
	}
	t.Run("failure domain that refuses all connections", func(t *testing.T) {
		t.Parallel()
		f := newFinderFleet(t, 4)
		for i := range 5 {
			f.finders[i%4].RecordInterruption(catalog.Endpoint{ID: fmt.Sprint("cut", i), Domain: cutDomain}, []quarantine.Trait{shared}, quarantine.EndedHere)
			time.Sleep(150 * time.Millisecond)
		}
		time.Sleep(contactWindow)
		f.checkAllowed(shared)
	})
	t.Run("survives at an instance without deaths", func(t *testing.T) {
		t.Parallel()
		f := newFinderFleet(t, 4)
		for i := range 5 {
			f.crash(f.finders[i%3], crashing, shared)
			f.finders[3].RecordSurvival([]quarantine.Trait{shared}, time.Now())
		}
		f.waitUntilRefused(contactWindow, crashing)
		f.checkAllowed(shared)
	})
}

// Guards against deaths that are taken for a partition because all endpoints of a failure domain are down together.
func TestDeathsAmongEndpointsThatAreAllDownAreCounted(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		desc     string
		domains  []string // of the instances
		refused  bool
		isolated int // instances from this one on are cut off from the first ones
	}{
		{"an instance in the domain answers", []string{"d", cutDomain, "d", "d"}, true, 4},
		{"the reporting instance is in the domain", []string{cutDomain, "d", "d", "d"}, true, 4},
		{"no instance in the domain", []string{"d", "d", "d", "d"}, false, 4},
		{"the instance in the domain is cut off", []string{"d", "d", "d", cutDomain}, false, 3},
		{"the reporting instance is cut off with the domain", []string{cutDomain, "d", "d", "d"}, false, 1},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			t.Parallel()
			f := newFinderFleet(t, 0)
			for i, domain := range tc.domains {
				x := f.start()
				x.domain, x.self.Domain = domain, domain
				if i >= tc.isolated {
					x.partition = 1
				}
			}
			for i := range 3 {
				f.finders[0].RecordInterruption(catalog.Endpoint{ID: fmt.Sprint("e", i), Domain: cutDomain}, []quarantine.Trait{crashing}, quarantine.EndedHere)
				time.Sleep(150 * time.Millisecond)
			}
			if tc.refused {
				f.waitUntilRefused(contactWindow, crashing)
				return
			}
			time.Sleep(contactWindow)
			f.checkAllowed(crashing)
		})
	}
}

// Guards against requests that crash endpoints and are never refused because dead addresses do not refuse connections.
func TestDeathsAreCountedHoweverTheAddressAnswers(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		desc    string
		address error
		ending  quarantine.Ending
		leaves  bool // the registrations end after a while
		refused bool
	}{
		{"refused", syscall.ECONNREFUSED, quarantine.Closed, false, true},
		{"no answer", context.DeadlineExceeded, quarantine.Closed, false, true},
		{"no route", syscall.EHOSTUNREACH, quarantine.Closed, false, true},
		{"a proxy accepts", nil, quarantine.Closed, true, true},
		{"a proxy resets", syscall.ECONNRESET, quarantine.Reset, true, true},
		{"the endpoint lives and breaks off", nil, quarantine.Closed, false, false},
		{"cut off", context.DeadlineExceeded, quarantine.EndedHere, true, false},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			t.Parallel()
			f := newFinderFleet(t, 3)
			f.deadAddress = tc.address
			var listed []catalog.Endpoint
			for i := range 3 {
				listed = append(listed, catalog.Endpoint{ID: fmt.Sprint("e", i), Domain: "d", Started: 5})
			}
			f.setListed(listed...)
			for i, e := range listed {
				f.finders[i].RecordInterruption(e, []quarantine.Trait{crashing}, tc.ending)
				time.Sleep(150 * time.Millisecond)
			}
			if tc.leaves {
				time.Sleep(time.Second)
				f.setListed()
			}
			if tc.refused {
				f.waitUntilRefused(contactWindow, crashing)
				return
			}
			time.Sleep(contactWindow)
			f.checkAllowed(crashing)
		})
	}
}

// Guards against a minority that takes endpoints behind a partition for dead, and against one that never refuses what crashes endpoints.
func TestMinorityNeedsMoreEvidence(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		desc     string
		deaths   int
		domain   string // of the endpoints
		survives bool   // at the other instance of the minority
		refused  bool
	}{
		{desc: "four deaths", deaths: 4, domain: "d"},
		{desc: "five deaths", deaths: 5, domain: "d", refused: true},
		{desc: "endpoints behind the partition", deaths: 10, domain: cutDomain},
		{desc: "a survival in the minority", deaths: 10, domain: "d", survives: true},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			t.Parallel()
			f := newFinderFleet(t, 7)
			for _, x := range f.finders[5:] {
				x.partition = 1
			}
			for i := range tc.deaths {
				if tc.survives {
					f.finders[5+(i+1)%2].RecordSurvival([]quarantine.Trait{shared}, time.Now())
				}
				f.finders[5+i%2].RecordInterruption(catalog.Endpoint{ID: fmt.Sprint("e", i), Domain: tc.domain}, []quarantine.Trait{shared}, quarantine.EndedHere)
				time.Sleep(150 * time.Millisecond)
			}
			time.Sleep(contactWindow)
			for _, x := range f.finders[5:] {
				if refused := x.CheckTraits([]quarantine.Trait{shared}, time.Now()) != nil; refused != tc.refused {
					t.Errorf("instance %s: refused %t", x.self.Instance, refused)
				}
			}
		})
	}
}

// Guards against a minority that goes on sending what the other instances refuse and have stored.
func TestMinorityLearnsFromTheStore(t *testing.T) {
	t.Parallel()
	f := newFinderFleet(t, 7)
	for _, x := range f.finders[5:] {
		x.partition = 1
	}
	for i := range 3 {
		f.crash(f.finders[i], crashing)
		f.crash(f.finders[5], crashing)
	}
	f.waitUntilRefused(contactWindow, crashing)
}

// Guards against deaths that nobody counts after the loss of most instances, which stay listed for seconds.
func TestCulpritIsRefusedAfterTheLossOfMostInstances(t *testing.T) {
	t.Parallel()
	for _, silent := range []bool{false, true} {
		for _, tc := range []struct{ instances, left, known int }{{9, 3, 0}, {9, 1, 0}, {60, 20, 0}, {9, 3, 2}} {
			t.Run(fmt.Sprintf("%d of %d left, silent %t, %d deaths before", tc.left, tc.instances, silent, tc.known), func(t *testing.T) {
				t.Parallel()
				f := newFinderFleet(t, tc.instances)
				f.lostAreSilent = silent
				ranked := slices.Clone(f.finders)
				slices.SortFunc(ranked, func(a, b *testFinder) int { // the lost ones are those that collected deaths
					return cmp.Compare(rendezvous.Hash(a.self.Incarnation), rendezvous.Hash(b.self.Incarnation))
				})
				lost, left := ranked[:tc.instances-tc.left], ranked[tc.instances-tc.left:]
				for i := range tc.known {
					f.crash(left[i%len(left)], crashing, shared)
				}
				f.lose(lost...)
				for i := range 5 - tc.known {
					f.crash(left[i%len(left)], crashing, shared)
					left[0].RecordSurvival([]quarantine.Trait{shared}, time.Now())
				}
				f.waitUntilRefused(contactWindow, crashing, 300)
				f.checkAllowed(shared)
			})
		}
	}
}

// Guards against sound requests that stay refused although one of them ends well.
func TestRefusalIsLiftedWhenSuchARequestEndsWell(t *testing.T) {
	t.Parallel()
	f := newFinderFleet(t, 6)
	for i := range 3 {
		f.crash(f.finders[i], shared)
	}
	f.waitUntilRefused(contactWindow, shared)
	f.finders[5].RecordSurvival([]quarantine.Trait{shared, 100}, time.Now())
	time.Sleep(2 * culpritInterval) // in which collectors would repeat the refusal
	f.checkAllowed(shared)
	if !f.store.isEmpty() {
		t.Error("the lifted refusal is still stored")
	}
}
