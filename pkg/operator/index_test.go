package operator

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/declare"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

// TestSpentPages guards against budgets that are missing from all pages or listed
// twice, and against a query that overloads the store.
func TestSpentPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBackend(&fakeStore{records: map[string]kvstore.Record{}})
		doc, names := testDocument(), declare.Budgets{}
		doc.Workspaces = nil
		want := 0
		for i, size := range []int{300, 0, 700, 1, 250} {
			name := fmt.Sprintf("ws%d", i)
			doc.Workspaces = append(doc.Workspaces, config.Workspace{Name: name, KeyHash: strings.Repeat(fmt.Sprintf("%02d", i), 32), DefaultBudget: "b0000"})
			for j := range size {
				names[name] = append(names[name], fmt.Sprintf("b%04d", j))
				want++
			}
		}
		if _, err := b.Apply(t.Context(), Issuer{"a1", "ada"}, ApplyRequest{Document: doc, Budgets: names}); err != nil {
			t.Fatal(err)
		}
		seen, pages, sel := map[string]bool{}, 0, BudgetSelection{}
		for {
			report, err := b.Spent(t.Context(), sel)
			if err != nil || len(report.Budgets) > MaxBudgetsPerQuery {
				t.Fatalf("%d budgets, %v", len(report.Budgets), err)
			}
			for _, s := range report.Budgets {
				if seen[s.Budget.String()] {
					t.Errorf("budget %s is listed twice", s.Budget)
				}
				seen[s.Budget.String()] = true
			}
			if pages++; report.Next == "" || pages > 10 {
				break
			}
			sel.After = report.Next
		}
		if len(seen) != want {
			t.Errorf("%d budgets in %d pages, want %d", len(seen), pages, want)
		}
	})
}

// TestBudgetIndex guards against an index that is too large for the store, loses
// names, or is overwritten by an older apply.
func TestBudgetIndex(t *testing.T) {
	apply := func(b testBackend, t *testing.T, id string, names ...string) (ApplyResult, error) {
		return b.Apply(t.Context(), Issuer{id, "ada"}, ApplyRequest{Document: testDocument(), Budgets: declare.Budgets{"clinic": names}})
	}
	synctest.Test(t, func(t *testing.T) {
		b, store := newAppliedBackend(t)
		tooMany := make([]string, 20_000)
		for i := range tooMany {
			tooMany[i] = fmt.Sprintf("%05d", i) + strings.Repeat("x", 58)
		}
		if _, err := apply(b, t, "a2", tooMany...); !failure.Is(err, failure.Invalid) || !strings.Contains(err.Error(), "1048576") {
			t.Errorf("index above the size limit: %v", err)
		}
		if r, err := apply(b, t, "a3", "main", "extra"); err != nil || r.Generation != 2 {
			t.Errorf("apply that only adds a budget: %+v, %v", r, err)
		}
		lateIndex := budgetIndex{indexFormat, 1, []string{"main"}}
		stored, _ := b.readIndex(t.Context(), "clinic")
		if err := b.writeIndex(t.Context(), "clinic", stored, lateIndex); err != nil {
			t.Error(err)
		}
		if r, err := b.Budgets(t.Context(), BudgetSelection{}); err != nil || len(r.Budgets["clinic"]) != 2 {
			t.Errorf("budgets after a late write: %+v, %v", r, err)
		}
		store.records[indexKey("clinic")] = kvstore.Record{Value: []byte{0xa1, 1, 9}, Version: 5}
		if r, err := b.Spent(t.Context(), BudgetSelection{}); err != nil || len(r.Faults) != 1 {
			t.Errorf("index of another format: %+v, %v", r, err)
		}
		if _, err := apply(b, t, "a4", "main"); !failure.Is(err, failure.Format) || store.records[indexKey("clinic")].Version != 5 {
			t.Errorf("apply on an index of another format: %v", err)
		}
	})
}
