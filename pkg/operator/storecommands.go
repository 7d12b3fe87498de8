package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/declare"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// completeHistory is a number of commands below which a budget record still has
// the ids of all of them; the record keeps the last 4,096.
const completeHistory = 4000

// reserved reports whether a command id is kept for opening amounts.
func reserved(command string) bool { return command == declare.OpeningCommand }

// TopUp pays an amount into a declared budget.
func (b *StoreBackend) TopUp(ctx context.Context, by Issuer, req TopUpRequest) (BudgetResult, error) {
	if err := b.known(ctx, req.Budget); err != nil {
		return BudgetResult{}, err
	}
	return b.changeBudget(ctx, by, req.Budget, req.Amount, func(r *ledger.BudgetRecord) (bool, error) {
		return r.TopUp(by.Command, req.Amount)
	})
}

// Reclaim returns a part of a stranded grant to its budget. The budget need not
// be in the configuration any more.
func (b *StoreBackend) Reclaim(ctx context.Context, by Issuer, req ReclaimRequest) (BudgetResult, error) {
	return b.changeBudget(ctx, by, req.Budget, req.Amount, func(r *ledger.BudgetRecord) (bool, error) {
		return r.Reclaim(by.Command, req.Shard, req.Epoch, req.Amount)
	})
}

func (b *StoreBackend) known(ctx context.Context, k ledger.BudgetKey) error {
	if k.Workspace == "" || k.Budget == "" {
		return failure.New(failure.Invalid, "name the budget as workspace/budget", "budget %s is incomplete", k)
	}
	_, err := b.selected(ctx, BudgetSelection{Workspace: k.Workspace, Budget: k.Budget})
	return err
}

func (b *StoreBackend) changeBudget(ctx context.Context, by Issuer, k ledger.BudgetKey, amount ledger.Tokens, mutate func(*ledger.BudgetRecord) (bool, error)) (BudgetResult, error) {
	if reserved(by.Command) {
		return BudgetResult{}, failure.New(failure.Invalid, "choose another command id", "the command id %q is kept for opening amounts", by.Command)
	}
	record, changed, err := b.update(ctx, &budgetChange{budget: k, command: by.Command, amount: amount, mutate: mutate})
	if err != nil {
		return BudgetResult{}, err
	}
	return BudgetResult{Changed: changed, Budget: spendingOf(k, record)}, nil
}

// Retire takes new work off an endpoint; requests in flight finish.
func (b *StoreBackend) Retire(ctx context.Context, by Issuer, req EndpointRequest) (ConfigResult, error) {
	return b.changeConfig(ctx, by, "retire "+req.Endpoint, req.Expect, func(d *config.Document) error {
		if !hasEndpoint(d, req.Endpoint) {
			return unknownEndpoint(req.Endpoint)
		}
		if !slices.Contains(d.Drained, req.Endpoint) {
			d.Drained = append(d.Drained, req.Endpoint)
		}
		return nil
	})
}

// Restore gives new work to a retired endpoint.
func (b *StoreBackend) Restore(ctx context.Context, by Issuer, req EndpointRequest) (ConfigResult, error) {
	return b.changeConfig(ctx, by, "restore "+req.Endpoint, req.Expect, func(d *config.Document) error {
		i := slices.Index(d.Drained, req.Endpoint)
		if i < 0 && !hasEndpoint(d, req.Endpoint) {
			return unknownEndpoint(req.Endpoint)
		}
		if i >= 0 {
			d.Drained = slices.Delete(d.Drained, i, i+1)
		}
		return nil
	})
}

// Reconfigure changes the desired state of an engine.
func (b *StoreBackend) Reconfigure(ctx context.Context, by Issuer, req ReconfigureRequest) (ConfigResult, error) {
	return b.changeConfig(ctx, by, "reconfigure "+req.Endpoint, req.Expect, func(d *config.Document) error {
		if !hasEndpoint(d, req.Endpoint) {
			return unknownEndpoint(req.Endpoint)
		}
		i := slices.IndexFunc(d.Engines, func(e config.EngineState) bool { return e.Endpoint == req.Endpoint })
		if i < 0 {
			i = len(d.Engines)
			d.Engines = append(d.Engines, config.EngineState{Endpoint: req.Endpoint})
		}
		req.update(&d.Engines[i])
		return nil
	})
}

func (r ReconfigureRequest) update(e *config.EngineState) {
	set(&e.Model, r.Model)
	set(&e.Version, r.Version)
	set(&e.Adapters, r.Adapters)
	set(&e.Role, r.Role)
}

