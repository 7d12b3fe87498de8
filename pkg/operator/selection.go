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

// endOfWorkspace sorts behind every valid name of a budget. A cursor with it
// continues at the next workspace.
const endOfWorkspace = "~"

// budgetPage is a part of the selected budgets, sorted by workspace and name.
type budgetPage struct {
	keys   []ledger.BudgetKey
	faults []string // indexes that could not be read
	next   string   // BudgetSelection.After for the rest
	reads  int
}

// selected reads the names of the selected budgets from the indexes.
func (b *StoreBackend) selected(ctx context.Context, sel BudgetSelection) (budgetPage, error) {
	workspaces, err := b.workspaces(ctx, sel.Workspace)
	if err != nil {
		return budgetPage{}, err
	}
	var page budgetPage
	after, _, _ := strings.Cut(sel.After, "/")
	for _, workspace := range workspaces {
		if workspace < after {
			continue
		}
		x, err := b.readIndex(ctx, workspace)
		switch {
		case failure.Is(err, failure.Format):
			page.faults = append(page.faults, err.Error())
		case err != nil:
			return budgetPage{}, err
		}
		if page.add(workspace, x.Names, sel) {
			return page, nil
		}
	}
	page.next = ""
	if len(page.keys)+len(page.faults) == 0 && sel.After == "" && sel.Workspace != "" {
		return page, unknownBudget(ledger.BudgetKey{Workspace: sel.Workspace, Budget: sel.Budget})
	}
	return page, nil
}

// add takes the selected names of a workspace and reports whether the page is
// full. Each index and each budget is one call of the store.
func (p *budgetPage) add(workspace string, names []string, sel BudgetSelection) bool {
	p.reads++
	afterWorkspace, afterName, _ := strings.Cut(sel.After, "/")
	for _, name := range names {
		if (workspace == afterWorkspace && name <= afterName) || (sel.Budget != "" && name != sel.Budget) {
			continue
		}
		if p.reads >= MaxBudgetsPerQuery && len(p.keys) > 0 {
			p.next = p.keys[len(p.keys)-1].String()
			return true
		}
		p.keys = append(p.keys, ledger.BudgetKey{Workspace: workspace, Budget: name})
		p.reads++
	}
	p.next = workspace + "/" + endOfWorkspace
	return p.reads >= MaxBudgetsPerQuery
}

// workspaces returns the sorted names of all workspaces, or the given one. The
// store is asked about one that is unknown here, because it may have been
// declared a moment ago.
func (b *StoreBackend) workspaces(ctx context.Context, name string) ([]string, error) {
	doc, err := b.Config(ctx)
	if err != nil {
		return nil, err
	}
	if name != "" && !hasWorkspace(doc, name) {
		if doc, err = b.stored(ctx); err != nil {
			return nil, err
		}
		if !hasWorkspace(doc, name) {
			return nil, failure.New(failure.NotFound, "list the workspaces with the query config", "the configuration has no workspace %q", name)
		}
	}
	if name != "" {
		return []string{name}, nil
	}
	var all []string
	for _, w := range doc.Workspaces {
		all = append(all, w.Name)
	}
	slices.Sort(all)
	return all, nil
}

func hasWorkspace(doc *config.Document, name string) bool {
	return slices.ContainsFunc(doc.Workspaces, func(w config.Workspace) bool { return w.Name == name })
}

func unknownBudget(k ledger.BudgetKey) error {
	return failure.New(failure.NotFound, "list the budgets with the query spent; declare a new one before it is used", "budget %s is not declared", k)
}

// Budgets reads the names of the budgets of all workspaces, one call of the
// store for each workspace.
func (b *StoreBackend) Budgets(ctx context.Context, sel BudgetSelection) (BudgetsReport, error) {
	workspaces, err := b.workspaces(ctx, "")
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
		x, err := b.readIndex(ctx, workspace)
		if err != nil {
			return BudgetsReport{}, err
		}
		report.Budgets[workspace], report.Next = x.Names, workspace
	}
	report.Next = ""
	return report, nil
}
