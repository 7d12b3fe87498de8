package failure

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Kind is the name of a class of errors. Kinds are part of the API and do not change.
type Kind string

// Kinds of errors.
const (
	// Invalid means that the request or the file is malformed.
	Invalid Kind = "invalid"
	// Unauthorized means that the credential is missing or wrong.
	Unauthorized Kind = "unauthorized"
	// NotFound means that the named object does not exist.
	NotFound Kind = "not-found"
	// Conflict means that a concurrent or earlier change made a compare-and-swap or a
	// command fail.
	Conflict Kind = "conflict"
	// BudgetExhausted means that the rest of the budget is too small for the request.
	BudgetExhausted Kind = "budget-exhausted"
	// Limited means that a rate, concurrency or queue limit was reached.
	Limited Kind = "limited"
	// Quarantined means that earlier attempts of the request crashed endpoints.
	Quarantined Kind = "quarantined"
	// NoEndpoint means that no endpoint of the service accepts work.
	NoEndpoint Kind = "no-endpoint"
	// Unavailable means that a peer or the store could not be reached, and that the
	// call had no effect.
	Unavailable Kind = "unavailable"
	// Uncertain means that a call may or may not have taken effect.
	Uncertain Kind = "uncertain"
	// NotOwner means that the instance does not own the shard.
	NotOwner Kind = "not-owner"
	// Fenced means that a newer epoch or fencing token exists.
	Fenced Kind = "fenced"
	// Format means that a stored value or message cannot be decoded or has an unknown
	// format version.
	Format Kind = "format"
	// OutcomeUnknown means that the request may have run earlier, but its result is
	// not known.
	OutcomeUnknown Kind = "outcome-unknown"
	// AlreadyAnswered means that the request ran earlier, but its response was not
	// retained in full.
	AlreadyAnswered Kind = "already-answered"
	// Truncated means that a stream ended before its terminal marker.
	Truncated Kind = "truncated"
	// EndpointFailed means that the endpoint returned an error or crashed.
	EndpointFailed Kind = "endpoint-failed"
	// TooLarge means that the body of a request exceeds the limit.
	TooLarge Kind = "too-large"
	// Slow means that the body of a request made no progress or was not complete in time.
	Slow Kind = "slow"
	// Timeout means that the deadline passed.
	Timeout Kind = "timeout"
	// NotReady means that the instance has no configuration yet or is stopping.
	NotReady Kind = "not-ready"
	// Internal means that this program has a bug.
	Internal Kind = "internal"
)

// Outcome states to a caller whether its request ran.
type Outcome string

// Outcomes of a request. Errors that do not concern a caller's request have none.
const (
	// NotRun means that the request did not run and cannot run later.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
	// Answered means that the request ran to completion.
	Answered Outcome = "answered"
)

// Error is a typed error. Remedy and Outcome are optional.
type Error struct {
	Kind    Kind    `cbor:"1,keyasint" json:"kind"`
	Message string  `cbor:"2,keyasint" json:"message"`
	Remedy  string  `cbor:"3,keyasint,omitempty" json:"remedy,omitempty"`
	Outcome Outcome `cbor:"4,keyasint,omitempty" json:"outcome,omitempty"`
}

var _ error = (*Error)(nil)

// Error returns the kind and the message, followed by the remedy if there is one.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return fmt.Sprintf("%s: %s", e.Kind, e.Message)
	}
	return fmt.Sprintf("%s: %s; %s", e.Kind, e.Message, e.Remedy)
}

// WithOutcome returns a copy of e with the given outcome.
func (e *Error) WithOutcome(outcome Outcome) *Error {
	copied := *e
	copied.Outcome = outcome
	return &copied
}

// New returns a typed error without an outcome. The message is formatted with args,
// the remedy is not.
func New(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// KindOf returns the kind of the first typed error in the chain of err, Internal if
// there is none, and "" if err is nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	return From(err).Kind
}

// Is reports whether err is not nil and KindOf returns kind for it.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }

// From returns the first typed error in the chain of err. If there is none, it returns
// an Internal error with the message of err. It returns nil for nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{Kind: Internal, Message: err.Error(), Remedy: "report this message to the maintainers"}
}

var statusByKind = map[Kind]int{
	Invalid:         http.StatusBadRequest,
	Unauthorized:    http.StatusUnauthorized,
	NotFound:        http.StatusNotFound,
	Conflict:        http.StatusConflict,
	BudgetExhausted: http.StatusPaymentRequired,
	Limited:         http.StatusTooManyRequests,
	Quarantined:     http.StatusUnprocessableEntity,
	NoEndpoint:      http.StatusServiceUnavailable,
	Unavailable:     http.StatusServiceUnavailable,
	Uncertain:       http.StatusServiceUnavailable,
	NotOwner:        http.StatusServiceUnavailable,
	Fenced:          http.StatusConflict,
	Format:          http.StatusInternalServerError,
	OutcomeUnknown:  http.StatusConflict,
	AlreadyAnswered: http.StatusConflict,
	Truncated:       http.StatusBadGateway,
	EndpointFailed:  http.StatusBadGateway,
	TooLarge:        http.StatusRequestEntityTooLarge,
	Slow:            http.StatusRequestTimeout,
	Timeout:         http.StatusGatewayTimeout,
	NotReady:        http.StatusServiceUnavailable,
	Internal:        http.StatusInternalServerError,
}

// Status returns the HTTP status code of kind, and 500 for an unknown kind.
func Status(kind Kind) int {
	if s, ok := statusByKind[kind]; ok {
		return s
	}
	return http.StatusInternalServerError
}
