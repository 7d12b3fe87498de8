package entry

import (
	"context"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
	"github.com/clementinerack/clementinerack/pkg/routing"
)

// Ledger reaches the owners of the ledger shards.
type Ledger interface {
	// NewID issues an id that a shard of this instance's domain may run.
	NewID(budget ledger.BudgetKey) (ledger.RequestID, error)
	// CallerKeyID returns the id that stands for a caller's own key.
	CallerKeyID(budget ledger.BudgetKey, key string) (ledger.RequestID, error)
	// Reserve asks the owner for a decision. failure.Unavailable,
	// failure.Uncertain and failure.NotOwner allow the same call again.
	Reserve(ctx context.Context, req ledger.ReserveRequest) (ledger.ReserveReply, error)
	// Settle ends an attempt. failure.NotFound means that the owner has no
	// record of the request.
	Settle(ctx context.Context, req ledger.SettleRequest) (ledger.SettleReply, error)
	// Lookup returns the state of a request.
	Lookup(ctx context.Context, id string) (ledger.RequestStatus, error)
}

// Configuration gives the document in force.
type Configuration interface {
	// Current returns nil until the instance has a configuration.
	Current() *config.Document
}

// Router chooses endpoints.
type Router interface {
	Acquire(ctx context.Context, req routing.Request) (*routing.Slot, error)
	MarkDown(endpointID string, until time.Time)
}

var _ Router = (*routing.Pool)(nil)

// Quarantine recognizes requests that crash endpoints.
type Quarantine interface {
	// Check fails with failure.Quarantined when the request must not run.
	Check(fingerprint [16]byte, now time.Time) error
	// Suspect reports whether the request must run apart from other suspects.
	Suspect(fingerprint [16]byte, now time.Time) bool
	Started(fingerprint [16]byte, endpointID string, now time.Time)
	Ended(fingerprint [16]byte, endpointID string)
	// Broken is called instead of Ended when the connection broke, which may
	// have been the endpoint's crash.
	Broken(fingerprint [16]byte, endpointID string, now time.Time)
	// EndpointDied counts a crash against the requests that run there.
	EndpointDied(endpointID, incarnation string, now time.Time) []quarantine.Notice
}

var _ Quarantine = (*quarantine.Tracker)(nil)

// Sample is what one request shows about the service level.
type Sample struct {
	Service   string
	Workspace string
	// FirstToken is the time from the arrival of the request to the first part
	// of its answer, and WorstGap the longest time between two parts.
	FirstToken, WorstGap time.Duration
	// Refused is the kind of the error that the caller got instead of an answer,
	// or empty.
	Refused failure.Kind
	// CallerFault is true when the request was refused for a limit of its
	// workspace.
	CallerFault bool
	// Truncated is true when the answer broke off after it had begun.
	Truncated bool
}

// Samples takes one sample per request of a known workspace and service, unless
// the caller left before the end.
type Samples interface {
	Observe(s Sample)
}
