package integration

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/declare"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/kvstore/kvstoretest"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/operator"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/peer/peertest"
	"github.com/clementinerack/clementinerack/pkg/shard"
)

const (
	domainA, domainB = "ikeja", "yaba"
	workspace        = "meals"
	workspaceKey     = "secret"
	ampleBudget      = "rounds"
	tightBudget      = "tight"
	ampleTokens      = 50_000
	tightTokens      = 300
)

var (
	seeds = []string{"a1:7000", "a2:7000", "b1:7000", "b2:7000"}
	// never is a time that no cell reaches.
	never = time.Unix(1<<40, 0)
)

// world is the fleet with its store, network, endpoints and callers.
type world struct {
	t     *testing.T
	net   *peertest.Network
	store *kvstoretest.Fake
	wire  *wire
	loops sync.WaitGroup // endpoints
	work  sync.WaitGroup // callers, operators and faults

	endpoints []*endpoint // in order engine A, engine B, app A, app B

	order atomic.Int64 // the fake clock does not order what happens at once

	mu       sync.Mutex
	seq      int
	nodes    map[string]*node // latest by name
	all      []*node
	step     string // where the fault strikes; empty afterwards
	strike   func()
	calls    []*call
	accepted []accepted
	topUps   map[string]ledger.Tokens // sent commands by budget and id
	over     bool                     // ends the watch over generations
}

// accepted is a change that an operator was told to be in force.
type accepted struct {
	generation uint64
	at         time.Time
	drained    string
}

// runWorld runs fn in a bubble with a fake clock.
func runWorld(t *testing.T, fn func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, net: peertest.NewNetwork(), store: kvstoretest.NewFake(), wire: newWire(),
			nodes: map[string]*node{}, topUps: map[string]ledger.Tokens{}}
		for i, id := range []string{"engine-a", "engine-b", "app-a", "app-b"} {
			w.endpoints = append(w.endpoints, w.startEndpoint(id, []string{domainA, domainB}[i%2], i < 2))
		}
		for _, name := range []string{"a1", "a2"} {
			w.startNode(name, domainA)
		}
		for _, name := range []string{"b1", "b2"} {
			w.startNode(name, domainB)
		}
		fn(w)
		w.work.Wait()
		w.close()
	})
}

func (w *world) close() {
	w.mu.Lock()
	w.over = true
	all := slices.Clone(w.all)
	w.mu.Unlock()
	for _, n := range all {
		n.close()
	}
	w.net.Close()
	for _, e := range w.endpoints {
		_ = e.server.Close()
	}
	w.wire.reset(func(string, string) bool { return true })
	w.loops.Wait()
	time.Sleep(time.Minute) // the longest deadline of what still waits for nothing
	synctest.Wait()
}

// boot puts the first configuration and the first payments in place.
func (w *world) boot() {
	w.loops.Go(w.watchGenerations)
	time.Sleep(5 * time.Second)
	w.apply("boot")
	w.topUp(ampleBudget, "boot", ampleTokens)
	w.topUp(tightBudget, "boot", tightTokens)
	time.Sleep(15 * time.Second) // shards get owners and backups
}

func (w *world) document(d *config.Document) {
	sum := sha256.Sum256([]byte(workspaceKey))
	d.Shards, d.Domains = 1, []string{domainA, domainB}
	d.Workspaces = []config.Workspace{{Name: workspace, KeyHash: hex.EncodeToString(sum[:]),
		DefaultBudget: ampleBudget}}
	model := config.Service{Name: "llm", Kind: config.ModelService, MaxOutputTokens: engineTokens + 2,
		Timeout: callTimeout, FirstByteTimeout: 2 * time.Second, IdleTimeout: 2 * time.Second, Concurrency: 64}
	app := config.Service{Name: "rounds-app", Kind: config.AppService, Timeout: callTimeout,
		FirstByteTimeout: 2 * time.Second, IdleTimeout: 2 * time.Second, Concurrency: 64, Routes: []config.Route{
			{Method: "POST", PathPrefix: "/book", Price: bookPrice},
			{Method: "GET", PathPrefix: "/records", Price: lookupPrice, Repeatable: true}}}
	for _, e := range w.endpoints {
		s := &app
		if e.model {
			s = &model
		}
		s.Endpoints = append(s.Endpoints, config.Endpoint{ID: e.id, Address: e.address, Domain: e.domain})
	}
	d.Services = []config.Service{model, app}
}

// at runs the fault if it is to strike at this step.
func (w *world) at(step string) {
	w.mu.Lock()
	strike := w.strike
	if w.step != step {
		w.mu.Unlock()
		return
	}
	w.step = ""
	w.mu.Unlock()
	strike()
}

// operatorKey marks the context of operators' commands.
type operatorKey struct{}

