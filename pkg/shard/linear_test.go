package shard

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

const (
	linearizabilitySeeds   = 24
	linearizabilityClients = 4
	opsPerClient           = 9
	reserveAmount          = 10
	// linearizabilityCheckTimeout bounds the check of one history; a test whose check
	// takes longer fails.
	linearizabilityCheckTimeout = 20 * time.Second
)

// history collects the operations of concurrent clients. An operation with an unknown
// result counts as concurrent with all later ones.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

// record runs an operation and adds it to the history. run reports false if the result
// is unknown.
func (h *history) record(client int, input any, run func() (output any, known bool)) {
	call := time.Now().UnixNano()
	output, known := run()
	op := porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: time.Now().UnixNano()}
	if !known {
		op.Output, op.Return = nil, math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

func (h *history) check(t *testing.T, model porcupine.Model) {
	t.Helper()
	if result := porcupine.CheckOperationsTimeout(model, h.ops, linearizabilityCheckTimeout); result != porcupine.Ok {
		t.Errorf("history is not linearizable: %s", result)
		slices.SortFunc(h.ops, func(a, b porcupine.Operation) int { return int(a.Call - b.Call) })
		for _, op := range h.ops {
			t.Logf("%d: %d to %d: %+v -> %+v", op.ClientId, op.Call/1e6, op.Return/1e6, op.Input, op.Output)
		}
	}
}

// recordOp is an operation on one request id.
type recordOp struct {
	id         string
	repeatable bool
	reserve    *ledger.ReserveRequest
	settle     *ledger.SettleRequest // a lookup if both are nil
}

func (o recordOp) String() string {
	switch {
	case o.reserve != nil:
		return fmt.Sprintf("reserve %s by %s/%d gone %q refuse %v", o.id, o.reserve.Dispatcher, o.reserve.Call, o.reserve.LostDispatcher, o.reserve.Refuse)
	case o.settle != nil:
		return fmt.Sprintf("settle %s attempt %d end %d charge %d", o.id, o.settle.Attempt, o.settle.End, o.settle.Charge)
	}
	return "lookup " + o.id
}

// recordResult is the result of an operation on a record.
type recordResult struct {
	decision ledger.Decision
	attempt  uint32
	state    ledger.RecordState
	charged  ledger.Tokens
	stale    bool
}

// recordState is the model of a request record. Its zero value means no record.
type recordState struct {
	state      ledger.RecordState
	attempt    uint32
	dispatcher string
	call       uint64
	charged    ledger.Tokens
	// ranBefore is true if an earlier attempt may have run; chargedBefore is its
	// charge, which remains if the current attempt does not run.
	ranBefore     bool
	chargedBefore ledger.Tokens
}

func recordModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
			byID := map[string][]porcupine.Operation{}
			for _, op := range ops {
				id := op.Input.(recordOp).id
				byID[id] = append(byID[id], op)
			}
			return slices.Collect(maps.Values(byID))
		},
		Init: func() any { return recordState{} },
		Step: func(state, input, output any) (bool, any) {
			s, op := state.(recordState), input.(recordOp)
			next, want := s.step(op)
			if output == nil || output == want {
				return true, next
			}
			return s.isAllowedStale(output.(recordResult)), s
		},
	}
}

// isAllowedStale reports whether a replaced owner may still return this result: it
// refers a repeat to the dispatcher, or reports that the outcome is unknown.
func (s recordState) isAllowedStale(r recordResult) bool {
	return s.attempt > 0 && (r.decision == ledger.OutcomeUnknown || (r.decision == ledger.Running && r.attempt <= s.attempt))
}

func (s recordState) step(op recordOp) (recordState, recordResult) {
	switch {
	case op.reserve != nil:
		return s.reserve(op.reserve, op.repeatable)
	case op.settle != nil:
		return s.settle(op.settle)
	}
	return s, recordResult{state: s.state, charged: s.charged}
}

