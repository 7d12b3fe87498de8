package ledger

import (
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// Tokens is an amount of model tokens, the unit of budgets.
type Tokens int64

// MaxTokens bounds every amount so that sums of a million amounts fit an int64.
const MaxTokens Tokens = 1 << 42

// ReserveRequest asks the owner of a shard to admit a request.
type ReserveRequest struct {
	ID      string    `cbor:"1,keyasint"`
	Budget  BudgetKey `cbor:"2,keyasint"`
	Service string    `cbor:"3,keyasint"`
	// Fingerprint is a hash of the request; a repeat must carry the same one.
	Fingerprint []byte `cbor:"4,keyasint"`
	// Amount is the most that the request can cost.
	Amount     Tokens `cbor:"5,keyasint"`
	Repeatable bool   `cbor:"6,keyasint,omitempty"`
	// KeepAnswer is true when the caller knows the id and may repeat the
	// request: the answer is stored, and a refusal is recorded.
	KeepAnswer bool `cbor:"7,keyasint,omitempty"`
	// Dispatcher is the incarnation that will send the request to an endpoint,
	// and DispatcherAddress the peer address at which repeats attach.
	Dispatcher        string `cbor:"8,keyasint"`
	DispatcherAddress string `cbor:"9,keyasint"`
	// Call is unique to this attempt of the dispatcher, so that a call sent
	// twice is admitted once.
	Call uint64 `cbor:"10,keyasint"`
	// DispatcherGone is the incarnation that the sender found to be gone when
	// it tried to attach; empty otherwise.
	DispatcherGone string `cbor:"11,keyasint,omitempty"`
	// Refuse asks the owner to record the request as not run, because the
	// dispatcher is about to refuse it. A request that has run or is running is
	// answered as usual.
	Refuse bool `cbor:"12,keyasint,omitempty"`
}

// Decision is the owner's decision on a ReserveRequest.
type Decision int

// Decisions.
const (
	// Admitted: the dispatcher may send the request to an endpoint.
	Admitted Decision = iota + 1
	// Running: another dispatcher runs the request; attach there.
	Running
	// Answered: the request has run; the stored answer is in the reply.
	Answered
	// AnswerDropped: the request has run; its answer is not kept.
	AnswerDropped
	// OutcomeUnknown: the request may have run and may not be run again.
	OutcomeUnknown
	// Mismatch: the id was used before for another request.
	Mismatch
	// Exhausted: the shard's rights do not cover the amount. Not run.
	Exhausted
	// Refused: the request is recorded as not run. A call that was in flight
	// when this was recorded is refused too.
	Refused
)

// ReserveReply answers a ReserveRequest.
type ReserveReply struct {
	Decision Decision `cbor:"1,keyasint"`
	// Attempt numbers the attempts of a request from 1.
	Attempt uint32 `cbor:"2,keyasint,omitempty"`
	// Dispatcher and DispatcherAddress are set for Running.
	Dispatcher        string `cbor:"3,keyasint,omitempty"`
	DispatcherAddress string `cbor:"4,keyasint,omitempty"`
	// Answer is set for Answered.
	Answer *StoredAnswer `cbor:"5,keyasint,omitempty"`
	// Charged is the bill of an answered request.
	Charged Tokens `cbor:"6,keyasint,omitempty"`
	// Reason explains OutcomeUnknown, Mismatch and Exhausted.
	Reason string `cbor:"7,keyasint,omitempty"`
	// AfterNotRun is true when an earlier attempt was recorded as not run, and
	// SinceNotRun is the time from that record to this decision. A dispatcher
	// whose request is at least that old when it gets this reply received it
	// before the caller was told "not run", and must not send it.
	AfterNotRun bool          `cbor:"8,keyasint,omitempty"`
	SinceNotRun time.Duration `cbor:"9,keyasint,omitempty"`
	// Kind is the kind of error for Exhausted; empty means
	// failure.BudgetExhausted. failure.Limited means that the store was not asked
	// for rights because too many requests named unknown or empty budgets,
	// failure.Unavailable that it did not answer, and failure.Format that this
	// release cannot read the budget's record.
	Kind failure.Kind `cbor:"10,keyasint,omitempty"`
}

// StoredAnswer is a whole answer as it was sent to the caller.
type StoredAnswer struct {
	Status      int    `cbor:"1,keyasint"`
	ContentType string `cbor:"2,keyasint"`
	Body        []byte `cbor:"3,keyasint"`
}

// MaxStoredAnswerBytes bounds a stored answer; a larger one is dropped, and a
// repeat is told that the request ran.
const MaxStoredAnswerBytes = 64 << 10

// End tells how an attempt ended.
type End int

// Ends of an attempt.
const (
	// EndComplete: the endpoint gave a complete final report; Charge is exact.
	EndComplete End = iota + 1
	// EndNotRun: no byte of the request reached an endpoint, and the dispatcher
	// will not send it. The whole reservation is released.
	EndNotRun
	// EndUnknown: the request may have run; the whole reservation is charged.
	EndUnknown
	// EndPartial: the endpoint ended the work early and reported the exact cost
	// (cancel, failed stream); the caller did not get a whole answer.
	EndPartial
)

// SettleRequest ends an attempt.
type SettleRequest struct {
	ID      string        `cbor:"1,keyasint"`
	Attempt uint32        `cbor:"2,keyasint"`
	End     End           `cbor:"3,keyasint"`
	Charge  Tokens        `cbor:"4,keyasint,omitempty"`
	Answer  *StoredAnswer `cbor:"5,keyasint,omitempty"`
	// Dispatcher and Call name the attempt when Attempt is 0, which is the case
	// when the dispatcher never got the answer to its ReserveRequest. Only
	// EndNotRun may be reported that way.
	Dispatcher string `cbor:"6,keyasint,omitempty"`
	Call       uint64 `cbor:"7,keyasint,omitempty"`
}

// SettleReply answers a SettleRequest.
type SettleReply struct {
	// Charged is what the request was billed.
	Charged Tokens `cbor:"1,keyasint"`
	// Stale is true when another attempt had replaced this one.
	Stale bool `cbor:"2,keyasint,omitempty"`
	// MayHaveRun is true when the attempt is settled as not run, but the request
	// may have run in another attempt.
	MayHaveRun bool `cbor:"3,keyasint,omitempty"`
}

// RecordState is the state of a request record.
type RecordState int

// States of a request record.
const (
	StateRunning RecordState = iota + 1
	StateAnswered
	StateNotRun
	StateUnknown
	// StatePartial: the request ran in part and gave no whole answer. A
	// repeatable one may be sent again; it is billed for its last attempt only.
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
	// UpdatedAtMillis is the owner's wall clock in ms at the last change of state.
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

// Retention says how long records are kept after their end.
type Retention struct {
	Repeatable    time.Duration
	NonRepeatable time.Duration
}
