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

// maxCompleteHistory is the number of commands in a budget record below which the
// record has dropped none. It is less than the 4,096 commands that a record keeps.
const maxCompleteHistory = 4000

// isReservedCommandID reports whether a command id is reserved for opening
// amounts.
func isReservedCommandID(command string) bool { return command == declare.OpeningCommand }

// TopUp pays an amount into a declared budget. It fails with failure.NotFound for
// a budget that is not declared, with failure.Conflict if the command id was used
// for another amount, and with failure.Uncertain if the payment may still take
// effect.
func (b *StoreBackend) TopUp(ctx context.Context, issuer Issuer, req TopUpRequest) (BudgetResult, error) {
	if err := b.checkDeclared(ctx, req.Budget); err != nil {
		return BudgetResult{}, err
	}
	return b.changeBudget(ctx, issuer, req.Budget, req.Amount, func(r *ledger.BudgetRecord) (bool, error) {
		return r.TopUp(issuer.Command, req.Amount)
	})
}

// Reclaim returns a part of a stranded grant to its budget, which need not be
// declared any more. It fails with failure.NotFound if there is no such grant, and
// with failure.Conflict and failure.Uncertain as TopUp does.
func (b *StoreBackend) Reclaim(ctx context.Context, issuer Issuer, req ReclaimRequest) (BudgetResult, error) {
	return b.changeBudget(ctx, issuer, req.Budget, req.Amount, func(r *ledger.BudgetRecord) (bool, error) {
		return r.Reclaim(issuer.Command, req.Shard, req.Epoch, req.Amount)
	})
}

// checkDeclared fails with failure.NotFound if a budget is not declared.
func (b *StoreBackend) checkDeclared(ctx context.Context, k ledger.BudgetKey) error {
	if k.Workspace == "" || k.Budget == "" {
		return failure.New(failure.Invalid, "name the budget as workspace/budget", "budget %s is incomplete", k)
	}
	_, err := b.selectBudgets(ctx, BudgetSelection{Workspace: k.Workspace, Budget: k.Budget})
	return err
}

// changeBudget applies an operator's change to a budget.
func (b *StoreBackend) changeBudget(ctx context.Context, issuer Issuer, k ledger.BudgetKey, amount ledger.Tokens, mutate func(*ledger.BudgetRecord) (bool, error)) (BudgetResult, error) {
	if isReservedCommandID(issuer.Command) {
		return BudgetResult{}, failure.New(failure.Invalid, "choose another command id", "the command id %q is reserved for opening amounts", issuer.Command)
	}
	record, changed, err := b.updateBudget(ctx, &budgetChange{budget: k, command: issuer.Command, amount: amount, mutate: mutate})
	if err != nil {
		return BudgetResult{}, err
	}
	return BudgetResult{Changed: changed, Budget: newBudgetStatus(k, record)}, nil
}

// Retire drains an endpoint: it gets no new requests, and its requests in flight
// finish. It fails with failure.NotFound for an unknown endpoint and with
// failure.Conflict if the configuration has another generation than req.Expect.
func (b *StoreBackend) Retire(ctx context.Context, issuer Issuer, req EndpointRequest) (ConfigResult, error) {
	return b.changeConfig(ctx, issuer, "retire "+req.Endpoint, req.Expect, func(d *config.Document) error {
		if !hasEndpoint(d, req.Endpoint) {
			return newUnknownEndpointError(req.Endpoint)
		}
		if !slices.Contains(d.Drained, req.Endpoint) {
			d.Drained = append(d.Drained, req.Endpoint)
		}
		return nil
	})
}

// Restore lets a retired endpoint get new requests again. It fails as Retire does.
func (b *StoreBackend) Restore(ctx context.Context, issuer Issuer, req EndpointRequest) (ConfigResult, error) {
	return b.changeConfig(ctx, issuer, "restore "+req.Endpoint, req.Expect, func(d *config.Document) error {
		i := slices.Index(d.Drained, req.Endpoint)
		if i < 0 && !hasEndpoint(d, req.Endpoint) {
			return newUnknownEndpointError(req.Endpoint)
		}
		if i >= 0 {
			d.Drained = slices.Delete(d.Drained, i, i+1)
		}
		return nil
	})
}

// Reconfigure changes the desired state of an engine. It fails as Retire does.
func (b *StoreBackend) Reconfigure(ctx context.Context, issuer Issuer, req ReconfigureRequest) (ConfigResult, error) {
	return b.changeConfig(ctx, issuer, "reconfigure "+req.Endpoint, req.Expect, func(d *config.Document) error {
		if !hasEndpoint(d, req.Endpoint) {
			return newUnknownEndpointError(req.Endpoint)
		}
		i := slices.IndexFunc(d.Engines, func(e config.EngineState) bool { return e.Endpoint == req.Endpoint })
		if i < 0 {
			i = len(d.Engines)
			d.Engines = append(d.Engines, config.EngineState{Endpoint: req.Endpoint})
		}
		req.applyTo(&d.Engines[i])
		return nil
	})
}

// applyTo sets the fields of e that the request contains.
func (r ReconfigureRequest) applyTo(e *config.EngineState) {
	setIfPresent(&e.Model, r.Model)
	setIfPresent(&e.Version, r.Version)
	setIfPresent(&e.Adapters, r.Adapters)
	setIfPresent(&e.Role, r.Role)
}

