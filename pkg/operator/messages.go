package operator

import (
	"time"

	"github.com/clementinerack/clementinerack/pkg/burn"
	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/declare"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// Issuer identifies a command and the operator who sent it.
type Issuer struct {
	Command  string // command id
	Operator string // name of the operator
}

// BudgetSelection selects budgets. An empty field does not restrict the selection.
type BudgetSelection struct {
	Workspace string
	Budget    string // name within the workspace
	// After skips the budgets up to and including this "workspace/budget".
	After string
}

// BudgetStatus is the status of one budget as its record shows it.
type BudgetStatus struct {
	Budget ledger.BudgetKey `json:"budget"`
	// Paid is the sum of the opening amount and all top-ups.
	Paid ledger.Tokens `json:"paid"`
	// Charged is what the shards had charged when they last wrote the record.
	Charged ledger.Tokens `json:"charged"`
	// Granted is the sum of Grants.
	Granted ledger.Tokens `json:"granted"`
	// Stranded is the sum of the stranded grants.
	Stranded ledger.Tokens `json:"stranded"`
	// Unassigned is the paid amount that is neither granted nor stranded.
	Unassigned ledger.Tokens `json:"unassigned"`
	// Grants are the grants of the shards.
	Grants []ledger.Grant `json:"grants,omitempty"`
	// StrandedCharged is the part of Charged that belongs to stranded grants.
	StrandedCharged ledger.Tokens `json:"stranded_charged,omitempty"`
	// Now is the usage that the owners of the shards report, or nil if they were
	// not asked.
	Now *CurrentUsage `json:"now,omitempty"`
	// Fault is the error that prevented reading the record, or empty.
	Fault string `json:"fault,omitempty"`
}

// CurrentUsage is the usage of a budget as the owners of its shards report it.
type CurrentUsage struct {
	// Charged is exact when UnreportedShards is empty. For the shards listed
	// there it contains the charge of the record, which they may have exceeded.
	Charged ledger.Tokens `json:"charged"`
	// Reserved is the sum of the reservations of requests in flight.
	Reserved ledger.Tokens `json:"reserved"`
	// UnreportedShards are the shards with a grant for which no owner answered.
	UnreportedShards []string `json:"unheard,omitempty"`
}

// SpentReport lists the status of budgets, sorted by workspace and name.
// BudgetStatus.Charged lags behind BudgetStatus.Now.
type SpentReport struct {
	Budgets []BudgetStatus `json:"budgets"`
	// Faults are the errors of the budget indexes that could not be decoded.
	Faults []string `json:"faults,omitempty"`
	// Silent are the ids of the instances that did not answer.
	Silent []string `json:"silent,omitempty"`
	// Next is the value of BudgetSelection.After for the next page, or empty on
	// the last page.
	Next string `json:"next,omitempty"`
}

// BudgetsReport lists the names of budgets by workspace.
type BudgetsReport struct {
	Budgets declare.Budgets `json:"budgets"`
	// Next is the value of BudgetSelection.After for the next page, or empty on
	// the last page.
	Next string `json:"next,omitempty"`
}

// StrandedGrant is a grant whose epoch was lost.
type StrandedGrant struct {
	Budget ledger.BudgetKey `json:"budget"`
	ledger.Stranded
}

// StrandedReport lists stranded grants, sorted by workspace and budget.
type StrandedReport struct {
	Grants []StrandedGrant `json:"grants"`
	// Faults are the errors of the budget indexes and records that could not be
	// decoded.
	Faults []string `json:"faults,omitempty"`
	// Next is the value of BudgetSelection.After for the next page, or empty on
	// the last page.
	Next string `json:"next,omitempty"`
}

// RunningRequest is a request in flight.
type RunningRequest struct {
	ID string `json:"id"`
	// Dispatcher is the incarnation of the instance that sends the request to an
	// endpoint.
	Dispatcher string           `json:"dispatcher"`
	Budget     ledger.BudgetKey `json:"budget"`
	Service    string           `json:"service"`
	Reserved   ledger.Tokens    `json:"reserved"`
	// Age is the time since the owner of the shard admitted the attempt, measured
	// by the owner's clock.
	Age time.Duration `json:"age_ns"`
}

// RunningReport lists requests in flight.
type RunningReport struct {
	Requests []RunningRequest `json:"requests"`
	// Silent are the ids of the instances that did not answer.
	Silent []string `json:"silent"`
}

// DrainingEndpoint is an endpoint that takes no new work.
type DrainingEndpoint struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	// Reasons names who drains the endpoint: operator, endpoint or platform. Each
	// of them is a sufficient reason.
	Reasons []string `json:"reasons"`
	// Running is the number of requests in flight at the endpoint.
	Running int `json:"running"`
}

