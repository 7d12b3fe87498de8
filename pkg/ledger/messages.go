package ledger

import (
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// Tokens is an amount of model tokens, the unit of budgets.
type Tokens int64

// MaxTokens limits every amount, so that the sum of a million amounts fits into
// an int64.
const MaxTokens Tokens = 1 << 42

// ReserveRequest asks the owner of a shard to admit a request.
type ReserveRequest struct {
	ID      string    `cbor:"1,keyasint"`
	Budget  BudgetKey `cbor:"2,keyasint"`
	Service string    `cbor:"3,keyasint"`
	// Fingerprint is a hash of the request. A repeat must have the same one.
	Fingerprint []byte `cbor:"4,keyasint"`
	// Amount is the maximum cost of the request.
	Amount     Tokens `cbor:"5,keyasint"`
	Repeatable bool   `cbor:"6,keyasint,omitempty"`
	// KeepAnswer is true when the caller knows the id and may repeat the
	// request. The answer is then stored, and a refusal is recorded.
	KeepAnswer bool `cbor:"7,keyasint,omitempty"`
	// Dispatcher is the incarnation that will send the request to an endpoint.
	// Repeats of the request attach to it at the peer address DispatcherAddress.
	Dispatcher        string `cbor:"8,keyasint"`
	DispatcherAddress string `cbor:"9,keyasint"`
	// Call is unique among the calls of the dispatcher, so that a call that is
	// sent twice is admitted once.
	Call uint64 `cbor:"10,keyasint"`
	// LostDispatcher is the incarnation to which the sender tried to attach and
	// which did not answer or no longer runs the request; empty otherwise.
	LostDispatcher string `cbor:"11,keyasint,omitempty"`
	// Refuse asks the owner to record the request as not run, because the
	// dispatcher is about to refuse it. If the request has run or is running, the
	// decision is the same as without Refuse.
	Refuse bool `cbor:"12,keyasint,omitempty"`
}

// Decision is the owner's decision on a ReserveRequest.
type Decision int

// Values of Decision.
const (
	// Admitted means that the dispatcher may send the request to an endpoint.
	Admitted Decision = iota + 1
	// Running means that another call runs the request; the caller attaches to
	// its dispatcher.
	Running
	// Answered means that the request has run; the reply contains the stored
	// answer.
	Answered
	// AnswerDropped means that the request has run, but its answer is not stored.
	AnswerDropped
	// OutcomeUnknown means that the request may have run and must not be run again.
	OutcomeUnknown
	// Mismatch means that the id was used before for another request.
	Mismatch
	// Exhausted means that the shard's rights do not cover the amount. The request
	// is not run.
	Exhausted
	// Refused means that the request is recorded as not run. A call that was in
	// flight when this was recorded is refused too.
	Refused
)

// ReserveReply answers a ReserveRequest.
type ReserveReply struct {
	Decision Decision `cbor:"1,keyasint"`
	// Attempt is the number of the attempt, counted per request from 1.
	Attempt uint32 `cbor:"2,keyasint,omitempty"`
	// Dispatcher and DispatcherAddress are set for Running.
	Dispatcher        string `cbor:"3,keyasint,omitempty"`
	DispatcherAddress string `cbor:"4,keyasint,omitempty"`
	// Answer is set for Answered.
	Answer *StoredAnswer `cbor:"5,keyasint,omitempty"`
	// Charged is the amount billed for a request that has run.
	Charged Tokens `cbor:"6,keyasint,omitempty"`
	// Reason explains OutcomeUnknown, Mismatch and Exhausted.
	Reason string `cbor:"7,keyasint,omitempty"`
	// AfterNotRun is true when an earlier attempt was recorded as not run, and
	// SinceNotRun is the time from that record to this decision. If the request is
	// at least that old when the dispatcher gets this reply, the dispatcher
	// received it before the caller was told "not run" and must not send it.
	AfterNotRun bool          `cbor:"8,keyasint,omitempty"`
	SinceNotRun time.Duration `cbor:"9,keyasint,omitempty"`
	// Kind is the kind of error for Exhausted; empty means
	// failure.BudgetExhausted. failure.Limited means that no rights were requested
	// from the store, because too many requests named unknown or exhausted budgets.
	// failure.Unavailable means that the store did not answer, and failure.Format
	// that this release cannot read the budget record.
	Kind failure.Kind `cbor:"10,keyasint,omitempty"`
}

// StoredAnswer is a complete answer as it was sent to the caller.
type StoredAnswer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
}

