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
	linearSeeds   = 24
	linearClients = 4
	linearOps     = 9
	linearAmount  = 10
	// linearLimit bounds the search for one history; one that takes longer fails.
	linearLimit = 20 * time.Second
)

// history collects the operations of concurrent clients. An operation whose
// result is unknown stays open until the end.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

// do runs an operation. run reports false when the result is unknown.
func (h *history) do(client int, input any, run func() (output any, known bool)) {
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
	if result := porcupine.CheckOperationsTimeout(model, h.ops, linearLimit); result != porcupine.Ok {
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
		return fmt.Sprintf("reserve %s by %s/%d gone %q refuse %v", o.id, o.reserve.Dispatcher, o.reserve.Call, o.reserve.DispatcherGone, o.reserve.Refuse)
	case o.settle != nil:
		return fmt.Sprintf("settle %s attempt %d end %d charge %d", o.id, o.settle.Attempt, o.settle.End, o.settle.Charge)
	}
	return "lookup " + o.id
}

// recordResult is what an operation on a record returned.
type recordResult struct {
	decision ledger.Decision
	attempt  uint32
	state    ledger.RecordState
	charged  ledger.Tokens
	stale    bool
}

// recordState is the model of a request record. Its zero value is no record.
type recordState struct {
	state      ledger.RecordState
	attempt    uint32
	dispatcher string
	call       uint64
	charged    ledger.Tokens
	// ranBefore is true when an earlier attempt may have run; chargedBefore is
	// its charge, which stands if the present attempt does not run.
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
			return s.mayBeOld(output.(recordResult)), s
		},
	}
}

// mayBeOld reports whether a replaced owner may still give this result: it sends
// a repeat to a dispatcher, or says that the outcome is unknown.
func (s recordState) mayBeOld(r recordResult) bool {
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
			next.chargedBefore = linearAmount
		}
	}
	switch {
	case s.state == ledger.StateAnswered:
		return s, recordResult{decision: ledger.Answered}
	case s.state == ledger.StateRunning && sameCall:
		return s, recordResult{decision: ledger.Admitted, attempt: s.attempt}
	case s.state == ledger.StateRunning && req.DispatcherGone != s.dispatcher:
		return s, recordResult{decision: ledger.Running, attempt: s.attempt}
	case s.state == ledger.StateRunning && !repeatable:
		s.state, s.charged = ledger.StateUnknown, linearAmount
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
		s.charged = map[bool]ledger.Tokens{true: linearAmount, false: req.Charge}[req.End == ledger.EndUnknown]
		if req.End == ledger.EndNotRun && s.ranBefore {
			s.state, s.charged = ledger.StatePartial, s.chargedBefore
		}
	}
	return s, recordResult{charged: s.charged}
}

// recordClient sends random operations from one node.
func recordClient(w *world, h *history, client int, n *node, ids []request, r *rand.Rand) {
	admitted := map[string]uint32{}
	for i := range linearOps {
		id := ids[r.IntN(len(ids))]
		op := recordOp{id: id.id, repeatable: id.repeatable}
		switch r.IntN(5) {
		case 0, 1:
			op.reserve = &ledger.ReserveRequest{ID: id.id, Budget: testBudget, Service: "app", Amount: linearAmount,
				Repeatable: id.repeatable, KeepAnswer: true, Dispatcher: n.id.Incarnation, Call: uint64(client*100 + i/2), Refuse: r.IntN(4) == 0}
			if r.IntN(2) == 0 {
				op.reserve.DispatcherGone = fmt.Sprintf("a%d-%[1]d", 1+r.IntN(4))
			}
		case 2, 3:
			attempt, ok := admitted[id.id]
			if !ok {
				continue
			}
			op.settle = &ledger.SettleRequest{ID: id.id, Attempt: attempt, End: ledger.End(1 + r.IntN(4)), Answer: &ledger.StoredAnswer{Status: 200}}
			if op.settle.End == ledger.EndComplete || op.settle.End == ledger.EndPartial {
				op.settle.Charge = ledger.Tokens(r.IntN(linearAmount))
			}
		}
		h.do(client, op, func() (any, bool) {
			result, err := n.perform(w.ctx, op)
			if err == nil && result.decision == ledger.Admitted {
				admitted[id.id] = result.attempt
				w.mu.Lock()
				w.runs[id.id] = 1
				w.mu.Unlock()
			}
			return result, err == nil
		})
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
	}
}