// setIfPresent copies value to target unless it is nil.
func setIfPresent[T any](target *T, value *T) {
	if value != nil {
		*target = *value
	}
}

func hasEndpoint(d *config.Document, id string) bool {
	return slices.ContainsFunc(d.Services, func(s config.Service) bool {
		return slices.ContainsFunc(s.Endpoints, func(e config.Endpoint) bool { return e.ID == id })
	})
}

// newUnknownEndpointError returns failure.NotFound for an endpoint.
func newUnknownEndpointError(id string) error {
	return failure.New(failure.NotFound, "list the endpoints with the query config", "the configuration has no endpoint %q", id)
}

// changeConfig applies an operator's change to the configuration. For its errors
// see config.Replica.Change.
func (b *StoreBackend) changeConfig(ctx context.Context, issuer Issuer, summary string, expect uint64, mutate func(*config.Document) error) (ConfigResult, error) {
	d, err := b.replica.Change(ctx, config.ChangeRequest{
		Command: issuer.Command, Operator: issuer.Operator, Summary: summary, Expect: expect, Mutate: mutate,
	})
	if err != nil {
		return ConfigResult{}, err
	}
	return ConfigResult{Generation: d.Generation}, nil
}

// errUnchanged ends an apply that changes nothing, so that it creates no new
// generation.
var errUnchanged = errors.New("the declarations are in force already")

// Apply puts declarations in force, writes the indexes of budgets and then pays
// the opening amounts into the budgets that had none. Drained endpoints and
// applied commands stay. A change of budgets alone also creates a new generation,
// so that the later of two applies determines the indexes. Apply fails with
// failure.Invalid for declarations that are not valid, and with failure.Conflict
// if the configuration has another generation than req.Expect. The result reports
// indexes and opening amounts that could not be written; they cause no error.
func (b *StoreBackend) Apply(ctx context.Context, issuer Issuer, req ApplyRequest) (ApplyResult, error) {
	if req.Document == nil {
		return ApplyResult{}, failure.New(failure.Invalid, "send the document of the declarations", "the apply has no document")
	}
	if err := sortAndCheckBudgets(req); err != nil {
		return ApplyResult{}, err
	}
	if err := checkOpenings(req); err != nil {
		return ApplyResult{}, err
	}
	indexes, err := b.readIndexes(ctx, req.Document)
	if err != nil {
		return ApplyResult{}, err
	}
	changed := indexes.differsFrom(req)
	summary := fmt.Sprintf(applySummaryPrefix+" %d services and %d workspaces", len(req.Document.Services), len(req.Document.Workspaces))
	result, err := b.changeConfig(ctx, issuer, summary, req.Expect, func(d *config.Document) error {
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
	generation := b.generationOf(issuer.Command, result.Generation)
	faults := b.writeIndexes(ctx, indexes, req, generation)
	if changed {
		faults = append(faults, b.findLaterApply(ctx, generation)...)
	}
	return ApplyResult{ConfigResult: result, Openings: b.payOpenings(ctx, req.Openings), Faults: faults}, nil
}

// applySummaryPrefix is the prefix of the summary of every apply.
const applySummaryPrefix = "apply with"

// findLaterApply returns a message if another apply created a generation later
// than the given one while this apply wrote its indexes. The other apply may have
// read indexes that this one overwrote afterwards.
func (b *StoreBackend) findLaterApply(ctx context.Context, generation uint64) []string {
	d, err := b.readConfig(ctx)
	if err != nil {
		return []string{"cannot tell whether another apply came in between: " + err.Error()}
	}
	for _, c := range d.Applied {
		if c.Generation > generation && strings.HasPrefix(c.Summary, applySummaryPrefix) {
			return []string{"command " + c.Command + " of " + c.Operator + " applied other declarations meanwhile; apply the newest declarations again"}
		}
	}
	return nil
}

// generationOf returns the generation that a command created, which is older than
// current if the command is a repeat.
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

// checkOpenings validates the opening amounts. The budget names of req must be
// sorted.
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

// payOpening pays an opening amount into a budget and reports whether the record
// changed. It pays nothing if the budget had an opening amount, or may have had
// one whose command the record has dropped.
func payOpening(r *ledger.BudgetRecord, amount ledger.Tokens) (bool, error) {
	if len(r.Applied) >= maxCompleteHistory {
		return false, nil
	}
	return r.TopUp(declare.OpeningCommand, amount)
}

// payOpenings pays the opening amounts and returns one result for each.
func (b *StoreBackend) payOpenings(ctx context.Context, openings []declare.Opening) []OpeningResult {
	results := make([]OpeningResult, len(openings))
	var g errgroup.Group
	g.SetLimit(maxConcurrentStoreCalls)
	for i, o := range openings {
		g.Go(func() error {
			results[i] = OpeningResult{Opening: o}
			_, changed, err := b.updateBudget(ctx, &budgetChange{budget: o.Budget, command: declare.OpeningCommand, amount: o.Amount,
				mutate: func(r *ledger.BudgetRecord) (bool, error) { return payOpening(r, o.Amount) }})
			results[i].Changed = changed
			if err != nil {
				results[i].Fault = err.Error()
			}
			return nil
		})
	}
	_ = g.Wait() // errors are in the results
	return results
}