func (s recordState) reserve(req *ledger.ReserveRequest, repeatable bool) (recordState, recordResult) {
	sameCall := s.dispatcher == req.Dispatcher && s.call == req.Call
	next := recordState{state: ledger.StateRunning, attempt: s.attempt + 1, dispatcher: req.Dispatcher, call: req.Call}
	if s.state != 0 && s.state != ledger.StateNotRun {
		next.ranBefore, next.chargedBefore = true, s.charged
		if s.state == ledger.StateRunning {
			next.chargedBefore = reserveAmount
		}
	}
	switch {
	case s.state == ledger.StateAnswered:
		return s, recordResult{decision: ledger.Answered}
	case s.state == ledger.StateRunning && sameCall:
		return s, recordResult{decision: ledger.Admitted, attempt: s.attempt}
	case s.state == ledger.StateRunning && req.LostDispatcher != s.dispatcher:
		return s, recordResult{decision: ledger.Running, attempt: s.attempt}
	case s.state == ledger.StateRunning && !repeatable:
		s.state, s.charged = ledger.StateUnknown, reserveAmount
		return s, recordResult{decision: ledger.OutcomeUnknown}
	case s.state == ledger.StateNotRun && sameCall:
		return s, recordResult{decision: ledger.Refused}
	case s.state == 0 || s.state == ledger.StateNotRun:
		if req.Refuse {
			next.state = ledger.StateNotRun
			return next, recordResult{decision: ledger.Refused}
		}
	case !repeatable || req.Refuse:
		return s, recordResult{decision: ledger.OutcomeUnknown}
	}
	return next, recordResult{decision: ledger.Admitted, attempt: next.attempt}
}

func (s recordState) settle(req *ledger.SettleRequest) (recordState, recordResult) {
	if req.Attempt != s.attempt {
		return s, recordResult{charged: s.charged, stale: true}
	}
	if s.state == ledger.StateRunning || s.state == ledger.StateUnknown {
		s.state = map[ledger.End]ledger.RecordState{ledger.EndComplete: ledger.StateAnswered, ledger.EndNotRun: ledger.StateNotRun,
			ledger.EndUnknown: ledger.StateUnknown, ledger.EndPartial: ledger.StatePartial}[req.End]
		s.charged = map[bool]ledger.Tokens{true: reserveAmount, false: req.Charge}[req.End == ledger.EndUnknown]
		if req.End == ledger.EndNotRun && s.ranBefore {
			s.state, s.charged = ledger.StatePartial, s.chargedBefore
		}
	}
	return s, recordResult{charged: s.charged}
}

// runRecordClient sends random operations on request records from one instance.
func runRecordClient(c *testCluster, h *history, client int, n *testInstance, ids []testRequest, r *rand.Rand) {
	admitted := map[string]uint32{}
	for i := range opsPerClient {
		id := ids[r.IntN(len(ids))]
		op := recordOp{id: id.id, repeatable: id.repeatable}
		switch r.IntN(5) {
		case 0, 1:
			op.reserve = &ledger.ReserveRequest{ID: id.id, Budget: testBudget, Service: "app", Amount: reserveAmount,
				Repeatable: id.repeatable, KeepAnswer: true, Dispatcher: n.id.Incarnation, Call: uint64(client*100 + i/2), Refuse: r.IntN(4) == 0}
			if r.IntN(2) == 0 {
				op.reserve.LostDispatcher = fmt.Sprintf("a%d-%[1]d", 1+r.IntN(4))
			}
		case 2, 3:
			attempt, ok := admitted[id.id]
			if !ok {
				continue
			}
			op.settle = &ledger.SettleRequest{ID: id.id, Attempt: attempt, End: ledger.End(1 + r.IntN(4)), Answer: &ledger.StoredAnswer{Status: 200}}
			if op.settle.End == ledger.EndComplete || op.settle.End == ledger.EndPartial {
				op.settle.Charge = ledger.Tokens(r.IntN(reserveAmount))
			}
		}
		h.record(client, op, func() (any, bool) {
			result, err := n.perform(c.ctx, op)
			if err == nil && result.decision == ledger.Admitted {
				admitted[id.id] = result.attempt
				c.mu.Lock()
				c.executions[id.id] = 1
				c.mu.Unlock()
			}
			return result, err == nil
		})
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
	}
}

func (n *testInstance) perform(ctx context.Context, op recordOp) (recordResult, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	switch {
	case op.reserve != nil:
		reply, err := n.router.Reserve(ctx, *op.reserve)
		return recordResult{decision: reply.Decision, attempt: reply.Attempt}, err
	case op.settle != nil:
		reply, err := n.router.Settle(ctx, *op.settle)
		return recordResult{charged: reply.Charged, stale: reply.Stale}, err
	}
	status, err := n.router.Lookup(ctx, op.id)
	if failure.Is(err, failure.NotFound) {
		return recordResult{}, nil
	}
	return recordResult{state: status.State, charged: status.Charged}, err
}

