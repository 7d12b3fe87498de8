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
	shardZero  = ledger.ShardID{Domain: "ikeja"}
)

func budgetNames() declare.Budgets { return declare.Budgets{"clinic": {"main"}} }

// applied returns a backend whose configuration has the budget clinic/main with
// an opening of 100 tokens, 40 of them stranded.
func applied(t *testing.T) (testBackend, *fakeStore) {
	t.Helper()
	store := &fakeStore{records: map[string]kvstore.Record{}}
	b := newBackend(store)
	if _, err := b.Apply(t.Context(), Issuer{"a1", "ada"}, ApplyRequest{Document: document(), Budgets: budgetNames(), Openings: []declare.Opening{{Budget: mainBudget, Amount: 100}}}); err != nil {
		t.Fatal(err)
	}
	record, version, err := b.read(t.Context(), mainBudget)
	if err != nil {
		t.Fatal(err)
	}
	record.Stranded = []ledger.Stranded{{Shard: shardZero, Epoch: 1, Amount: 40, Charged: 10}}
	if err := b.swap(t.Context(), mainBudget, version, record); err != nil {
		t.Fatal(err)
	}
	return b, store
}

// Guards against top-ups and reclaims that are lost, doubled or applied to the
// wrong budget, and against answers that claim more than is known.
func TestBudgetCommands(t *testing.T) {
	topUp := func(id string, amount ledger.Tokens) func(testBackend, *testing.T) (BudgetResult, error) {
		return func(b testBackend, t *testing.T) (BudgetResult, error) {
			return b.TopUp(t.Context(), Issuer{id, "ada"}, TopUpRequest{mainBudget, amount})
		}
	}
	reclaim := func(amount ledger.Tokens) func(testBackend, *testing.T) (BudgetResult, error) {
		return func(b testBackend, t *testing.T) (BudgetResult, error) {
			return b.Reclaim(t.Context(), Issuer{"r1", "ada"}, ReclaimRequest{mainBudget, shardZero, 1, amount})
		}
	}
	cases := []struct {
		desc       string
		lose, drop int
		down       bool
		run        func(testBackend, *testing.T) (BudgetResult, error)
		repeat     bool // run twice; the second answer counts
		want       failure.Kind
		changed    bool
		left       ledger.Tokens // unassigned afterwards
	}{
		{desc: "top-up", run: topUp("t1", 50), changed: true, left: 110},
		{desc: "repeated top-up", run: topUp("t1", 50), repeat: true, left: 110},
		{desc: "answer lost", lose: 1, run: topUp("t1", 50), changed: true, left: 110},
		{desc: "write lost", drop: 1, run: topUp("t1", 50), changed: true, left: 110},
		{desc: "no write gets through", drop: maxBudgetAttempts, run: topUp("t1", 50), want: failure.Uncertain, left: 60},
		{desc: "store down", down: true, run: topUp("t1", 50), want: failure.Unavailable, left: 60},
		{desc: "negative amount", run: topUp("t1", -5), want: failure.Invalid, left: 60},
		{desc: "id of the openings", run: topUp(declare.OpeningCommand, 5), want: failure.Invalid, left: 60},
		{desc: "reclaim", run: reclaim(30), changed: true, left: 90},
		{desc: "repeated reclaim", run: reclaim(15), repeat: true, left: 75},
		{desc: "reclaim of what was spent", run: reclaim(31), want: failure.Invalid, left: 60},
		{desc: "unknown budget", want: failure.NotFound, left: 60, run: func(b testBackend, t *testing.T) (BudgetResult, error) {
			return b.TopUp(t.Context(), Issuer{"t1", "ada"}, TopUpRequest{ledger.BudgetKey{Workspace: "clinic", Budget: "mian"}, 5})
		}},
		{desc: "id used for another amount", want: failure.Conflict, left: 110, run: func(b testBackend, t *testing.T) (BudgetResult, error) {
			if _, err := topUp("t1", 50)(b, t); err != nil {
				t.Fatal(err)
			}
			return topUp("t1", 70)(b, t)
		}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, store := applied(t)
				store.lose, store.drop, store.down = c.lose, c.drop, c.down
				result, err := c.run(b, t)
				if c.repeat {
					result, err = c.run(b, t)
				}
				if failure.KindOf(err) != c.want || result.Changed != c.changed {
					t.Errorf("result %+v, error %v", result, err)
				}
				store.down = false
				report, err := b.Spent(t.Context(), BudgetSelection{Workspace: "clinic"})
				if err != nil || report.Budgets[0].Unassigned != c.left {
					t.Errorf("spent %+v, %v; want %d unassigned", report, err, c.left)
				}
			})
		})
	}
}

// Guards against a top-up that overwrites another one or is paid in twice when
// operators race through several instances and answers are lost.
func TestRacingTopUps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, store := applied(t)
		store.lose = 3
		const operators = 5
		results := make(chan error)
		for i := range operators {
			go func() {
				_, err := newBackend(store).TopUp(t.Context(), Issuer{"race-" + strconv.Itoa(i), "ada"}, TopUpRequest{mainBudget, 10})
				results <- err
			}()
		}
		for range operators {
			if err := <-results; err != nil {
				t.Error(err)
			}
		}
		record, _, err := newBackend(store).read(t.Context(), mainBudget)
		if err != nil || record.Paid != 150 {
			t.Errorf("paid %d, %v; want 150", record.Paid, err)
		}
	})
}

// Guards against an apply that pays openings twice, undoes a drain, or wins
// over a change that the operator has not seen.
func TestApplyAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := applied(t)
		if _, err := b.Retire(t.Context(), Issuer{"d1", "bob"}, EndpointRequest{Endpoint: "llm-1"}); err != nil {
			t.Fatal(err)
		}
		req := ApplyRequest{Document: document(), Budgets: budgetNames(), Expect: 1, Openings: []declare.Opening{{Budget: mainBudget, Amount: 100}}}
		_, err := b.Apply(t.Context(), Issuer{"a2", "ada"}, req)
		if !failure.Is(err, failure.Conflict) || !strings.Contains(err.Error(), "bob (retire llm-1") {
			t.Errorf("stale apply: %v", err)
		}
		req.Expect = 2
		result, err := b.Apply(t.Context(), Issuer{"a2", "ada"}, req)
		if err != nil || result.Generation != 2 {
			t.Errorf("apply of what is in force: %+v, %v", result, err)
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

// Guards against an opening paid in a second time after its command id fell out
// of the list of a busy budget.
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

// Guards against orders for endpoints that do not exist and fields that are lost.
func TestEndpointCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, _ := applied(t)
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

// Guards against an instance that refuses budgets which were declared through
// another one a moment ago.
func TestTopUpOfNewBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, store := applied(t)
		if _, err := newBackend(store).Apply(t.Context(), Issuer{"a2", "ada"}, ApplyRequest{Document: document(), Budgets: declare.Budgets{"clinic": {"main", "extra"}}}); err != nil {
			t.Fatal(err)
		}
		extra := ledger.BudgetKey{Workspace: "clinic", Budget: "extra"}
		if _, err := b.TopUp(t.Context(), Issuer{"t1", "ada"}, TopUpRequest{extra, 5}); err != nil {
			t.Error(err)
		}
	})
}
