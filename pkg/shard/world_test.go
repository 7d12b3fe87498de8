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

// world is a small fleet in one process: real managers and routers over the
// in-memory store and network, with liveness set by the test.
type world struct {
	t     *testing.T
	ctx   context.Context
	net   *peertest.Network
	store *kvstoretest.Fake
	nodes map[string]*node
	seq   int

	mu       sync.Mutex
	live     map[string]peer.Identity // by incarnation
	draining map[string]bool          // by incarnation
	silent   map[string]bool          // by incarnation: gone, as instances that do not stop see it
	hook     func(point string)
	standing []ledger.BudgetKey       // budgets of which owners hold a standing share
	runs     map[string]int           // executions by request id
	spent    map[string]ledger.Tokens // true cost by request id
	told     map[string]string        // what the caller was told last, by request id
}

type node struct {
	w        *world
	id       peer.Identity
	manager  *Manager
	router   *Router
	cancel   context.CancelFunc
	finished chan struct{}
	thaw     chan struct{}
	dead     bool
}

const (
	testShards = 2
	// testTransferPart is small, so that each state travels in several parts.
	testTransferPart = 200
	testDomainA      = "ikeja"
	testDomainB      = "yaba"
)

var testBudget = ledger.BudgetKey{Workspace: "meals", Budget: "rounds"}

// runWorld runs fn in a bubble with a fake clock, then checks the invariants.
func runWorld(t *testing.T, fn func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{
			t: t, ctx: ctx, net: peertest.NewNetwork(), store: kvstoretest.NewFake(),
			nodes: map[string]*node{}, live: map[string]peer.Identity{}, draining: map[string]bool{}, silent: map[string]bool{},
			runs: map[string]int{}, spent: map[string]ledger.Tokens{}, told: map[string]string{},
		}
		fn(w)
		w.check()
		for _, n := range w.nodes {
			n.resume()
			n.cancel()
			<-n.finished
		}
		cancel()
		w.net.Close()
		synctest.Wait()
	})
}

func (w *world) start(name, domain string) *node {
	w.seq++
	id := peer.Identity{Instance: name, Incarnation: fmt.Sprintf("%s-%d", name, w.seq), Domain: domain, Address: name + ":7000"}
	ctx, cancel := context.WithCancel(w.ctx)
	n := &node{w: w, id: id, cancel: cancel, finished: make(chan struct{})}
	end := w.net.Node(id)
	caller := &hookedCaller{w, end}
	log := logrus.New()
	log.SetOutput(io.Discard)
	domains := func() []string { return []string{testDomainA, testDomainB} }
	shards := func() int { return testShards }
	timing := DefaultTiming()
	timing.SealInterval = 5 * time.Second
	n.manager = NewManager(Options{
		Self: id, Store: &hookedStore{w, w.store.Client(name)}, Peers: caller, Members: n, Shards: shards,
		Policy: func() grant.Policy { return grant.Default(len(domains())) },
		StandingBudgets: func() []ledger.BudgetKey {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.standing
		},
		Retention: ledger.Retention{Repeatable: 10 * time.Minute, NonRepeatable: 24 * time.Hour},
		Recall: func(ctx context.Context, s ledger.ShardID, b ledger.BudgetKey) (ledger.Tokens, error) {
			return n.router.Recall(ctx, s, b)
		},
		Timing: timing, Log: log, TransferPartBytes: testTransferPart,
	})
	n.router = NewRouter(RouterOptions{Manager: n.manager, Peers: caller, Members: n, Domains: domains, Shards: shards})
	n.manager.Register(end)
	w.mu.Lock()
	w.live[id.Incarnation] = id
	w.mu.Unlock()
	w.nodes[name] = n
	go func() { n.manager.Run(ctx); close(n.finished) }()
	return n
}

// settle lets the fleet run for d.
func (w *world) settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// kill ends an instance without any goodbye.
func (n *node) kill() {
	n.setLive(false)
	n.dead = true
	n.w.net.Stop(n.id.Address)
	n.cancel()
}

// exit ends an instance right after its drain, as a process does. The others
// notice by the silence of its heartbeats, those that stop a little later.
func (n *node) exit() {
	n.w.net.Stop(n.id.Address)
	n.cancel()
	n.dead = true
	go func() {
		time.Sleep(2500 * time.Millisecond)
		n.w.mu.Lock()
		n.w.silent[n.id.Incarnation] = true
		n.w.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		n.setLive(false)
	}()
}

// pause freezes the control goroutine and all messages of an instance.
func (n *node) pause() {
	if n.thaw != nil {
		return
	}
	n.w.net.Pause(n.id.Address)
	n.thaw = make(chan struct{})
	thaw := n.thaw
	go n.manager.post(func() { <-thaw })
}