// injectFault injects one fault and returns a function that heals it.
type injectFault func(c *testCluster, owner, backup *testInstance) (heal func())

// recordFaults returns faults that leave at least one replica with the state, so no epoch
// is lost.
func recordFaults() []injectFault {
	return []injectFault{
		func(_ *testCluster, owner, _ *testInstance) func() { owner.kill(); return func() {} },
		func(_ *testCluster, owner, _ *testInstance) func() {
			owner.pause()
			owner.setLive(false)
			return func() { owner.resume(); owner.setLive(true) }
		},
		func(c *testCluster, owner, backup *testInstance) func() {
			c.net.Cut(owner.id.Address, backup.id.Address)
			return func() { c.net.Heal(owner.id.Address, backup.id.Address) }
		},
		isolate,
		func(c *testCluster, owner, backup *testInstance) func() {
			c.net.LoseAnswers(owner.id.Address, backup.id.Address, 3)
			c.net.Duplicate(owner.id.Address, backup.id.Address, 5)
			return func() {}
		},
		func(c *testCluster, owner, backup *testInstance) func() {
			c.net.HoldNext(owner.id.Address, backup.id.Address, 2)
			return func() { c.net.Release(owner.id.Address, backup.id.Address) }
		},
		func(c *testCluster, owner, _ *testInstance) func() {
			for _, n := range c.instances {
				c.net.Duplicate(n.id.Address, owner.id.Address, 4)
				c.net.LoseAnswers(n.id.Address, owner.id.Address, 2)
			}
			return func() {}
		},
		func(c *testCluster, owner, _ *testInstance) func() {
			owner.setDraining()
			go func() { _ = owner.manager.Drain(c.ctx) }()
			return func() {}
		},
	}
}

// isolate cuts the owner off from the store and from all other instances, while
// its own clients still reach it.
func isolate(c *testCluster, owner, _ *testInstance) func() {
	c.store.CutClient(owner.id.Instance)
	for _, n := range c.instances {
		c.net.Cut(owner.id.Address, n.id.Address)
	}
	owner.setLive(false)
	return func() {
		c.store.RestoreClient(owner.id.Instance)
		for _, n := range c.instances {
			c.net.Heal(owner.id.Address, n.id.Address)
		}
		owner.setLive(true)
	}
}

// runLinearizabilityTest boots four instances, runs the clients, and injects one fault.
func runLinearizabilityTest(t *testing.T, seed uint64, paid ledger.Tokens, faults []injectFault, client func(c *testCluster, h *history, i int, n *testInstance, r *rand.Rand), prepare func(c *testCluster)) *history {
	h := &history{}
	runCluster(t, func(c *testCluster) {
		bootCluster(c, paid)
		c.startInstance("a4", testDomainA)
		c.runFor(10 * time.Second)
		prepare(c)
		r := rand.New(rand.NewPCG(seed, 1))
		var clients sync.WaitGroup
		for i := range linearizabilityClients {
			n := c.instances[fmt.Sprintf("a%d", 1+i)]
			own := rand.New(rand.NewPCG(seed, uint64(i+2)))
			clients.Go(func() { client(c, h, i, n, own) })
		}
		c.sleep(time.Duration(500+r.IntN(2000)) * time.Millisecond)
		fault := faults[int(seed)%len(faults)]
		if owner, backup := c.ownerOf(testDomainA), c.backupOf(testDomainA); owner != nil && backup != nil {
			heal := fault(c, owner, backup)
			c.sleep(12 * time.Second)
			heal()
		}
		clients.Wait()
		c.runFor(20 * time.Second)
	})
	return h
}

// TestRecordsAreLinearizable guards against request records that revert to an older
// state, are admitted twice or lose a result, when several instances operate on one id
// during a fault.
func TestRecordsAreLinearizable(t *testing.T) {
	for seed := range uint64(linearizabilitySeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			var ids []testRequest
			h := runLinearizabilityTest(t, seed, 100_000, recordFaults(),
				func(c *testCluster, h *history, i int, n *testInstance, r *rand.Rand) {
					runRecordClient(c, h, i, n, ids, r)
				},
				func(c *testCluster) {
					n := c.otherInstance(testDomainA)
					n.expectOutcome(n.newRequest(100, 60), "answered") // gives the shard rights before the fault
					ids = []testRequest{n.newRequest(0, 0), n.newRequest(0, 0)}
					ids[1].repeatable = true
				})
			h.check(t, recordModel())
		})
	}
}

