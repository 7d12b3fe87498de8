package shard

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

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/grant"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/kvstore/kvstoretest"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/peer/peertest"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// testCluster runs several instances in one process: real managers and routers over an
// in-memory store and network, with liveness set by the test.
type testCluster struct {
	t               *testing.T
	ctx             context.Context
	net             *peertest.Network
	store           *kvstoretest.Fake
	instances       map[string]*testInstance
	lastIncarnation int

	mu         sync.Mutex
	live       map[string]peer.Identity // by incarnation
	draining   map[string]bool          // by incarnation
	silent     map[string]bool          // by incarnation: not live in the view of instances that are not draining
	hook       func(point string)
	standing   []ledger.BudgetKey       // budgets of which owners hold a standing share
	executions map[string]int           // by request id
	costs      map[string]ledger.Tokens // actual cost by request id
	outcomes   map[string]string        // last outcome that the caller was told, by request id
}

type testInstance struct {
	cluster *testCluster
	id      peer.Identity
	manager *Manager
	router  *Router
	cancel  context.CancelFunc
	done    chan struct{}
	resumed chan struct{}
	stopped bool
}

const (
	testShards = 2
	// testTransferPartBytes is small, so that each state is transferred in several parts.
	testTransferPartBytes = 200
	testDomainA           = "ikeja"
	testDomainB           = "yaba"
)

var testBudget = ledger.BudgetKey{Workspace: "meals", Budget: "rounds"}

// runCluster runs fn in a synctest bubble with a fake clock, then checks the invariants.
func runCluster(t *testing.T, fn func(c *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &testCluster{
			t: t, ctx: ctx, net: peertest.NewNetwork(), store: kvstoretest.NewFake(),
			instances: map[string]*testInstance{}, live: map[string]peer.Identity{}, draining: map[string]bool{}, silent: map[string]bool{},
			executions: map[string]int{}, costs: map[string]ledger.Tokens{}, outcomes: map[string]string{},
		}
		fn(c)
		c.checkInvariants()
		for _, n := range c.instances {
			n.resume()
			n.cancel()
			<-n.done
		}
		cancel()
		c.net.Close()
		synctest.Wait()
	})
}

func (c *testCluster) startInstance(name, domain string) *testInstance {
	c.lastIncarnation++
	id := peer.Identity{Instance: name, Incarnation: fmt.Sprintf("%s-%d", name, c.lastIncarnation), Domain: domain, Address: name + ":7000"}
	ctx, cancel := context.WithCancel(c.ctx)
	n := &testInstance{cluster: c, id: id, cancel: cancel, done: make(chan struct{})}
	end := c.net.StartNode(id)
	caller := &hookedCaller{c, end}
	log := logrus.New()
	log.SetOutput(io.Discard)
	domains := func() []string { return []string{testDomainA, testDomainB} }
	shards := func() int { return testShards }
	timing := DefaultTiming()
	timing.SealInterval = 5 * time.Second
	n.manager = NewManager(Options{
		Self: id, Store: &hookedStore{c, c.store.Client(name)}, Peers: caller, Members: n, Shards: shards,
		Policy: func() grant.Policy { return grant.Default(len(domains())) },
		StandingBudgets: func() []ledger.BudgetKey {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.standing
		},
		Retention: ledger.Retention{Repeatable: 10 * time.Minute, NonRepeatable: 24 * time.Hour},
		Recall: func(ctx context.Context, s ledger.ShardID, b ledger.BudgetKey) (ledger.Tokens, error) {
			return n.router.Recall(ctx, s, b)
		},
		Timing: timing, Log: log, TransferPartBytes: testTransferPartBytes,
	})
	n.router = NewRouter(RouterOptions{Manager: n.manager, Peers: caller, Members: n, Domains: domains, Shards: shards})
	n.manager.Register(end)
	c.mu.Lock()
	c.live[id.Incarnation] = id
	c.mu.Unlock()
	c.instances[name] = n
	go func() { n.manager.Run(ctx); close(n.done) }()
	return n
}