func (n *node) resume() {
	if n.thaw == nil {
		return
	}
	close(n.thaw)
	n.thaw = nil
	n.w.net.Resume(n.id.Address)
}

func (n *node) setLive(live bool) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if live && !n.dead {
		n.w.live[n.id.Incarnation] = n.id
	} else {
		delete(n.w.live, n.id.Incarnation)
	}
}

// Live, LiveIn, IsLive and IsDraining make the node its own Members.
func (n *node) Live() []peer.Identity { return n.LiveIn(n.id.Domain) }

func (n *node) LiveIn(domain string) []peer.Identity {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	var out []peer.Identity
	for _, incarnation := range slices.Sorted(maps.Keys(n.w.live)) {
		if id := n.w.live[incarnation]; id.Domain == domain || id.Incarnation == n.id.Incarnation && domain == n.id.Domain {
			out = append(out, id)
		}
	}
	return out
}

func (n *node) IsLive(incarnation string) bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	_, ok := n.w.live[incarnation]
	if n.w.silent[incarnation] && !n.w.draining[n.id.Incarnation] {
		return false
	}
	return ok || incarnation == n.id.Incarnation
}

func (n *node) IsDraining(incarnation string) bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.w.draining[incarnation]
}

// setDraining marks the node as stopping for all members.
func (n *node) setDraining() {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.w.draining[n.id.Incarnation] = true
}

// hookedCaller reports calls to the world's hook before and after they happen.
type hookedCaller struct {
	w    *world
	next peer.Caller
}

func (c *hookedCaller) Call(ctx context.Context, address string, method peer.Method, req, resp any) error {
	c.w.at("before " + string(method))
	err := c.next.Call(ctx, address, method, req, resp)
	c.w.at("after " + string(method))
	return err
}

// hookedStore reports writes to the world's hook before and after they happen.
type hookedStore struct {
	w *world
	kvstore.Store
}

func (s *hookedStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error) {
	prefix, _, _ := strings.Cut(key, "/")
	s.w.at("before swap " + prefix)
	v, err := s.Store.CompareAndSwap(ctx, key, expect, value)
	s.w.at("after swap " + prefix)
	return v, err
}

// at runs the hook once, if it is set for this point.
func (w *world) at(point string) {
	w.mu.Lock()
	hook := w.hook
	w.mu.Unlock()
	if hook != nil {
		hook(point)
	}
}

// once sets a hook that runs fn the first time that point is reached.
func (w *world) once(point string, fn func()) {
	var used sync.Once
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hook = func(p string) {
		if p == point {
			used.Do(fn)
		}
	}
}

// every sets a hook that runs fn each time that point is reached.
func (w *world) every(point string, fn func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hook = func(p string) {
		if p == point {
			fn()
		}
	}
}

// topUp pays tokens into a budget as an operator would.
func (w *world) topUp(command string, amount ledger.Tokens) error {
	store := w.store.Client("operator")
	for range 20 {
		rec, err := store.Get(w.ctx, testBudget.StoreKey())
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
		if _, err = store.CompareAndSwap(w.ctx, testBudget.StoreKey(), rec.Version, data); err == nil {
			return nil
		}
	}
	return failure.New(failure.Conflict, "retry", "budget changed too often")
}

func (w *world) budget() *ledger.BudgetRecord {
	b, err := ledger.DecodeBudget(w.store.Record(testBudget.StoreKey()).Value)
	if err != nil {
		w.t.Fatal(err)
	}
	return b
}

// request is one call of a caller; cost is what the endpoint reports.
type request struct {
	id         string
	reserve    ledger.Tokens
	cost       ledger.Tokens
	repeatable bool
}

// newRequest issues an id at the node.
func (n *node) newRequest(reserve, cost ledger.Tokens) request {
	id, err := n.router.NewID(testBudget)
	if err != nil {
		n.w.t.Fatal(err)
	}
	return request{id: id.String(), reserve: reserve, cost: cost}
}

var callNumber uint64