// MaxStoredAnswerBytes limits the body of a stored answer. A larger answer is not
// stored, and a repeat of the request gets the decision AnswerDropped.
const MaxStoredAnswerBytes = 64 << 10

// End is the way in which an attempt ended.
type End int

// Values of End.
const (
	// EndComplete means that the endpoint sent a complete final report. Charge is
	// exact.
	EndComplete End = iota + 1
	// EndNotRun means that no byte of the request reached an endpoint and that the
	// dispatcher will not send it. The whole reservation is released.
	EndNotRun
	// EndUnknown means that the request may have run. The whole reservation is
	// charged.
	EndUnknown
	// EndPartial means that the endpoint ended the work early and reported the
	// exact cost (cancelled request, failed stream). The caller did not get a
	// complete answer.
	EndPartial
)

// SettleRequest reports the end of an attempt to the owner of the shard.
type SettleRequest struct {
	ID      string        `cbor:"1,keyasint"`
	Attempt uint32        `cbor:"2,keyasint"`
	End     End           `cbor:"3,keyasint"`
	Charge  Tokens        `cbor:"4,keyasint,omitempty"`
	Answer  *StoredAnswer `cbor:"5,keyasint,omitempty"`
	// Dispatcher and Call identify the attempt when Attempt is 0, that is, when
	// the dispatcher never got the reply to its ReserveRequest. Only EndNotRun may
	// be reported without Attempt.
	Dispatcher string `cbor:"6,keyasint,omitempty"`
	Call       uint64 `cbor:"7,keyasint,omitempty"`
}

// SettleReply answers a SettleRequest.
type SettleReply struct {
	// Charged is the amount charged for the request.
	Charged Tokens `cbor:"1,keyasint"`
	// Stale is true when another attempt has replaced this one.
	Stale bool `cbor:"2,keyasint,omitempty"`
	// MayHaveRun is true when EndNotRun was reported, but the request may have run
	// in another attempt.
	MayHaveRun bool `cbor:"3,keyasint,omitempty"`
}

// RecordState is the state of a request record.
type RecordState int

// States of a request record.
const (
	// StateRunning means that an attempt is admitted and not yet settled.
	StateRunning RecordState = iota + 1
	// StateAnswered means that the request ran and was answered completely.
	StateAnswered
	// StateNotRun means that the request did not run in any attempt.
	StateNotRun
	// StateUnknown means that the request may have run. Its whole reservation is
	// charged.
	StateUnknown
	// StatePartial means that the request ran in part and gave no complete answer.
	// If it is repeatable, it may be sent again and is billed for its last attempt
	// only.
	StatePartial
)

// RequestStatus is the public view of a request record.
type RequestStatus struct {
	ID       string      `cbor:"1,keyasint" json:"id"`
	State    RecordState `cbor:"2,keyasint" json:"-"`
	Charged  Tokens      `cbor:"3,keyasint" json:"charged"`
	Reserved Tokens      `cbor:"4,keyasint" json:"reserved"`
	Service  string      `cbor:"5,keyasint" json:"service"`
	Budget   BudgetKey   `cbor:"6,keyasint" json:"budget"`
	// Dispatcher is the incarnation that sends the request to an endpoint.
	Dispatcher string `cbor:"7,keyasint" json:"dispatcher"`
	// UpdatedAtMillis is the owner's wall clock at the last change of state, in ms
	// since 1970.
	UpdatedAtMillis int64 `cbor:"8,keyasint" json:"at_ms"`
}

// BillLine is the bill of one request. There is at most one per request id.
type BillLine struct {
	ID       string    `cbor:"1,keyasint" json:"id"`
	Budget   BudgetKey `cbor:"2,keyasint" json:"budget"`
	Service  string    `cbor:"3,keyasint" json:"service"`
	Tokens   Tokens    `cbor:"4,keyasint" json:"tokens"`
	Complete bool      `cbor:"5,keyasint" json:"complete"`
}

// Retention holds the times for which records are kept after the last attempt
// ended.
type Retention struct {
	Repeatable    time.Duration
	NonRepeatable time.Duration
}
