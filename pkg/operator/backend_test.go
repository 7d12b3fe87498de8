package operator

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/clementinerack/clementinerack/pkg/declare"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

var (
	mainBudget = ledger.BudgetKey{Workspace: "clinic", Budget: "main"}
	firstShard = ledger.ShardID{Domain: "ikeja"}
)

// testBudgets returns the budgets of testDocument.
func testBudgets() declare.Budgets { return declare.Budgets{"clinic": {"main"}} }

// newAppliedBackend returns a backend with the budget clinic/main, which has an
// opening amount of 100 tokens. Of these, 40 are in a stranded grant that has
// charged 10.
func newAppliedBackend(t *testing.T) (testBackend, *fakeStore) {
	t.Helper()
	store := &fakeStore{records: map[string]kvstore.Record{}}
	b := newTestBackend(store)
	if _, err := b.Apply(t.Context(), Issuer{"a1", "ada"}, ApplyRequest{Document: testDocument(), Budgets: testBudgets(), Openings: []declare.Opening{{Budget: mainBudget, Amount: 100}}}); err != nil {
		t.Fatal(err)
	}
	record, version, err := b.readBudget(t.Context(), mainBudget)
	if err != nil {
		t.Fatal(err)
	}
	record.Stranded = []ledger.Stranded{{Shard: firstShard, Epoch: 1, Amount: 40, Charged: 10}}
	if err := b.swapBudget(t.Context(), mainBudget, version, record); err != nil {
		t.Fatal(err)
	}
	return b, store
}

// TestBudgetCommands guards against top-ups and reclaims that are lost, applied
// twice or applied to the wrong budget, and against results that report an
// uncertain outcome as certain.
func TestBudgetCommands(t *testing.T) {
	topUp := func(id string, amount ledger.Tokens) func(testBackend, *testing.T) (BudgetResult, error) {
		return func(b testBackend, t *testing.T) (BudgetResult, error) {
			return b.TopUp(t.Context(), Issuer{id, "ada"}, TopUpRequest{mainBudget, amount})
		}
	}
	reclaim := func(amount ledger.Tokens) func(testBackend, *testing.T) (BudgetResult, error) {
		return func(b testBackend, t *testing.T) (BudgetResult, error) {
			return b.Reclaim(t.Context(), Issuer{"r1", "ada"}, ReclaimRequest{mainBudget, firstShard, 1, amount})
		}
	}
	cases := []struct {
		desc                        string
		answersToLose, writesToDrop int
		isDown                      bool
		run                         func(testBackend, *testing.T) (BudgetResult, error)
		repeat                      bool // runs the command twice and checks the second result
		wantKind                    failure.Kind
		wantChanged                 bool
		wantUnassigned              ledger.Tokens
	}{
		{desc: "top-up", run: topUp("t1", 50), wantChanged: true, wantUnassigned: 110},
		{desc: "repeated top-up", run: topUp("t1", 50), repeat: true, wantUnassigned: 110},
		{desc: "answer lost", answersToLose: 1, run: topUp("t1", 50), wantChanged: true, wantUnassigned: 110},
		{desc: "write lost", writesToDrop: 1, run: topUp("t1", 50), wantChanged: true, wantUnassigned: 110},
		{desc: "every write lost", writesToDrop: maxSwapAttempts, run: topUp("t1", 50), wantKind: failure.Uncertain, wantUnassigned: 60},
		{desc: "store down", isDown: true, run: topUp("t1", 50), wantKind: failure.Unavailable, wantUnassigned: 60},
		{desc: "negative amount", run: topUp("t1", -5), wantKind: failure.Invalid, wantUnassigned: 60},
		{desc: "reserved command id", run: topUp(declare.OpeningCommand, 5), wantKind: failure.Invalid, wantUnassigned: 60},
		{desc: "reclaim", run: reclaim(30), wantChanged: true, wantUnassigned: 90},
		{desc: "repeated reclaim", run: reclaim(15), repeat: true, wantUnassigned: 75},
		{desc: "reclaim of charged tokens", run: reclaim(31), wantKind: failure.Invalid, wantUnassigned: 60},
		{desc: "unknown budget", wantKind: failure.NotFound, wantUnassigned: 60, run: func(b testBackend, t *testing.T) (BudgetResult, error) {
			return b.TopUp(t.Context(), Issuer{"t1", "ada"}, TopUpRequest{ledger.BudgetKey{Workspace: "clinic", Budget: "mian"}, 5})
		}},
		{desc: "command id used for another amount", wantKind: failure.Conflict, wantUnassigned: 110, run: func(b testBackend, t *testing.T) (BudgetResult, error) {
			if _, err := topUp("t1", 50)(b, t); err != nil {
				t.Fatal(err)
			}
			return topUp("t1", 70)(b, t)
		}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, store := newAppliedBackend(t)
				store.answersToLose, store.writesToDrop, store.isDown = c.answersToLose, c.writesToDrop, c.isDown
				result, err := c.run(b, t)
				if c.repeat {
					result, err = c.run(b, t)
				}
				if failure.KindOf(err) != c.wantKind || result.Changed != c.wantChanged {
					t.Errorf("result %+v, error %v", result, err)
				}
				store.isDown = false
				report, err := b.Spent(t.Context(), BudgetSelection{Workspace: "clinic"})
				if err != nil || report.Budgets[0].Unassigned != c.wantUnassigned {
					t.Errorf("spent %+v, %v; want %d unassigned", report, err, c.wantUnassigned)
				}
			})
		})
	}
}