// DrainingReport lists the endpoints and instances that take no new work.
type DrainingReport struct {
	Endpoints []DrainingEndpoint `json:"endpoints"`
	// Instances are the ids of the instances that are stopping.
	Instances []string `json:"instances"`
	// Silent are the ids of the instances that did not answer.
	Silent []string `json:"silent"`
}

// InstanceStatus is the state of an instance.
type InstanceStatus struct {
	ID         string `json:"id"`
	Domain     string `json:"domain"`
	Address    string `json:"address"`
	Generation uint64 `json:"generation"`
	Ready      bool   `json:"ready"`
	Stopping   bool   `json:"stopping"`
	// Running is the number of requests in flight.
	Running int `json:"running"`
	// Answered is false if the instance is listed but did not answer. Only ID,
	// Domain and Address are known then.
	Answered bool `json:"answered"`
}

// InstancesReport lists all known instances.
type InstancesReport struct {
	Instances []InstanceStatus `json:"instances"`
}

// BurnReport holds the burn rates of the error budgets over all instances that
// answered.
type BurnReport struct {
	burn.Report
	// Silent are the ids of the instances that did not answer.
	Silent []string `json:"silent"`
}

// TopUpRequest asks to pay an amount into a budget.
type TopUpRequest struct {
	Budget ledger.BudgetKey `json:"budget"`
	Amount ledger.Tokens    `json:"amount"`
}

// ReclaimRequest asks to return a part of a stranded grant to its budget. With it
// the operator states that the instances of that epoch have ended; this is not verified.
type ReclaimRequest struct {
	Budget ledger.BudgetKey `json:"budget"`
	Shard  ledger.ShardID   `json:"shard"`
	Epoch  uint64           `json:"epoch"`
	Amount ledger.Tokens    `json:"amount"`
}

// BudgetResult is the result of a change of a budget.
type BudgetResult struct {
	// Changed is false if the command had been applied before.
	Changed bool         `json:"changed"`
	Budget  BudgetStatus `json:"budget"`
}

// EndpointRequest asks to retire or restore an endpoint.
type EndpointRequest struct {
	Endpoint string `json:"endpoint"`
	// Expect is the generation of the configuration on which the command is
	// based; 0 accepts any generation.
	Expect uint64 `json:"expect,omitempty"`
}

// ReconfigureRequest asks to change the desired state of an engine. A nil field
// keeps its value. For Expect see EndpointRequest.
type ReconfigureRequest struct {
	Endpoint string    `json:"endpoint"`
	Model    *string   `json:"model,omitempty"`
	Version  *string   `json:"version,omitempty"`
	Adapters *[]string `json:"adapters,omitempty"`
	Role     *string   `json:"role,omitempty"`
	Expect   uint64    `json:"expect,omitempty"`
}

// ConfigResult is the result of a change of the configuration.
type ConfigResult struct {
	// Generation is the generation in force after the command.
	Generation uint64 `json:"generation"`
}

// ApplyRequest asks to put declarations in force. For Expect see EndpointRequest.
type ApplyRequest struct {
	Document *config.Document  `json:"document"`
	Budgets  declare.Budgets   `json:"budgets,omitempty"`
	Openings []declare.Opening `json:"openings,omitempty"`
	Expect   uint64            `json:"expect,omitempty"`
}

// OpeningResult is the result of the payment of an opening amount.
type OpeningResult struct {
	declare.Opening
	// Changed is false if nothing was paid, because the budget had or may have had
	// an opening amount, or because of Fault.
	Changed bool `json:"changed"`
	// Fault is the error that prevented the payment, or empty.
	Fault string `json:"fault,omitempty"`
}

// ApplyResult is the result of an apply. A repeat of the command with the same id
// tries again to pay the opening amounts with a fault and to write the indexes in
// Faults.
type ApplyResult struct {
	ConfigResult
	Openings []OpeningResult `json:"openings"`
	// Faults are the errors of the budget indexes that were not written, and a
	// message if another apply came in between.
	Faults []string `json:"faults,omitempty"`
}

// StopRequest asks an instance to stop gracefully.
type StopRequest struct {
	Instance string `json:"instance"`
}

// StopResult is the result of a stop.
type StopResult struct {
	// Running is the number of requests in flight that the instance finishes
	// before it ends.
	Running int `json:"running"`
}
