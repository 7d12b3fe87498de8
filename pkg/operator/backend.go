package operator

import (
	"context"

	"github.com/clementinerack/clementinerack/pkg/config"
)

// Backend implements the calls of the API.
type Backend interface {
	Queries
	Commands
}

// Queries read the state of the fleet.
type Queries interface {
	FleetQueries
	// Spent returns the balances and charges of the selected budgets.
	Spent(ctx context.Context, sel BudgetSelection) (SpentReport, error)
	// Stranded returns the grants of the selected budgets whose epoch was lost.
	Stranded(ctx context.Context, sel BudgetSelection) (StrandedReport, error)
	// Budgets returns the names of the budgets of all workspaces. It uses only
	// After of the selection, as the name of a workspace.
	Budgets(ctx context.Context, sel BudgetSelection) (BudgetsReport, error)
	// Config returns the configuration, or failure.NotFound when none exists.
	Config(ctx context.Context) (*config.Document, error)
}

// FleetQueries ask all instances. An instance that does not answer causes no
// error: InstancesReport marks it as not answered, and the other reports list it
// in Silent.
type FleetQueries interface {
	// Running returns the requests in flight.
	Running(ctx context.Context) (RunningReport, error)
	// Draining returns the endpoints and instances that take no new work.
	Draining(ctx context.Context) (DrainingReport, error)
	// Instances returns the state of all known instances.
	Instances(ctx context.Context) (InstancesReport, error)
	// Burn returns the burn rates of the error budgets.
	Burn(ctx context.Context) (BurnReport, error)
}

// Commands change the state of the fleet. A repeat of a command with the same id
// has no further effect.
type Commands interface {
	FleetCommands
	// TopUp pays an amount into a budget.
	TopUp(ctx context.Context, issuer Issuer, req TopUpRequest) (BudgetResult, error)
	// Reclaim returns a part of a stranded grant to its budget.
	Reclaim(ctx context.Context, issuer Issuer, req ReclaimRequest) (BudgetResult, error)
	// Retire drains an endpoint.
	Retire(ctx context.Context, issuer Issuer, req EndpointRequest) (ConfigResult, error)
	// Restore ends the drain of an endpoint.
	Restore(ctx context.Context, issuer Issuer, req EndpointRequest) (ConfigResult, error)
	// Reconfigure changes the desired state of an engine.
	Reconfigure(ctx context.Context, issuer Issuer, req ReconfigureRequest) (ConfigResult, error)
	// Apply puts declarations in force.
	Apply(ctx context.Context, issuer Issuer, req ApplyRequest) (ApplyResult, error)
}

// FleetCommands act on single instances.
type FleetCommands interface {
	// Stop asks an instance to stop gracefully.
	Stop(ctx context.Context, issuer Issuer, req StopRequest) (StopResult, error)
}

// Fleet has the calls of Backend that StoreBackend does not implement.
type Fleet interface {
	FleetQueries
	FleetCommands
}

var _ Backend = struct {
	*StoreBackend
	Fleet
}{}