// send does what an entry instance does for a request: reserve, dispatch to the
// endpoint, settle. It returns what the caller is told.
func (n *node) send(req request, patience time.Duration) string {
	ctx, cancel := context.WithTimeout(n.w.ctx, patience)
	defer cancel()
	n.w.mu.Lock()
	callNumber++
	call := callNumber
	n.w.mu.Unlock()
	reserve := ledger.ReserveRequest{
		ID: req.id, Budget: testBudget, Service: "rounds-app", Fingerprint: []byte(req.id[:2]), Amount: req.reserve,
		Repeatable: req.repeatable, KeepAnswer: true, Dispatcher: n.id.Incarnation, DispatcherAddress: n.id.Address, Call: call,
	}
	reply, err := n.reserveUntil(ctx, reserve)
	if err != nil {
		return "unknown"
	}
	n.w.at("admitted")
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

func (n *node) reserveUntil(ctx context.Context, req ledger.ReserveRequest) (ledger.ReserveReply, error) {
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

func (n *node) dispatch(ctx context.Context, req request, reply ledger.ReserveReply) string {
	w := n.w
	w.mu.Lock()
	dead := w.live[n.id.Incarnation].Incarnation == "" && n.thaw == nil
	if !dead {
		w.runs[req.id]++
		w.spent[req.id] = req.cost
	}
	w.mu.Unlock()
	if dead {
		return "unknown"
	}
	w.at("executed")
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
	w.at("settled")
	return "answered"
}

// check verifies the invariants over everything that ran.
func (w *world) check() {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.budget()
	if b.Unassigned() < 0 {
		w.t.Errorf("rights exceed what was paid by %d tokens", -b.Unassigned())
	}
	var total ledger.Tokens
	for id, n := range w.runs {
		total += w.spent[id]
		if n > 1 {
			w.t.Errorf("request %s ran %d times", id, n)
		}
		if w.told[id] == "not-run" {
			w.t.Errorf("request %s ran, but its caller was told that it did not", id)
		}
	}
	if total > b.Paid {
		w.t.Errorf("overspend: %d tokens used, %d paid", total, b.Paid)
	}
	w.checkBills(b.Paid)
}

func (w *world) checkBills(paid ledger.Tokens) {
	seen := map[string]bool{}
	var total ledger.Tokens
	for _, line := range w.bills() {
		if seen[line.ID] {
			w.t.Errorf("request %s was billed twice", line.ID)
		}
		seen[line.ID] = true
		total += line.Tokens
		if w.runs[line.ID] == 0 {
			w.t.Errorf("request %s was billed but never ran", line.ID)
		}
	}
	if total > paid {
		w.t.Errorf("bills of %d tokens exceed the %d that were paid", total, paid)
	}
}

const maxTestEpoch, maxTestSegment = 40, 40

// checkSettled verifies that the shard map stays as it is. Shards that are handed
// back and forth cost writes, and refuse requests for a moment each time.
func (w *world) checkSettled() {
	w.t.Helper()
	before := w.store.Record(StoreKey(testDomainA))
	w.settle(20 * time.Second)
	if after := w.store.Record(StoreKey(testDomainA)); after.Version != before.Version {
		w.t.Errorf("the shard map changed %d times in 20 s without a fault", after.Version-before.Version)
	}
}

// bills reads all bill segments of the store.
func (w *world) bills() []ledger.BillLine {
	var out []ledger.BillLine
	for _, n := range w.nodes {
		if m, _ := n.manager.MapView(); m != nil {
			for shard, e := range m.Shards {
				if e.Epoch >= maxTestEpoch {
					w.t.Errorf("shard %d reached epoch %d, bills are read below epoch %d", shard, e.Epoch, maxTestEpoch)
				}
			}
		}
	}
	for _, domain := range []string{testDomainA, testDomainB} {
		for shard := range testShards {
			for epoch := range uint64(maxTestEpoch) {
				for seq := range uint64(maxTestSegment) {
					rec := w.store.Record(BillKey(ledger.ShardID{Domain: domain, Shard: shard}, epoch, seq))
					if rec.Version == 0 {
						break
					}
					lines, err := DecodeBills(rec.Value)
					if err != nil {
						w.t.Fatal(err)
					}
					out = append(out, lines...)
				}
			}
		}
	}
	return out
}

// ownerOf returns the node that serves the test budget's shard in a domain.
func (w *world) ownerOf(domain string) *node {
	shard := ledger.ShardOf(testBudget, testShards)
	for _, n := range w.nodes {
		if n.id.Domain != domain || n.thaw != nil {
			continue
		}
		owns := false
		_ = n.manager.do(w.ctx, func() { owns = n.manager.replica(shard).role == roleOwner })
		if owns {
			return n
		}
	}
	return nil
}

// backupOf returns the node that is the named backup of the test budget's shard.
func (w *world) backupOf(domain string) *node {
	shard := ledger.ShardOf(testBudget, testShards)
	for _, n := range w.nodes {
		m, _ := n.manager.MapView()
		if n.id.Domain == domain && m != nil && same(m.Shards[shard].Backup, n.id) {
			return n
		}
	}
	return nil
}

// other returns a node of the domain that is not one of the given ones.
func (w *world) other(domain string, not ...*node) *node {
	for _, name := range slices.Sorted(maps.Keys(w.nodes)) {
		n := w.nodes[name]
		if n.id.Domain == domain && !slices.Contains(not, n) {
			return n
		}
	}
	return nil
}
