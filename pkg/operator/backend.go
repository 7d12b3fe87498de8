package operator

import (
	"context"

	"github.com/clementinerack/clementinerack/pkg/config"
)

// Backend does the work of the API.
type Backend interface {
	Queries
	Commands
}

// Queries read the state of the fleet.
type Queries interface {
	FleetQueries
	// Spent returns what budgets hold and have charged.
	Spent(ctx context.Context, sel BudgetSelection) (SpentReport, error)
	// Stranded returns grants whose epoch was lost.
	Stranded(ctx context.Context, sel BudgetSelection) (StrandedReport, error)
	// Budgets returns the names of the budgets of all workspaces. Of the
	// selection only After is used.
	Budgets(ctx context.Context, sel BudgetSelection) (BudgetsReport, error)
	// Config returns the configuration, or failure.NotFound when none exists.
	Config(ctx context.Context) (*config.Document, error)
}

// FleetQueries ask all instances. An instance that does not answer is listed in
// Silent of the report; it is no error.
type FleetQueries interface {
	Running(ctx context.Context) (RunningReport, error)
	Draining(ctx context.Context) (DrainingReport, error)
	Instances(ctx context.Context) (InstancesReport, error)
	Burn(ctx context.Context) (BurnReport, error)
}

// Commands change the state of the fleet. A repeat of a command under the same
// id has no further effect.
type Commands interface {
	FleetCommands
	TopUp(ctx context.Context, by Issuer, req TopUpRequest) (BudgetResult, error)
	Reclaim(ctx context.Context, by Issuer, req ReclaimRequest) (BudgetResult, error)
	Retire(ctx context.Context, by Issuer, req EndpointRequest) (ConfigResult, error)
	Restore(ctx context.Context, by Issuer, req EndpointRequest) (ConfigResult, error)
	Reconfigure(ctx context.Context, by Issuer, req ReconfigureRequest) (ConfigResult, error)
	Apply(ctx context.Context, by Issuer, req ApplyRequest) (ApplyResult, error)
}

// FleetCommands act on single instances.
type FleetCommands interface {
	// Stop asks an instance to stop gracefully.
	Stop(ctx context.Context, by Issuer, req StopRequest) (StopResult, error)
}

// Fleet is what the daemon adds to StoreBackend to make a Backend.
type Fleet interface {
	FleetQueries
	FleetCommands
}

var _ Backend = struct {
	*StoreBackend
	Fleet
}{}
