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

// Ledger calls the owners of the ledger shards.
type Ledger interface {
	// NewID issues an id that a shard of this instance's domain may run.
	NewID(budget ledger.BudgetKey) (ledger.RequestID, error)
	// CallerKeyID returns the id that is derived from a caller's own key.
	CallerKeyID(budget ledger.BudgetKey, key string) (ledger.RequestID, error)
	// Reserve asks the owner for a decision. After failure.Unavailable,
	// failure.Uncertain or failure.NotOwner the same call may be made again.
	Reserve(ctx context.Context, req ledger.ReserveRequest) (ledger.ReserveReply, error)
	// Settle ends an attempt. failure.NotFound means that the owner has no
	// record of the request.
	Settle(ctx context.Context, req ledger.SettleRequest) (ledger.SettleReply, error)
	// Lookup returns the state of a request, or failure.NotFound.
	Lookup(ctx context.Context, id string) (ledger.RequestStatus, error)
}

// Configuration provides the configuration document in force.
type Configuration interface {
	// Current returns nil until the instance has a configuration.
	Current() *config.Document
}

// Router chooses endpoints.
type Router interface {
	// Acquire waits for a slot on an endpoint. The slot must be released.
	Acquire(ctx context.Context, req routing.Request) (*routing.Slot, error)
	// MarkDown stops new work to an endpoint until the given time.
	MarkDown(endpointID string, until time.Time)
}

var _ Router = (*routing.Pool)(nil)

// Quarantine detects requests that crash endpoints.
type Quarantine interface {
	// Check fails with failure.Quarantined when the request must not run.
	Check(fingerprint [16]byte, now time.Time) error
	// IsSuspect reports whether the request is suspected of crashing endpoints. It
	// must not run on the same endpoint as another suspect.
	IsSuspect(fingerprint [16]byte, now time.Time) bool
	// RecordStart records that an endpoint runs the request.
	RecordStart(fingerprint [16]byte, endpointID string, now time.Time)
	// RecordTraits records the traits of a request after RecordStart.
	RecordTraits(fingerprint [16]byte, endpointID string, traits []quarantine.Trait)
	// RecordSurvival records that an endpoint survived a request with the given traits.
	RecordSurvival(traits []quarantine.Trait, now time.Time)
	// CheckTraits is like Check for requests that share traits with those that crashed
	// endpoints.
	CheckTraits(traits []quarantine.Trait, now time.Time) error
	// RecordEnd records that the endpoint no longer runs the request.
	RecordEnd(fingerprint [16]byte, endpointID string)
	// RecordBrokenConnection is called instead of RecordEnd when the connection
	// broke, which may have been caused by a crash of the endpoint.
	RecordBrokenConnection(fingerprint [16]byte, endpointID string, now time.Time)
	// RecordEndpointDeath counts a crash against the requests that the endpoint ran. It
	// returns the notices to send to other instances.
	RecordEndpointDeath(endpointID, incarnation string, now time.Time) []quarantine.Notice
}

var _ Quarantine = (*quarantine.Tracker)(nil)

// Sample is the measurement of one request for the service level objectives.
type Sample struct {
	Service   string
	Workspace string
	// FirstTokenDelay is the time from the arrival of the request to the first
	// part of its answer, and LongestTokenInterval is the longest time between two
	// parts.
	FirstTokenDelay, LongestTokenInterval time.Duration
	// Refused is the kind of the error that the caller got instead of an answer;
	// it is empty when an answer began.
	Refused failure.Kind
	// CallerFault is true when the request was refused because its workspace
	// exceeded a limit.
	CallerFault bool
	// Truncated is true when the answer ended early after its first part.
	Truncated bool
}

// Samples receives one sample per request of a known workspace and service,
// unless the caller disconnected before the end.
type Samples interface {
	// Observe records a sample.
	Observe(s Sample)
}