func (n *node) perform(ctx context.Context, op recordOp) (recordResult, error) {
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

// linearFault is a random fault; its result heals it.
type linearFault func(w *world, owner, backup *node) (heal func())

// recordFaults keep one replica with the state alive, so no epoch is lost.
func recordFaults() []linearFault {
	return []linearFault{
		func(_ *world, owner, _ *node) func() { owner.kill(); return func() {} },
		func(_ *world, owner, _ *node) func() {
			owner.pause()
			owner.setLive(false)
			return func() { owner.resume(); owner.setLive(true) }
		},
		func(w *world, owner, backup *node) func() {
			w.net.Cut(owner.id.Address, backup.id.Address)
			return func() { w.net.Heal(owner.id.Address, backup.id.Address) }
		},
		isolate,
		func(w *world, owner, backup *node) func() {
			w.net.LoseAnswers(owner.id.Address, backup.id.Address, 3)
			w.net.Duplicate(owner.id.Address, backup.id.Address, 5)
			return func() {}
		},
		func(w *world, owner, backup *node) func() {
			w.net.HoldNext(owner.id.Address, backup.id.Address, 2)
			return func() { w.net.Release(owner.id.Address, backup.id.Address) }
		},
		func(w *world, owner, _ *node) func() {
			for _, n := range w.nodes {
				w.net.Duplicate(n.id.Address, owner.id.Address, 4)
				w.net.LoseAnswers(n.id.Address, owner.id.Address, 2)
			}
			return func() {}
		},
		func(w *world, owner, _ *node) func() {
			owner.setDraining()
			go func() { _ = owner.manager.Drain(w.ctx) }()
			return func() {}
		},
	}
}

// isolate cuts the owner off from the store and from all other instances, while
// its own clients still reach it.
func isolate(w *world, owner, _ *node) func() {
	w.store.CutClient(owner.id.Instance)
	for _, n := range w.nodes {
		w.net.Cut(owner.id.Address, n.id.Address)
	}
	owner.setLive(false)
	return func() {
		w.store.RestoreClient(owner.id.Instance)
		for _, n := range w.nodes {
			w.net.Heal(owner.id.Address, n.id.Address)
		}
		owner.setLive(true)
	}
}

// runLinear boots four instances, runs the clients, and injects one fault.
func runLinear(t *testing.T, seed uint64, paid ledger.Tokens, faults []linearFault, client func(w *world, h *history, i int, n *node, r *rand.Rand), prepare func(w *world)) *history {
	h := &history{}
	runWorld(t, func(w *world) {
		boot(w, paid)
		w.start("a4", testDomainA)
		w.settle(10 * time.Second)
		prepare(w)
		r := rand.New(rand.NewPCG(seed, 1))
		var clients sync.WaitGroup
		for i := range linearClients {
			n := w.nodes[fmt.Sprintf("a%d", 1+i)]
			own := rand.New(rand.NewPCG(seed, uint64(i+2)))
			clients.Go(func() { client(w, h, i, n, own) })
		}
		w.settleQuietly(time.Duration(500+r.IntN(2000)) * time.Millisecond)
		fault := faults[int(seed)%len(faults)]
		if owner, backup := w.ownerOf(testDomainA), w.backupOf(testDomainA); owner != nil && backup != nil {
			heal := fault(w, owner, backup)
			w.settleQuietly(12 * time.Second)
			heal()
		}
		clients.Wait()
		w.settle(20 * time.Second)
	})
	return h
}

// Guards against records that go back in time, that are admitted twice or that
// forget a result, when several instances work on one id during a fault.
func TestRecordsAreLinearizable(t *testing.T) {
	for seed := range uint64(linearSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			var ids []request
			h := runLinear(t, seed, 100_000, recordFaults(),
				func(w *world, h *history, i int, n *node, r *rand.Rand) { recordClient(w, h, i, n, ids, r) },
				func(w *world) {
					n := w.other(testDomainA)
					n.expect(n.newRequest(100, 60), "answered") // the shard holds rights before the fault
					ids = []request{n.newRequest(0, 0), n.newRequest(0, 0)}
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

func budgetClient(w *world, h *history, i int, n *node, r *rand.Rand) {
	for k := range linearOps {
		op := budgetOp{charge: ledger.Tokens(50 + r.IntN(100))}
		if i == 0 && k%4 == 3 {
			op = budgetOp{topUp: 200}
		}
		h.do(i, op, func() (any, bool) {
			if op.topUp > 0 {
				return "paid", w.topUp(fmt.Sprint("command ", k), op.topUp) == nil
			}
			req := n.newRequest(op.charge, op.charge)
			told := n.send(req, 4*time.Second)
			w.mu.Lock()
			w.told[req.id] = told
			w.mu.Unlock()
			return map[string]string{"answered": "charged", "not-run": "refused"}[told], told != "unknown"
		})
		time.Sleep(time.Duration(r.IntN(800)) * time.Millisecond)
	}
}

// budgetFaults are faults of the store and of both replicas.
func budgetFaults() []linearFault {
	return append(recordFaults(),
		func(w *world, _, _ *node) func() { w.store.Down(true); return func() { w.store.Down(false) } },
		func(w *world, _, _ *node) func() { w.store.LoseAnswers(6); return func() {} },
		func(w *world, _, _ *node) func() {
			w.store.DelayWrites(true)
			return func() { w.store.DelayWrites(false); w.store.ApplyDelayed() }
		},
		func(_ *world, owner, backup *node) func() { owner.kill(); backup.kill(); return func() {} },
	)
}

// Guards against charges that exceed what had been paid at that time, when
// several instances draw on one budget during a fault.
func TestBudgetIsLinearizable(t *testing.T) {
	const paid = 1500
	for seed := range uint64(linearSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			h := runLinear(t, seed, paid, budgetFaults(), budgetClient, func(*world) {})
			h.check(t, budgetModel(paid))
		})
	}
}

// Guards against an owner that was replaced while it was cut off and answers its
// own clients from its old state.
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
			runWorld(t, func(w *world) {
				boot(w, 10_000)
				owner, backup := w.ownerOf(testDomainA), w.backupOf(testDomainA)
				req := owner.newRequest(100, 60)
				refused := ledger.ReserveRequest{ID: req.id, Budget: testBudget, Service: "rounds-app", Fingerprint: []byte(req.id[:2]),
					Amount: 100, KeepAnswer: true, Dispatcher: owner.id.Incarnation, Call: 1 << 40, Refuse: true}
				if r, err := owner.perform(w.ctx, recordOp{reserve: &refused}); err != nil || r.decision != ledger.Refused {
					t.Fatalf("%+v, %v", r, err)
				}
				heal := isolate(w, owner, backup)
				w.settle(15 * time.Second)
				backup.expect(req, "answered")
				if r, err := owner.perform(w.ctx, tt.op(refused)); err == nil {
					t.Errorf("the replaced owner answered %+v", r)
				}
				heal()
			})
		})
	}
}
