package operator

import (
	"time"

	"github.com/clementinerack/clementinerack/pkg/burn"
	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/declare"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// Issuer tells who sent a command.
type Issuer struct {
	Command  string // command id
	Operator string
}

// BudgetSelection selects budgets. Empty fields select all.
type BudgetSelection struct {
	Workspace string
	Budget    string
	// After skips budgets up to and including this "workspace/budget".
	After string
}

// BudgetStatus is the state of one budget in its record. Fault tells why it could
// not be read.
type BudgetStatus struct {
	Budget     ledger.BudgetKey `json:"budget"`
	Paid       ledger.Tokens    `json:"paid"`
	Charged    ledger.Tokens    `json:"charged"`
	Granted    ledger.Tokens    `json:"granted"`
	Stranded   ledger.Tokens    `json:"stranded"`
	Unassigned ledger.Tokens    `json:"unassigned"`
	// Grants are those of the record by shard.
	Grants []ledger.Grant `json:"grants,omitempty"`
	// StrandedCharged is the part of Charged that belongs to stranded grants.
	StrandedCharged ledger.Tokens `json:"stranded_charged,omitempty"`
	// Now is what the owners of the shards know, or nil if none was asked.
	Now   *CurrentUsage `json:"now,omitempty"`
	Fault string        `json:"fault,omitempty"`
}

// CurrentUsage is what the owners of a budget's shards know now.
type CurrentUsage struct {
	// Charged is exact when Unheard is empty. For the shards in Unheard it
	// contains what their record shows, which they may have exceeded.
	Charged  ledger.Tokens `json:"charged"`
	Reserved ledger.Tokens `json:"reserved"`
	// UnreportedShards are shards with a grant of which no owner answered.
	UnreportedShards []string `json:"unheard,omitempty"`
}

// SpentReport lists budgets by name. Spending.Charged is what the shards had
// charged when they last wrote the record, so it lags behind Spending.Now.
type SpentReport struct {
	Budgets []BudgetStatus `json:"budgets"`
	// Faults names the indexes of budgets that could not be read.
	Faults []string `json:"faults,omitempty"`
	// Silent are the instances that did not answer.
	Silent []string `json:"silent,omitempty"`
	// Next is the value of BudgetSelection.After for the rest, or empty.
	Next string `json:"next,omitempty"`
}

// BudgetsReport lists the names of budgets by workspace.
type BudgetsReport struct {
	Budgets declare.Budgets `json:"budgets"`
	Next    string          `json:"next,omitempty"`
}

// StrandedGrant is a grant whose epoch was lost.
type StrandedGrant struct {
	Budget ledger.BudgetKey `json:"budget"`
	ledger.Stranded
}

// StrandedReport lists stranded grants by budget. Faults names the budgets that
// could not be read.
type StrandedReport struct {
	Grants []StrandedGrant `json:"grants"`
	Faults []string        `json:"faults,omitempty"`
	Next   string          `json:"next,omitempty"`
}

// RunningRequest is a request in flight.
type RunningRequest struct {
	ID string `json:"id"`
	// Dispatcher is the incarnation that sends the request to an endpoint.
	Dispatcher string           `json:"dispatcher"`
	Budget     ledger.BudgetKey `json:"budget"`
	Service    string           `json:"service"`
	Reserved   ledger.Tokens    `json:"reserved"`
	// Age is the time since the owner of the shard admitted the attempt, by the
	// owner's clock.
	Age time.Duration `json:"age_ns"`
}

// RunningReport lists requests in flight.
type RunningReport struct {
	Requests []RunningRequest `json:"requests"`
	Silent   []string         `json:"silent"`
}

// DrainingEndpoint is an endpoint that takes no new work.
type DrainingEndpoint struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	// Reasons are operator, endpoint and platform; each holds by itself.
	Reasons []string `json:"reasons"`
	Running int      `json:"running"`
}

// DrainingReport lists what is leaving.
type DrainingReport struct {
	Endpoints []DrainingEndpoint `json:"endpoints"`
	Instances []string           `json:"instances"`
	Silent    []string           `json:"silent"`
}

// InstanceStatus is the state of an instance.
type InstanceStatus struct {
	ID         string `json:"id"`
	Domain     string `json:"domain"`
	Address    string `json:"address"`
	Generation uint64 `json:"generation"`
	Ready      bool   `json:"ready"`
	Stopping   bool   `json:"stopping"`
	Running    int    `json:"running"`
	// Answered is false when the instance is listed but did not answer; the
	// fields above but its name and place are unknown then.
	Answered bool `json:"answered"`
}

// InstancesReport lists all known instances.
type InstancesReport struct {
	Instances []InstanceStatus `json:"instances"`
}

// BurnReport is the use of the error budgets over all instances that answered.
type BurnReport struct {
	burn.Report
	Silent []string `json:"silent"`
}

// TopUpRequest pays an amount into a budget.
type TopUpRequest struct {
	Budget ledger.BudgetKey `json:"budget"`
	Amount ledger.Tokens    `json:"amount"`
}

// ReclaimRequest returns a part of a stranded grant to its budget. With it the
// operator states that the instances of that epoch are gone.
type ReclaimRequest struct {
	Budget ledger.BudgetKey `json:"budget"`
	Shard  ledger.ShardID   `json:"shard"`
	Epoch  uint64           `json:"epoch"`
	Amount ledger.Tokens    `json:"amount"`
}

// BudgetResult is the answer to a change of a budget.
type BudgetResult struct {
	// Changed is false when the command had been applied before.
	Changed bool         `json:"changed"`
	Budget  BudgetStatus `json:"budget"`
}

// EndpointRequest retires or restores an endpoint.
type EndpointRequest struct {
	Endpoint string `json:"endpoint"`
	// Expect is the generation that the operator has seen; 0 means any.
	Expect uint64 `json:"expect,omitempty"`
}

// ReconfigureRequest changes the desired state of an engine. Absent fields keep
// their value.
type ReconfigureRequest struct {
	Endpoint string    `json:"endpoint"`
	Model    *string   `json:"model,omitempty"`
	Version  *string   `json:"version,omitempty"`
	Adapters *[]string `json:"adapters,omitempty"`
	Role     *string   `json:"role,omitempty"`
	Expect   uint64    `json:"expect,omitempty"`
}

// ConfigResult is the answer to a change of the configuration.
type ConfigResult struct {
	// Generation is the one in force after the command.
	Generation uint64 `json:"generation"`
}

// ApplyRequest puts declarations in force.
type ApplyRequest struct {
	Document *config.Document  `json:"document"`
	Budgets  declare.Budgets   `json:"budgets,omitempty"`
	Openings []declare.Opening `json:"openings,omitempty"`
	Expect   uint64            `json:"expect,omitempty"`
}

// OpeningResult tells what became of an opening amount.
type OpeningResult struct {
	declare.Opening
	// Changed is false when the budget got an opening amount before.
	Changed bool   `json:"changed"`
	Fault   string `json:"fault,omitempty"`
}

// ApplyResult is the answer to an apply. Openings with a fault were not paid
// in; a repeat of the command with the same id tries them again.
type ApplyResult struct {
	ConfigResult
	Openings []OpeningResult `json:"openings"`
	// Faults names the indexes of budgets that were not written; a repeat of the
	// command with the same id writes them.
	Faults []string `json:"faults,omitempty"`
}

// StopRequest names the instance to stop.
type StopRequest struct {
	Instance string `json:"instance"`
}

// StopResult is the answer to a stop.
type StopResult struct {
	// Running is the number of requests that the instance still finishes.
	Running int `json:"running"`
}
