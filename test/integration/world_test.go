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
	// farFuture is later than the end of any cell.
	farFuture = time.Unix(1<<40, 0)
)

// testCluster holds the instances with their store, network, endpoints and
// callers, and records what happens for the checks of the invariants.
type testCluster struct {
	t          *testing.T
	net        *peertest.Network
	store      *kvstoretest.Fake
	pipes      *pipeNetwork
	goroutines sync.WaitGroup // endpoint servers and watchGenerations
	tasks      sync.WaitGroup // callers, operators and faults

	endpoints []*endpoint // engine A, engine B, app A, app B

	eventOrder atomic.Int64 // numbers arrivals and executions, which may share an instant of the fake clock

	mu              sync.Mutex
	incarnationSeq  int
	instances       map[string]*testInstance // latest incarnation by name
	allInstances    []*testInstance
	faultStep       string // step at which injectFault runs; empty afterwards
	injectFault     func()
	calls           []*call
	acceptedChanges []acceptedChange
	topUps          map[string]ledger.Tokens // amounts of sent commands by budget and command id
	closed          bool                     // ends watchGenerations
}

// acceptedChange is a configuration change that an instance confirmed to an
// operator. drainedEndpoint is the id of the endpoint that it drains, if any.
type acceptedChange struct {
	generation      uint64
	acceptedAt      time.Time
	drainedEndpoint string
}

// runCluster runs fn with a new cluster in a bubble with a fake clock.
func runCluster(t *testing.T, fn func(tc *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tc := &testCluster{t: t, net: peertest.NewNetwork(), store: kvstoretest.NewFake(), pipes: newPipeNetwork(),
			instances: map[string]*testInstance{}, topUps: map[string]ledger.Tokens{}}
		for i, id := range []string{"engine-a", "engine-b", "app-a", "app-b"} {
			tc.endpoints = append(tc.endpoints, tc.startEndpoint(id, []string{domainA, domainB}[i%2], i < 2))
		}
		for _, name := range []string{"a1", "a2"} {
			tc.startInstance(name, domainA)
		}
		for _, name := range []string{"b1", "b2"} {
			tc.startInstance(name, domainB)
		}
		fn(tc)
		tc.tasks.Wait()
		tc.close()
	})
}

// close stops everything that still runs and waits for its goroutines, as a
// synctest bubble requires.
func (tc *testCluster) close() {
	tc.mu.Lock()
	tc.closed = true
	all := slices.Clone(tc.allInstances)
	tc.mu.Unlock()
	for _, n := range all {
		n.close()
	}
	tc.net.Close()
	for _, e := range tc.endpoints {
		_ = e.server.Close()
	}
	tc.pipes.reset(func(string, string) bool { return true })
	tc.goroutines.Wait()
	time.Sleep(time.Minute) // at least the longest timeout of an abandoned wait
	synctest.Wait()
}

// boot applies the first declarations and the first top-ups and waits until the
// shards are assigned.
func (tc *testCluster) boot() {
	tc.goroutines.Go(tc.watchGenerations)
	time.Sleep(5 * time.Second)
	tc.applyDeclarations("boot")
	tc.topUp(ampleBudget, "boot", ampleTokens)
	tc.topUp(tightBudget, "boot", tightTokens)
	time.Sleep(15 * time.Second) // shards get owners and backups
}

// fillDocument sets the configuration that applyDeclarations puts in force.
func (tc *testCluster) fillDocument(d *config.Document) {
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
	for _, e := range tc.endpoints {
		s := &app
		if e.isEngine {
			s = &model
		}
		s.Endpoints = append(s.Endpoints, config.Endpoint{ID: e.id, Address: e.address, Domain: e.domain})
	}
	d.Services = []config.Service{model, app}
}

// reachStep runs the fault if it is scheduled for this step.
func (tc *testCluster) reachStep(step string) {
	tc.mu.Lock()
	inject := tc.injectFault
	if tc.faultStep != step {
		tc.mu.Unlock()
		return
	}
	tc.faultStep = ""
	tc.mu.Unlock()
	inject()
}

// operatorContextKey marks the contexts of operators' commands.
type operatorContextKey struct{}

// runOperatorCommand repeats a command at instance b1, or at b2 if b1 is not
// live, until it succeeds or has failed 60 times.
func (tc *testCluster) runOperatorCommand(command func(ctx context.Context, n *testInstance) error) {
	for range 60 {
		ctx, cancel := context.WithTimeout(context.WithValue(context.Background(), operatorContextKey{}, true), 8*time.Second)
		tc.mu.Lock()
		n := tc.instances["b1"]
		if !n.isLive() {
			n = tc.instances["b2"]
		}
		tc.mu.Unlock()
		err := command(ctx, n)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(time.Second)
	}
	tc.t.Error("no attempt of 60 at an operator's command succeeded")
}