// TestRacingTopUps guards against a top-up that overwrites another one or is paid
// in twice when operators use several instances concurrently and answers of the
// store are lost.
func TestRacingTopUps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, store := newAppliedBackend(t)
		store.answersToLose = 3
		const operators = 5
		results := make(chan error)
		for i := range operators {
			go func() {
				_, err := newTestBackend(store).TopUp(t.Context(), Issuer{"race-" + strconv.Itoa(i), "ada"}, TopUpRequest{mainBudget, 10})
				results <- err
			}()
		}
		for range operators {
			if err := <-results; err != nil {
				t.Error(err)
			}
		}
		record, _, err := newTestBackend(store).readBudget(t.Context(), mainBudget)
		if err != nil || record.Paid != 150 {
			t.Errorf("paid %d, %v; want 150", record.Paid, err)
		}
	})
}

// TestRepeatedApply guards against an apply that pays opening amounts twice,
// restores a drained endpoint, or overwrites a change that the operator has not
// seen.
func TestRepeatedApply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newAppliedBackend(t)
		if _, err := b.Retire(t.Context(), Issuer{"d1", "bob"}, EndpointRequest{Endpoint: "llm-1"}); err != nil {
			t.Fatal(err)
		}
		req := ApplyRequest{Document: testDocument(), Budgets: testBudgets(), Expect: 1, Openings: []declare.Opening{{Budget: mainBudget, Amount: 100}}}
		_, err := b.Apply(t.Context(), Issuer{"a2", "ada"}, req)
		if !failure.Is(err, failure.Conflict) || !strings.Contains(err.Error(), "bob (retire llm-1") {
			t.Errorf("stale apply: %v", err)
		}
		req.Expect = 2
		result, err := b.Apply(t.Context(), Issuer{"a2", "ada"}, req)
		if err != nil || result.Generation != 2 {
			t.Errorf("apply without a change: %+v, %v", result, err)
		}
		req.Document.Services[0].Concurrency = 2
		result, err = b.Apply(t.Context(), Issuer{"a2", "ada"}, req)
		if err != nil || result.Generation != 3 || result.Openings[0].Changed {
			t.Errorf("apply: %+v, %v", result, err)
		}
		d, err := b.Config(t.Context())
		if err != nil || len(d.Drained) != 1 {
			t.Errorf("drained endpoints: %+v, %v", d, err)
		}
		req.Openings[0].Budget.Budget = "other"
		if _, err := b.Apply(t.Context(), Issuer{"a3", "ada"}, req); !failure.Is(err, failure.Invalid) {
			t.Errorf("opening of an undeclared budget: %v", err)
		}
	})
}

// TestOpeningOfBusyBudget guards against an opening amount that is paid in again
// after the record of a busy budget has dropped its command id.
func TestOpeningOfBusyBudget(t *testing.T) {
	r := &ledger.BudgetRecord{Format: ledger.FormatVersion}
	for i := range 5000 {
		if _, err := r.TopUp("t"+strconv.Itoa(i), 1); err != nil {
			t.Fatal(err)
		}
	}
	if paid, err := payOpening(r, 100); paid || err != nil || r.Paid != 5000 {
		t.Errorf("paid %v, %v, total %d", paid, err, r.Paid)
	}
}

// TestEndpointCommands guards against commands that accept an unknown endpoint,
// and against a change of an engine that resets its other fields.
func TestEndpointCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := newAppliedBackend(t)
		model, adapters := "notas", []string{"dental"}
		for i, req := range []ReconfigureRequest{{Endpoint: "llm-1", Model: &model}, {Endpoint: "llm-1", Adapters: &adapters}} {
			if _, err := b.Reconfigure(t.Context(), Issuer{"e" + strconv.Itoa(i), "ada"}, req); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := b.Retire(t.Context(), Issuer{"d1", "ada"}, EndpointRequest{Endpoint: "llm-1"}); err != nil {
			t.Fatal(err)
		}
		if _, err := b.Restore(t.Context(), Issuer{"d2", "ada"}, EndpointRequest{Endpoint: "llm-1"}); err != nil {
			t.Fatal(err)
		}
		d, _ := b.Config(t.Context())
		if len(d.Drained) != 0 || len(d.Engines) != 1 || d.Engines[0].Model != "notas" || len(d.Engines[0].Adapters) != 1 {
			t.Errorf("configuration: %+v", d)
		}
		if _, err := b.Retire(t.Context(), Issuer{"d3", "ada"}, EndpointRequest{Endpoint: "llm-9"}); !failure.Is(err, failure.NotFound) {
			t.Errorf("unknown endpoint: %v", err)
		}
	})
}

// TestTopUpOfNewBudget guards against an instance that refuses a budget which was
// declared through another instance a moment ago.
func TestTopUpOfNewBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, store := newAppliedBackend(t)
		if _, err := newTestBackend(store).Apply(t.Context(), Issuer{"a2", "ada"}, ApplyRequest{Document: testDocument(), Budgets: declare.Budgets{"clinic": {"main", "extra"}}}); err != nil {
			t.Fatal(err)
		}
		extra := ledger.BudgetKey{Workspace: "clinic", Budget: "extra"}
		if _, err := b.TopUp(t.Context(), Issuer{"t1", "ada"}, TopUpRequest{extra, 5}); err != nil {
			t.Error(err)
		}
	})
}