// runFor lets the cluster run for d and then until all goroutines are blocked.
func (c *testCluster) runFor(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// kill ends an instance abruptly. The others see at once that it is not live.
func (n *testInstance) kill() {
	n.setLive(false)
	n.stopped = true
	n.cluster.net.Stop(n.id.Address)
	n.cancel()
}

// exit ends an instance right after its drain, as a process does. The others notice when
// its heartbeats time out; draining instances notice a little later.
func (n *testInstance) exit() {
	n.cluster.net.Stop(n.id.Address)
	n.cancel()
	n.stopped = true
	go func() {
		time.Sleep(2500 * time.Millisecond)
		n.cluster.mu.Lock()
		n.cluster.silent[n.id.Incarnation] = true
		n.cluster.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		n.setLive(false)
	}()
}

// pause blocks the control goroutine and all messages of an instance until resume.
func (n *testInstance) pause() {
	if n.resumed != nil {
		return
	}
	n.cluster.net.Pause(n.id.Address)
	n.resumed = make(chan struct{})
	resumed := n.resumed
	go n.manager.post(func() { <-resumed })
}

func (n *testInstance) resume() {
	if n.resumed == nil {
		return
	}
	close(n.resumed)
	n.resumed = nil
	n.cluster.net.Resume(n.id.Address)
}

func (n *testInstance) setLive(live bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if live && !n.stopped {
		n.cluster.live[n.id.Incarnation] = n.id
	} else {
		delete(n.cluster.live, n.id.Incarnation)
	}
}

// Live, LiveIn, IsLive and IsDraining implement Members.
func (n *testInstance) Live() []peer.Identity { return n.LiveIn(n.id.Domain) }

func (n *testInstance) LiveIn(domain string) []peer.Identity {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var out []peer.Identity
	for _, incarnation := range slices.Sorted(maps.Keys(n.cluster.live)) {
		if id := n.cluster.live[incarnation]; id.Domain == domain || id.Incarnation == n.id.Incarnation && domain == n.id.Domain {
			out = append(out, id)
		}
	}
	return out
}

func (n *testInstance) IsLive(incarnation string) bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	_, ok := n.cluster.live[incarnation]
	if n.cluster.silent[incarnation] && !n.cluster.draining[n.id.Incarnation] {
		return false
	}
	return ok || incarnation == n.id.Incarnation
}

func (n *testInstance) IsDraining(incarnation string) bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.draining[incarnation]
}

// setDraining marks the instance as draining in the view of all instances.
func (n *testInstance) setDraining() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.cluster.draining[n.id.Incarnation] = true
}

// hookedCaller calls the cluster's hook before and after each call.
type hookedCaller struct {
	cluster *testCluster
	next    peer.Caller
}

func (c *hookedCaller) Call(ctx context.Context, address string, method peer.Method, req, resp any) error {
	c.cluster.reach("before " + string(method))
	err := c.next.Call(ctx, address, method, req, resp)
	c.cluster.reach("after " + string(method))
	return err
}

// hookedStore calls the cluster's hook before and after each write.
type hookedStore struct {
	cluster *testCluster
	kvstore.Store
}

func (s *hookedStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error) {
	prefix, _, _ := strings.Cut(key, "/")
	s.cluster.reach("before swap " + prefix)
	v, err := s.Store.CompareAndSwap(ctx, key, expect, value)
	s.cluster.reach("after swap " + prefix)
	return v, err
}

// reach calls the hook, if one is set, with the point that was reached.
func (c *testCluster) reach(point string) {
	c.mu.Lock()
	hook := c.hook
	c.mu.Unlock()
	if hook != nil {
		hook(point)
	}
}

// hookOnce sets a hook that runs fn the first time point is reached.
func (c *testCluster) hookOnce(point string, fn func()) {
	var fired sync.Once
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hook = func(p string) {
		if p == point {
			fired.Do(fn)
		}
	}
}

// hookEach sets a hook that runs fn each time point is reached.
func (c *testCluster) hookEach(point string, fn func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hook = func(p string) {
		if p == point {
			fn()
		}
	}
}