// topUp adds an amount to a budget and records it for checkSpending.
func (tc *testCluster) topUp(budget, command string, amount ledger.Tokens) {
	tc.mu.Lock()
	tc.topUps[budget+" "+command] = amount
	tc.mu.Unlock()
	tc.runOperatorCommand(func(ctx context.Context, n *testInstance) error {
		_, err := n.backend.TopUp(ctx, operator.Issuer{Command: command, Operator: "tester"},
			operator.TopUpRequest{Budget: ledger.BudgetKey{Workspace: workspace, Budget: budget}, Amount: amount})
		return err
	})
}

// applyDeclarations puts the declarations of fillDocument in force.
func (tc *testCluster) applyDeclarations(command string) {
	tc.runOperatorCommand(func(ctx context.Context, n *testInstance) error {
		doc := &config.Document{}
		tc.fillDocument(doc)
		r, err := n.backend.Apply(ctx, operator.Issuer{Command: command, Operator: "tester"}, operator.ApplyRequest{
			Document: doc, Budgets: declare.Budgets{workspace: {ampleBudget, tightBudget}},
		})
		if err == nil {
			tc.mu.Lock()
			tc.acceptedChanges = append(tc.acceptedChanges, acceptedChange{r.Generation, time.Now(), ""})
			tc.mu.Unlock()
		}
		return err
	})
}

// changeConfig changes the configuration; drained is the id of the endpoint that
// the change drains, if any.
func (tc *testCluster) changeConfig(command string, mutate func(*config.Document) error, drained string) {
	tc.runOperatorCommand(func(ctx context.Context, n *testInstance) error {
		d, err := n.replica.Change(ctx, config.ChangeRequest{Command: command, Operator: "tester", Summary: command, Mutate: mutate})
		if err == nil {
			tc.mu.Lock()
			tc.acceptedChanges = append(tc.acceptedChanges, acceptedChange{d.Generation, time.Now(), drained})
			tc.mu.Unlock()
		}
		return err
	})
}

// liveInstances returns the instances that take requests, sorted by name.
func (tc *testCluster) liveInstances() []*testInstance {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	var out []*testInstance
	for _, name := range slices.Sorted(maps.Keys(tc.instances)) {
		if n := tc.instances[name]; n.isLive() {
			out = append(out, n)
		}
	}
	return out
}

// shardMap returns the stored shard map of a domain.
func (tc *testCluster) shardMap(domain string) *shard.Map {
	m, err := shard.DecodeMap(tc.store.Record(shard.StoreKey(domain)).Value)
	if err != nil {
		tc.t.Fatal(err)
	}
	return m
}

// hookedCaller reports the replication calls of an instance as step "record".
type hookedCaller struct {
	instance *testInstance
	next     peer.Caller
}

func (c *hookedCaller) Call(ctx context.Context, address string, method peer.Method, req, resp any) error {
	if method == shard.MethodReplicate {
		c.instance.cluster.reachStep("record")
	}
	return c.next.Call(ctx, address, method, req, resp)
}

// hookedLedger reports the ledger calls of an instance as steps and blocks them
// while the instance is paused.
type hookedLedger struct {
	*shard.Router
	instance *testInstance
}

func (l *hookedLedger) Reserve(ctx context.Context, req ledger.ReserveRequest) (ledger.ReserveReply, error) {
	l.instance.cluster.reachStep("reserve")
	l.instance.cluster.pipes.waitWhilePaused(l.instance.host())
	reply, err := l.Router.Reserve(ctx, req)
	l.instance.cluster.pipes.waitWhilePaused(l.instance.host())
	return reply, err
}

func (l *hookedLedger) Settle(ctx context.Context, req ledger.SettleRequest) (ledger.SettleReply, error) {
	l.instance.cluster.reachStep("settle")
	l.instance.cluster.pipes.waitWhilePaused(l.instance.host())
	reply, err := l.Router.Settle(ctx, req)
	l.instance.cluster.pipes.waitWhilePaused(l.instance.host())
	return reply, err
}

// hookedStore reports operators' writes as steps and blocks the store calls of an
// instance while it is paused.
type hookedStore struct {
	instance *testInstance
	kvstore.Store
}

func (s *hookedStore) Get(ctx context.Context, key string) (kvstore.Record, error) {
	s.instance.cluster.pipes.waitWhilePaused(s.instance.host())
	rec, err := s.Store.Get(ctx, key)
	s.instance.cluster.pipes.waitWhilePaused(s.instance.host())
	return rec, err
}

func (s *hookedStore) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error) {
	if ctx.Value(operatorContextKey{}) != nil {
		step := "apply"
		if strings.HasPrefix(key, "budgets/") {
			step = "top up"
		}
		s.instance.cluster.reachStep(step)
	}
	s.instance.cluster.pipes.waitWhilePaused(s.instance.host())
	version, err := s.Store.CompareAndSwap(ctx, key, expect, value)
	s.instance.cluster.pipes.waitWhilePaused(s.instance.host())
	return version, err
}

func (s *hookedStore) Watch(ctx context.Context, key string, after uint64) (kvstore.Record, error) {
	rec, err := s.Store.Watch(ctx, key, after)
	s.instance.cluster.pipes.waitWhilePaused(s.instance.host())
	return rec, err
}