// operate repeats a command at instance b1, or b2 when that one is gone, until it
// succeeds.
func (w *world) operate(command func(ctx context.Context, n *node) error) {
	for range 60 {
		ctx, cancel := context.WithTimeout(context.WithValue(context.Background(), operatorKey{}, true), 8*time.Second)
		w.mu.Lock()
		n := w.nodes["b1"]
		if !n.live() {
			n = w.nodes["b2"]
		}
		w.mu.Unlock()
		err := command(ctx, n)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(time.Second)
	}
	w.t.Error("an operator's command was not accepted within 60 attempts")
}

func (w *world) topUp(budget, command string, amount ledger.Tokens) {
	w.mu.Lock()
	w.topUps[budget+" "+command] = amount
	w.mu.Unlock()
	w.operate(func(ctx context.Context, n *node) error {
		_, err := n.backend.TopUp(ctx, operator.Issuer{Command: command, Operator: "tester"},
			operator.TopUpRequest{Budget: ledger.BudgetKey{Workspace: workspace, Budget: budget}, Amount: amount})
		return err
	})
}

// apply puts the declarations of the test in force.
func (w *world) apply(command string) {
	w.operate(func(ctx context.Context, n *node) error {
		doc := &config.Document{}
		w.document(doc)
		r, err := n.backend.Apply(ctx, operator.Issuer{Command: command, Operator: "tester"}, operator.ApplyRequest{
			Document: doc, Budgets: declare.Budgets{workspace: {ampleBudget, tightBudget}},
		})
		if err == nil {
			w.mu.Lock()
			w.accepted = append(w.accepted, accepted{r.Generation, time.Now(), ""})
			w.mu.Unlock()
		}
		return err
	})
}

// change changes the configuration; drained names an endpoint that it drains.
func (w *world) change(command string, mutate func(*config.Document) error, drained string) {
	w.operate(func(ctx context.Context, n *node) error {
		d, err := n.replica.Change(ctx, config.ChangeRequest{Command: command, Operator: "tester", Summary: command, Mutate: mutate})
		if err == nil {
			w.mu.Lock()
			w.accepted = append(w.accepted, accepted{d.Generation, time.Now(), drained})
			w.mu.Unlock()
		}
		return err
	})
}

// live returns the instances that take requests, by name.
func (w *world) live() []*node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*node
	for _, name := range slices.Sorted(maps.Keys(w.nodes)) {
		if n := w.nodes[name]; n.live() {
			out = append(out, n)
		}
	}
	return out
}

func (w *world) shardMap(domain string) *shard.Map {
	m, err := shard.DecodeMap(w.store.Record(shard.StoreKey(domain)).Value)
	if err != nil {
		w.t.Fatal(err)
	}
	return m
}

// hookedCaller reports the calls of an instance to the world.
type hookedCaller struct {
	n    *node
	next peer.Caller
}

func (c *hookedCaller) Call(ctx context.Context, address string, method peer.Method, req, resp any) error {
	if method == shard.MethodReplicate {
		c.n.w.at("record")
	}
	return c.next.Call(ctx, address, method, req, resp)
}

// hookedLedger reports the calls of an entry to the owners of the ledger.
type hookedLedger struct {
	*shard.Router
	n *node
}

func (l *hookedLedger) Reserve(ctx context.Context, req ledger.ReserveRequest) (ledger.ReserveReply, error) {
	l.n.w.at("reserve")
	l.n.w.wire.gate(l.n.host())
	reply, err := l.Router.Reserve(ctx, req)
	l.n.w.wire.gate(l.n.host())
	return reply, err
}

func (l *hookedLedger) Settle(ctx context.Context, req ledger.SettleRequest) (ledger.SettleReply, error) {
	l.n.w.at("settle")
	l.n.w.wire.gate(l.n.host())
	reply, err := l.Router.Settle(ctx, req)
	l.n.w.wire.gate(l.n.host())
	return reply, err
}

// hookedStore reports operators' writes to the world, and holds the calls of a
// paused instance.
type hookedStore struct {
	n *node
	kvstore.Store
}

func (s *hookedStore) Get(ctx context.Context, key string) (kvstore.Record, error) {
	s.n.w.wire.gate(s.n.host())
	rec, err := s.Store.Get(ctx, key)
	s.n.w.wire.gate(s.n.host())
	return rec, err
}

func (s *hookedStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error) {
	if ctx.Value(operatorKey{}) != nil {
		step := "apply"
		if strings.HasPrefix(key, "budgets/") {
			step = "top up"
		}
		s.n.w.at(step)
	}
	s.n.w.wire.gate(s.n.host())
	version, err := s.Store.CompareAndSwap(ctx, key, expect, value)
	s.n.w.wire.gate(s.n.host())
	return version, err
}

func (s *hookedStore) Watch(ctx context.Context, key string, after uint64) (kvstore.Record, error) {
	rec, err := s.Store.Watch(ctx, key, after)
	s.n.w.wire.gate(s.n.host())
	return rec, err
}
