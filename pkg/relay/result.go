package relay

import (
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// Outcome tells how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	// Complete: the whole answer was received and passed to the sink.
	Complete Outcome = iota + 1
	// NotSent: no byte of the request can have reached the endpoint.
	NotSent
	// Partial: the work ended early and Usage is its exact cost.
	Partial
	// Unknown: the request may have run, and its cost is not known.
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

// Usage is the cost that an engine reports for a stream.
type Usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// Total returns the sum of both kinds of tokens. A negative count, which no
// engine may report, counts as 0.
func (u Usage) Total() ledger.Tokens {
	return ledger.Tokens(max(0, u.PromptTokens)) + ledger.Tokens(max(0, u.CompletionTokens))
}

// Result is the result of one attempt.
type Result struct {
	Outcome Outcome
	// Usage is exact for a Complete or Partial model call, and zero otherwise.
	Usage Usage
	// Delivered is true when anything was passed to the sink.
	Delivered bool
	// EndpointAtFault is true when the attempt failed because of the endpoint.
	EndpointAtFault bool
	// EndpointDied is true when the endpoint's process seems to have ended during the
	// attempt, and Incarnation is the one that ended, if it was known.
	EndpointDied bool
	Incarnation  string
	// FirstByte is the time to the first event or response header; 0 when none
	// arrived.
	FirstByte time.Duration
	// Reconnects counts the connections opened after the first one.
	Reconnects int
	// Err is nil for Complete.
	Err *failure.Error
}

var (
	errSilent = errors.New("the connection was silent for too long")
	errGap    = errors.New("events are missing from the stream")
	errShort  = errors.New("the stream ended before its terminal marker")
)

// brokenConnection reports whether err can stem from the end of the endpoint's
// process.
func brokenConnection(err error) bool {
	for _, target := range []error{syscall.ECONNRESET, syscall.ECONNREFUSED, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF, errShort} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}

func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