// topUp pays tokens into the test budget as an operator does.
func (c *testCluster) topUp(command string, amount ledger.Tokens) error {
	store := c.store.Client("operator")
	for range 20 {
		rec, err := store.Get(c.ctx, testBudget.StoreKey())
		if err != nil {
			return err
		}
		b, err := ledger.DecodeBudget(rec.Value)
		if err != nil {
			return err
		}
		if changed, err := b.TopUp(command, amount); err != nil || !changed {
			return err
		}
		data, _ := b.Encode()
		if _, err = store.CompareAndSwap(c.ctx, testBudget.StoreKey(), rec.Version, data); err == nil {
			return nil
		}
	}
	return failure.New(failure.Conflict, "retry", "budget changed too often")
}

func (c *testCluster) budget() *ledger.BudgetRecord {
	b, err := ledger.DecodeBudget(c.store.Record(testBudget.StoreKey()).Value)
	if err != nil {
		c.t.Fatal(err)
	}
	return b
}

// testRequest is one call of a caller; cost is what the endpoint reports.
type testRequest struct {
	id         string
	reserve    ledger.Tokens
	cost       ledger.Tokens
	repeatable bool
}

// newRequest returns a request with an id issued by the instance.
func (n *testInstance) newRequest(reserve, cost ledger.Tokens) testRequest {
	id, err := n.router.NewID(testBudget)
	if err != nil {
		n.cluster.t.Fatal(err)
	}
	return testRequest{id: id.String(), reserve: reserve, cost: cost}
}

var lastCall uint64

// send handles a request as an entry instance does: it reserves, dispatches to the
// endpoint and settles. It returns the outcome that the caller is told.
func (n *testInstance) send(req testRequest, timeout time.Duration) string {
	ctx, cancel := context.WithTimeout(n.cluster.ctx, timeout)
	defer cancel()
	n.cluster.mu.Lock()
	lastCall++
	call := lastCall
	n.cluster.mu.Unlock()
	reserve := ledger.ReserveRequest{
		ID: req.id, Budget: testBudget, Service: "rounds-app", Fingerprint: []byte(req.id[:2]), Amount: req.reserve,
		Repeatable: req.repeatable, KeepAnswer: true, Dispatcher: n.id.Incarnation, DispatcherAddress: n.id.Address, Call: call,
	}
	reply, err := n.reserveWithRetries(ctx, reserve)
	if err != nil {
		return "unknown"
	}
	n.cluster.reach("admitted")
	switch reply.Decision {
	case ledger.Admitted:
		return n.dispatch(ctx, req, reply)
	case ledger.Exhausted, ledger.Refused:
		return "not-run"
	case ledger.Answered, ledger.AnswerDropped:
		return "answered"
	}
	return "unknown"
}

func (n *testInstance) reserveWithRetries(ctx context.Context, req ledger.ReserveRequest) (ledger.ReserveReply, error) {
	for {
		attempt, cancel := context.WithTimeout(ctx, 3*time.Second)
		reply, err := n.router.Reserve(attempt, req)
		cancel()
		if err == nil || ctx.Err() != nil {
			return reply, err
		}
		wait.Sleep(ctx, 200*time.Millisecond)
	}
}

func (n *testInstance) dispatch(ctx context.Context, req testRequest, reply ledger.ReserveReply) string {
	c := n.cluster
	c.mu.Lock()
	dead := c.live[n.id.Incarnation].Incarnation == "" && n.resumed == nil
	if !dead {
		c.executions[req.id]++
		c.costs[req.id] = req.cost
	}
	c.mu.Unlock()
	if dead {
		return "unknown"
	}
	c.reach("executed")
	settle := ledger.SettleRequest{ID: req.id, Attempt: reply.Attempt, End: ledger.EndComplete, Charge: req.cost,
		Answer: &ledger.StoredAnswer{Status: 200, Body: []byte("ok")}}
	for ctx.Err() == nil {
		attempt, cancel := context.WithTimeout(ctx, 3*time.Second)
		_, err := n.router.Settle(attempt, settle)
		cancel()
		if err == nil || failure.Is(err, failure.NotFound) {
			break
		}
		wait.Sleep(ctx, 200*time.Millisecond)
	}
	c.reach("settled")
	return "answered"
}