func set[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

func hasEndpoint(d *config.Document, id string) bool {
	return slices.ContainsFunc(d.Services, func(s config.Service) bool {
		return slices.ContainsFunc(s.Endpoints, func(e config.Endpoint) bool { return e.ID == id })
	})
}

func unknownEndpoint(id string) error {
	return failure.New(failure.NotFound, "list the endpoints with the query config", "the configuration has no endpoint %q", id)
}

func (b *StoreBackend) changeConfig(ctx context.Context, by Issuer, summary string, expect uint64, mutate func(*config.Document) error) (ConfigResult, error) {
	d, err := b.replica.Change(ctx, config.ChangeRequest{
		Command: by.Command, Operator: by.Operator, Summary: summary, Expect: expect, Mutate: mutate,
	})
	if err != nil {
		return ConfigResult{}, err
	}
	return ConfigResult{Generation: d.Generation}, nil
}

// errUnchanged ends an apply that changes nothing, so that it starts no new
// generation.
var errUnchanged = errors.New("the declarations are in force already")

// Apply puts declarations in force, writes the indexes of budgets and then pays
// in the opening amounts of budgets that had none. Drained endpoints and applied
// commands stay. A change of budgets alone starts a new generation too, so that
// the later of two applies decides about the indexes.
func (b *StoreBackend) Apply(ctx context.Context, by Issuer, req ApplyRequest) (ApplyResult, error) {
	if req.Document == nil {
		return ApplyResult{}, failure.New(failure.Invalid, "send the document of the declarations", "the apply has no document")
	}
	if err := checkBudgets(req); err != nil {
		return ApplyResult{}, err
	}
	if err := checkOpenings(req); err != nil {
		return ApplyResult{}, err
	}
	indexes, err := b.readIndexes(ctx, req.Document)
	if err != nil {
		return ApplyResult{}, err
	}
	changed := indexes.differFrom(req)
	summary := fmt.Sprintf(applySummary+" %d services and %d workspaces", len(req.Document.Services), len(req.Document.Workspaces))
	result, err := b.changeConfig(ctx, by, summary, req.Expect, func(d *config.Document) error {
		if !changed && len(declare.Plan(d, nil, &declare.Declarations{Document: req.Document})) == 0 {
			return errUnchanged
		}
		*d = *declare.Merge(d, req.Document)
		return nil
	})
	if errors.Is(err, errUnchanged) {
		result, err = ConfigResult{Generation: b.replica.Generation()}, nil
	}
	if err != nil {
		return ApplyResult{}, err
	}
	generation := b.generationOf(by.Command, result.Generation)
	faults := b.writeIndexes(ctx, indexes, req, generation)
	if changed {
		faults = append(faults, b.overtaken(ctx, generation)...)
	}
	return ApplyResult{ConfigResult: result, Openings: b.open(ctx, req.Openings), Faults: faults}, nil
}

// applySummary begins the summaries of applies.
const applySummary = "apply with"

// overtaken reports an apply that came after generation while this one wrote its
// indexes. That one may have seen indexes which were overwritten here since.
func (b *StoreBackend) overtaken(ctx context.Context, generation uint64) []string {
	d, err := b.stored(ctx)
	if err != nil {
		return []string{"whether another apply came in between is not known: " + err.Error()}
	}
	for _, c := range d.Applied {
		if c.Generation > generation && strings.HasPrefix(c.Summary, applySummary) {
			return []string{"command " + c.Command + " of " + c.Operator + " applied other declarations meanwhile; apply the newest declarations again"}
		}
	}
	return nil
}

// generationOf returns the generation that a command created, which is older
// than current when the command is a repeat.
func (b *StoreBackend) generationOf(command string, current uint64) uint64 {
	if d := b.replica.Current(); d != nil {
		for _, c := range d.Applied {
			if c.Command == command {
				return c.Generation
			}
		}
	}
	return current
}

func checkOpenings(req ApplyRequest) error {
	for _, o := range req.Openings {
		_, declared := slices.BinarySearch(req.Budgets[o.Budget.Workspace], o.Budget.Budget)
		if !declared || o.Amount <= 0 || o.Amount > ledger.MaxTokens {
			return failure.New(failure.Invalid, "declare the budget and give an amount between 1 and 2^42 tokens",
				"the opening amount of %d tokens for budget %s is not valid", o.Amount, o.Budget)
		}
	}
	return nil
}

// payOpening pays in the opening amount unless the budget had one or may have
// had one that is no longer in its list of commands.
func payOpening(r *ledger.BudgetRecord, amount ledger.Tokens) (bool, error) {
	if len(r.Applied) >= completeHistory {
		return false, nil
	}
	return r.TopUp(declare.OpeningCommand, amount)
}

func (b *StoreBackend) open(ctx context.Context, openings []declare.Opening) []OpeningResult {
	out := make([]OpeningResult, len(openings))
	var g errgroup.Group
	g.SetLimit(budgetReaders)
	for i, o := range openings {
		g.Go(func() error {
			out[i] = OpeningResult{Opening: o}
			_, changed, err := b.update(ctx, &budgetChange{budget: o.Budget, command: declare.OpeningCommand, amount: o.Amount,
				mutate: func(r *ledger.BudgetRecord) (bool, error) { return payOpening(r, o.Amount) }})
			out[i].Changed = changed
			if err != nil {
				out[i].Fault = err.Error()
			}
			return nil
		})
	}
	_ = g.Wait() // faults are in the results
	return out
}
