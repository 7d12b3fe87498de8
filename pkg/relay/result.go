package relay

import (
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// Outcome says how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	// Complete means that the whole answer was received and passed on.
	Complete Outcome = iota + 1
	// NotSent means that no byte of the request can have reached the endpoint.
	NotSent
	// Partial means that the work ended early and Usage is its exact cost.
	Partial
	// Unknown means that the request may have run and that its cost is not known.
	Unknown
)

// String returns the label of the outcome in metrics.
func (o Outcome) String() string {
	switch o {
	case Complete:
		return "complete"
	case NotSent:
		return "not-sent"
	case Partial:
		return "partial"
	}
	return "unknown"
}

// Usage is the cost of a stream in tokens, as reported by the engine.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// Total returns the sum of both kinds of tokens, at most ledger.MaxTokens. A negative
// count, which no engine may report, counts as 0.
func (u Usage) Total() ledger.Tokens {
	bounded := func(n int64) ledger.Tokens { return min(ledger.Tokens(max(0, n)), ledger.MaxTokens) }
	return min(bounded(u.PromptTokens)+bounded(u.CompletionTokens), ledger.MaxTokens)
}

// Result is the result of one attempt.
type Result struct {
	Outcome Outcome
	// Usage is exact for a Complete or Partial model call, and zero otherwise.
	Usage Usage
	// Delivered is true when any part of the answer was passed on.
	Delivered bool
	// EndpointAtFault is true when the attempt failed because of the endpoint.
	EndpointAtFault bool
	// EndpointDied is true when the endpoint's process appears to have ended during
	// the attempt. Incarnation is then the one that ended, if it was known.
	EndpointDied bool
	Incarnation  string
	// FirstByte is the time to the first event or response header; 0 if none
	// arrived.
	FirstByte time.Duration
	// Reconnects counts the connections opened after the first one.
	Reconnects int
	// Err is the reason of the failure, without an outcome; nil for Complete.
	Err *failure.Error
}

var (
	errIdleTimeout      = errors.New("the connection was silent for too long")
	errMissingEvents    = errors.New("events are missing from the stream")
	errNoTerminalMarker = errors.New("the stream ended before its terminal marker")
)

// isBrokenConnection reports whether err may have been caused by the end of the
// endpoint's process.
func isBrokenConnection(err error) bool {
	for _, target := range []error{syscall.ECONNRESET, syscall.ECONNREFUSED, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF, errNoTerminalMarker} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