// budgetOp is an operation on one budget.
type budgetOp struct {
	topUp, charge ledger.Tokens
}

// budgetState is the model of a budget.
type budgetState struct{ paid, charged ledger.Tokens }

func budgetModel(paid ledger.Tokens) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return budgetState{paid: paid} },
		Step: func(state, input, output any) (bool, any) {
			s, op := state.(budgetState), input.(budgetOp)
			s.paid += op.topUp
			if output == "charged" {
				s.charged += op.charge
			}
			return s.charged <= s.paid, s
		},
	}
}

// runBudgetClient sends random charges and top-ups from one instance.
func runBudgetClient(c *testCluster, h *history, i int, n *testInstance, r *rand.Rand) {
	for k := range opsPerClient {
		op := budgetOp{charge: ledger.Tokens(50 + r.IntN(100))}
		if i == 0 && k%4 == 3 {
			op = budgetOp{topUp: 200}
		}
		h.record(i, op, func() (any, bool) {
			if op.topUp > 0 {
				return "paid", c.topUp(fmt.Sprint("command ", k), op.topUp) == nil
			}
			req := n.newRequest(op.charge, op.charge)
			outcome := n.send(req, 4*time.Second)
			c.mu.Lock()
			c.outcomes[req.id] = outcome
			c.mu.Unlock()
			return map[string]string{"answered": "charged", "not-run": "refused"}[outcome], outcome != "unknown"
		})
		time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
	}
}

// budgetFaults returns recordFaults and faults of the store and of both replicas.
func budgetFaults() []injectFault {
	return append(recordFaults(),
		func(c *testCluster, _, _ *testInstance) func() {
			c.store.SetDown(true)
			return func() { c.store.SetDown(false) }
		},
		func(c *testCluster, _, _ *testInstance) func() { c.store.LoseAnswers(6); return func() {} },
		func(c *testCluster, _, _ *testInstance) func() {
			c.store.DelaySwaps(true)
			return func() { c.store.DelaySwaps(false); c.store.ApplyDelayed() }
		},
		func(_ *testCluster, owner, backup *testInstance) func() {
			owner.kill()
			backup.kill()
			return func() {}
		},
	)
}

// TestBudgetIsLinearizable guards against charges that exceed what was paid by then, when
// several instances draw on one budget during a fault.
func TestBudgetIsLinearizable(t *testing.T) {
	const paid = 1500
	for seed := range uint64(linearizabilitySeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			h := runLinearizabilityTest(t, seed, paid, budgetFaults(), runBudgetClient, func(*testCluster) {})
			h.check(t, budgetModel(paid))
		})
	}
}

// TestIsolatedOwnerAnswersNothingOld guards against an owner that was replaced while it
// was cut off and answers its own clients from stale state.
func TestIsolatedOwnerAnswersNothingOld(t *testing.T) {
	for _, tt := range []struct {
		desc string
		op   func(req ledger.ReserveRequest) recordOp
	}{
		{"lookup", func(req ledger.ReserveRequest) recordOp { return recordOp{id: req.ID} }},
		{"refused call again", func(req ledger.ReserveRequest) recordOp { return recordOp{reserve: &req} }},
		{"settled attempt again", func(req ledger.ReserveRequest) recordOp {
			return recordOp{settle: &ledger.SettleRequest{ID: req.ID, Attempt: 1, End: ledger.EndNotRun}}
		}},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			runCluster(t, func(c *testCluster) {
				bootCluster(c, 10_000)
				owner, backup := c.ownerOf(testDomainA), c.backupOf(testDomainA)
				req := owner.newRequest(100, 60)
				refused := ledger.ReserveRequest{ID: req.id, Budget: testBudget, Service: "rounds-app", Fingerprint: []byte(req.id[:2]),
					Amount: 100, KeepAnswer: true, Dispatcher: owner.id.Incarnation, Call: 1 << 40, Refuse: true}
				if r, err := owner.perform(c.ctx, recordOp{reserve: &refused}); err != nil || r.decision != ledger.Refused {
					t.Fatalf("got %+v, %v; want a refusal", r, err)
				}
				heal := isolate(c, owner, backup)
				c.runFor(15 * time.Second)
				backup.expectOutcome(req, "answered")
				if r, err := owner.perform(c.ctx, tt.op(refused)); err == nil {
					t.Errorf("the replaced owner answered %+v", r)
				}
				heal()
			})
		})
	}
}