// checkInvariants verifies the invariants for all requests of the test.
func (c *testCluster) checkInvariants() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.budget()
	if b.Unassigned() < 0 {
		c.t.Errorf("rights exceed what was paid by %d tokens", -b.Unassigned())
	}
	var total ledger.Tokens
	for id, n := range c.executions {
		total += c.costs[id]
		if n > 1 {
			c.t.Errorf("request %s ran %d times", id, n)
		}
		if c.outcomes[id] == "not-run" {
			c.t.Errorf("request %s ran, but its caller was told that it did not", id)
		}
	}
	if total > b.Paid {
		c.t.Errorf("overspend: %d tokens used, %d paid", total, b.Paid)
	}
	c.checkBills(b.Paid)
}

func (c *testCluster) checkBills(paid ledger.Tokens) {
	seen := map[string]bool{}
	var total ledger.Tokens
	for _, line := range c.bills() {
		if seen[line.ID] {
			c.t.Errorf("request %s was billed twice", line.ID)
		}
		seen[line.ID] = true
		total += line.Tokens
		if c.executions[line.ID] == 0 {
			c.t.Errorf("request %s was billed but never ran", line.ID)
		}
	}
	if total > paid {
		c.t.Errorf("bills of %d tokens exceed the %d that were paid", total, paid)
	}
}

const maxCheckedEpochs, maxCheckedSegments = 40, 40

// checkMapStable verifies that the shard map does not change. Shards that are handed back
// and forth cost writes and refuse requests briefly at each handover.
func (c *testCluster) checkMapStable() {
	c.t.Helper()
	before := c.store.Record(StoreKey(testDomainA))
	c.runFor(20 * time.Second)
	if after := c.store.Record(StoreKey(testDomainA)); after.Version != before.Version {
		c.t.Errorf("the shard map changed %d times in 20 s without a fault", after.Version-before.Version)
	}
}

// bills reads all bill segments of the store.
func (c *testCluster) bills() []ledger.BillLine {
	var out []ledger.BillLine
	for _, n := range c.instances {
		if m, _ := n.manager.MapView(); m != nil {
			for shard, e := range m.Shards {
				if e.Epoch >= maxCheckedEpochs {
					c.t.Errorf("shard %d reached epoch %d, bills are read below epoch %d", shard, e.Epoch, maxCheckedEpochs)
				}
			}
		}
	}
	for _, domain := range []string{testDomainA, testDomainB} {
		for shard := range testShards {
			for epoch := range uint64(maxCheckedEpochs) {
				for seq := range uint64(maxCheckedSegments) {
					rec := c.store.Record(BillKey(ledger.ShardID{Domain: domain, Shard: shard}, epoch, seq))
					if rec.Version == 0 {
						break
					}
					lines, err := DecodeBills(rec.Value)
					if err != nil {
						c.t.Fatal(err)
					}
					out = append(out, lines...)
				}
			}
		}
	}
	return out
}

// ownerOf returns the instance that serves the test budget's shard in a domain, or nil.
func (c *testCluster) ownerOf(domain string) *testInstance {
	shard := ledger.ShardOf(testBudget, testShards)
	for _, n := range c.instances {
		if n.id.Domain != domain || n.resumed != nil {
			continue
		}
		owns := false
		_ = n.manager.do(c.ctx, func() { owns = n.manager.replica(shard).role == roleOwner })
		if owns {
			return n
		}
	}
	return nil
}

// backupOf returns the instance that the map names as backup of the test budget's shard
// in a domain, or nil.
func (c *testCluster) backupOf(domain string) *testInstance {
	shard := ledger.ShardOf(testBudget, testShards)
	for _, n := range c.instances {
		m, _ := n.manager.MapView()
		if n.id.Domain == domain && m != nil && isSameIncarnation(m.Shards[shard].Backup, n.id) {
			return n
		}
	}
	return nil
}

// otherInstance returns an instance of the domain that is not excluded, or nil.
func (c *testCluster) otherInstance(domain string, excluded ...*testInstance) *testInstance {
	for _, name := range slices.Sorted(maps.Keys(c.instances)) {
		n := c.instances[name]
		if n.id.Domain == domain && !slices.Contains(excluded, n) {
			return n
		}
	}
	return nil
}
