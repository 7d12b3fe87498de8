package operator

import (
	"context"
	"slices"
	"strings"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/declare"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// endOfWorkspace sorts after every valid budget name. A cursor that ends in it
// continues with the next workspace.
const endOfWorkspace = "~"

// budgetPage is one page of the selected budgets, sorted by workspace and name.
type budgetPage struct {
	keys       []ledger.BudgetKey
	faults     []string // errors of the indexes that cannot be decoded
	next       string   // BudgetSelection.After of the next page, empty on the last page
	storeReads int      // reads of the indexes and of the records of keys
}

// selectBudgets returns a page of the selected budgets, whose names it reads from
// the indexes. It fails with failure.NotFound if the selection names a workspace
// or budget that is not declared.
func (b *StoreBackend) selectBudgets(ctx context.Context, sel BudgetSelection) (budgetPage, error) {
	workspaces, err := b.selectWorkspaces(ctx, sel.Workspace)
	if err != nil {
		return budgetPage{}, err
	}
	var page budgetPage
	after, _, _ := strings.Cut(sel.After, "/")
	for _, workspace := range workspaces {
		if workspace < after {
			continue
		}
		index, err := b.readIndex(ctx, workspace)
		switch {
		case failure.Is(err, failure.Format):
			page.faults = append(page.faults, err.Error())
		case err != nil:
			return budgetPage{}, err
		}
		if page.addWorkspace(workspace, index.Names, sel) {
			return page, nil
		}
	}
	page.next = ""
	if len(page.keys)+len(page.faults) == 0 && sel.After == "" && sel.Workspace != "" {
		return page, newUnknownBudgetError(ledger.BudgetKey{Workspace: sel.Workspace, Budget: sel.Budget})
	}
	return page, nil
}

// addWorkspace adds the selected budgets of a workspace and reports whether the
// page is full. The index and each budget count as one read of the store.
func (p *budgetPage) addWorkspace(workspace string, names []string, sel BudgetSelection) bool {
	p.storeReads++
	afterWorkspace, afterName, _ := strings.Cut(sel.After, "/")
	for _, name := range names {
		if (workspace == afterWorkspace && name <= afterName) || (sel.Budget != "" && name != sel.Budget) {
			continue
		}
		if p.storeReads >= MaxBudgetsPerQuery && len(p.keys) > 0 {
			p.next = p.keys[len(p.keys)-1].String()
			return true
		}
		p.keys = append(p.keys, ledger.BudgetKey{Workspace: workspace, Budget: name})
		p.storeReads++
	}
	p.next = workspace + "/" + endOfWorkspace
	return p.storeReads >= MaxBudgetsPerQuery
}

// selectWorkspaces returns the sorted names of all workspaces, or the given name
// if that workspace is declared. If this instance does not know the name, it reads
// the configuration from the store, because the workspace may have been declared
// through another instance a moment ago.
func (b *StoreBackend) selectWorkspaces(ctx context.Context, name string) ([]string, error) {
	doc, err := b.Config(ctx)
	if err != nil {
		return nil, err
	}
	if name != "" && !hasWorkspace(doc, name) {
		if doc, err = b.readConfig(ctx); err != nil {
			return nil, err
		}
		if !hasWorkspace(doc, name) {
			return nil, failure.New(failure.NotFound, "list the workspaces with the query config", "the configuration has no workspace %q", name)
		}
	}
	if name != "" {
		return []string{name}, nil
	}
	var names []string
	for _, w := range doc.Workspaces {
		names = append(names, w.Name)
	}
	slices.Sort(names)
	return names, nil
}

func hasWorkspace(doc *config.Document, name string) bool {
	return slices.ContainsFunc(doc.Workspaces, func(w config.Workspace) bool { return w.Name == name })
}

// newUnknownBudgetError returns failure.NotFound for a budget.
func newUnknownBudgetError(k ledger.BudgetKey) error {
	return failure.New(failure.NotFound, "list the budgets with the query spent; declare a new one before it is used", "budget %s is not declared", k)
}

// Budgets returns the names of the budgets of at most MaxBudgetsPerQuery
// workspaces, beginning after the workspace sel.After. Each workspace takes one
// store call.
func (b *StoreBackend) Budgets(ctx context.Context, sel BudgetSelection) (BudgetsReport, error) {
	workspaces, err := b.selectWorkspaces(ctx, "")
	if err != nil {
		return BudgetsReport{}, err
	}
	report := BudgetsReport{Budgets: declare.Budgets{}}
	for _, workspace := range workspaces {
		if workspace <= sel.After {
			continue
		}
		if len(report.Budgets) == MaxBudgetsPerQuery {
			return report, nil
		}
		index, err := b.readIndex(ctx, workspace)
		if err != nil {
			return BudgetsReport{}, err
		}
		report.Budgets[workspace], report.Next = index.Names, workspace
	}
	report.Next = ""
	return report, nil
}
