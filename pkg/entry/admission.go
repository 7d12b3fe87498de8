package entry

import (
	"context"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

const (
	initialReserveInterval = 10 * time.Millisecond
	maxReserveInterval     = 250 * time.Millisecond // short compared with a takeover, which takes about 3 s
	// maxAdmissionRounds bounds how often a request asks its owner for a decision,
	// which it does again when a dispatcher that it attached to is lost.
	maxAdmissionRounds = 8
	// clockResolution is the resolution of ReserveReply.SinceNotRun, which is the
	// difference of two times in ms. Without this margin a request that is up to
	// 1 ms older than the record of "not run" would be sent.
	clockResolution = time.Millisecond
)

// admission is the state of a request while its owner decides on it.
type admission struct {
	server *Server
	job    *job
	req    ledger.ReserveRequest
	entry  *requestEntry
	// refusal is the reason why the request must not run, or nil. The owner
	// records a refused request as not run unless it has run or is running.
	refusal *failure.Error
	// idReplaced is true after an id that the caller does not know was replaced
	// by a new one.
	idReplaced bool
}

// errNextRound is a sentinel that makes admit run another round. It is never
// returned to a caller.
var errNextRound = &failure.Error{}

// admit asks the owner of the request's shard for a decision and acts on it. It
// returns nil when the caller got a complete answer.
func (s *Server) admit(ctx context.Context, j *job, refusal *failure.Error) *failure.Error {
	if refusal != nil && !j.callerKnowsID {
		return refusal.WithOutcome(failure.NotRun)
	}
	a := &admission{server: s, job: j, refusal: refusal}
	for range maxAdmissionRounds {
		if err := a.runRound(ctx); err != errNextRound {
			return err
		}
	}
	return failure.New(failure.Unavailable, "repeat the request under the same id",
		"the instance that runs the request could not be reached").WithOutcome(failure.Unknown)
}

// runRound asks the owner once, under a new call number, and acts on the
// decision.
func (a *admission) runRound(ctx context.Context) *failure.Error {
	call := a.server.callSeq.Add(1)
	a.entry = a.server.requests.add(a.job.id, call)
	defer a.server.requests.removeUndecided(a.entry)
	a.req = ledger.ReserveRequest{
		ID: a.job.id, Budget: a.job.budget, Service: a.job.service.Name, Fingerprint: a.job.fingerprint[:],
		Amount: a.job.amount, Repeatable: a.job.repeatable, KeepAnswer: a.job.callerKnowsID,
		Dispatcher: a.server.opts.Self.Incarnation, DispatcherAddress: a.server.opts.Self.Address,
		Call: call, LostDispatcher: a.req.LostDispatcher, Refuse: a.refusal != nil,
	}
	reply, err := a.reserveWithRetry(ctx)
	if err != nil {
		return a.failUndecided(ctx, err)
	}
	if reply.Decision == ledger.Exhausted && a.job.callerKnowsID {
		a.refusal = a.exhaustedError(reply)
		a.req.Refuse = true
		// The call number stays the same, so that a copy of the first call that
		// is still in flight is refused too.
		if reply, err = a.reserveWithRetry(ctx); err != nil {
			return a.failUndecided(ctx, err)
		}
	}
	return a.handleDecision(ctx, reply)
}

// reserveWithRetry repeats the call with backoff until the owner answers or ctx
// ends.
func (a *admission) reserveWithRetry(ctx context.Context) (ledger.ReserveReply, error) {
	wait := newBackoff(initialReserveInterval, maxReserveInterval)
	for {
		reply, err := a.server.opts.Ledger.Reserve(ctx, a.req)
		if err == nil || !isRetryable(err) || ctx.Err() != nil {
			return reply, err
		}
		if sleep(ctx, wait.NextBackOff()) != nil {
			return reply, err
		}
	}
}

func isRetryable(err error) bool {
	switch failure.KindOf(err) {
	case failure.Unavailable, failure.Uncertain, failure.NotOwner, failure.Timeout:
		return true
	}
	return false
}

// failUndecided ends a request whose owner gave no decision. The request was not
// sent, but "not run" may be reported only if the caller does not know the id.
func (a *admission) failUndecided(ctx context.Context, err error) *failure.Error {
	a.server.settleUndecided(a.entry)
	e := failure.From(err)
	if ctx.Err() != nil {
		e = failure.New(failure.Timeout, "allow more time", "the deadline passed before the owner of the ledger shard answered: %s", e.Message)
	}
	if a.refusal != nil {
		e = a.refusal
	}
	if a.job.callerKnowsID {
		return e.WithOutcome(failure.Unknown)
	}
	return e.WithOutcome(failure.NotRun)
}

// exhaustedError returns the error of a reply with the decision Exhausted.
func (a *admission) exhaustedError(reply ledger.ReserveReply) *failure.Error {
	switch reply.Kind {
	case failure.Limited:
		a.job.callerFault = true
		return failure.New(failure.Limited, "check the name of the budget, or repeat the request later", "%s", reply.Reason)
	case failure.Unavailable:
		return failure.New(failure.Unavailable, "repeat the request later", "%s", reply.Reason)
	case failure.Format:
		return failure.New(failure.Format, "tell the operators of the service", "%s", reply.Reason)
	}
	return failure.New(failure.BudgetExhausted, "top the budget up or ask for fewer tokens", "%s", reply.Reason)
}

func (a *admission) handleDecision(ctx context.Context, reply ledger.ReserveReply) *failure.Error {
	switch reply.Decision {
	case ledger.Admitted:
		return a.runAdmitted(ctx, reply)
	case ledger.Running:
		a.server.requests.removeUndecided(a.entry) // otherwise attach would wait for this entry if the dispatcher is this instance
		return a.attach(ctx, reply)
	case ledger.Answered:
		return a.replayAnswer(reply.Answer)
	case ledger.AnswerDropped:
		return a.convertAfterHeader(answerDroppedError())
	case ledger.OutcomeUnknown:
		return a.handleUnknownOutcome(reply)
	case ledger.Mismatch:
		return a.convertAfterHeader(failure.New(failure.Conflict, "use a new id for another request", "%s", reply.Reason))
	case ledger.Exhausted:
		return a.convertAfterHeader(a.exhaustedError(reply).WithOutcome(failure.NotRun))
	case ledger.Refused:
		return a.convertAfterHeader(a.refusalError().WithOutcome(failure.NotRun))
	}
	a.server.settleUndecided(a.entry)
	return a.convertAfterHeader(failure.New(failure.Internal, "run the same release on all instances",
		"the owner of the ledger shard returned the unknown decision %d", reply.Decision).WithOutcome(failure.Unknown))
}

// convertAfterHeader turns err into failure.Truncated if the header of an answer
// was already sent to the caller, since the request has then run. An error with
// the outcome "answered" stays as it is.
func (a *admission) convertAfterHeader(err *failure.Error) *failure.Error {
	if a.job.responder.headerSent && err.Outcome != failure.Answered {
		return failure.New(failure.Truncated, "repeat the request under the same id", "%s", err.Message).WithOutcome(failure.Unknown)
	}
	return err
}

func (a *admission) refusalError() *failure.Error {
	if a.refusal != nil {
		return a.refusal
	}
	return failure.New(failure.Conflict, "repeat the request under the same id",
		"the request was recorded as not run while this call was in flight")
}

// runAdmitted sends an admitted request, unless it was refused or is older than
// a record of "not run".
func (a *admission) runAdmitted(ctx context.Context, reply ledger.ReserveReply) *failure.Error {
	a.server.requests.markAdmitted(a.entry, reply.Attempt)
	age := a.server.now().Sub(a.job.arrivedAt) // uses the monotonic clock
	stale := reply.AfterNotRun && age+clockResolution >= reply.SinceNotRun
	if a.refusal == nil && !stale {
		return a.server.dispatch(ctx, a.job, a.entry)
	}
	err := a.convertAfterHeader(a.server.settleNotRun(a.job, a.entry, a.refusalError()))
	a.entry.answer.finish(err)
	return err
}

// replayAnswer sends a stored answer. A caller that already got a part from the
// dispatcher gets the rest.
func (a *admission) replayAnswer(stored *ledger.StoredAnswer) *failure.Error {
	resp := a.job.responder
	if stored == nil || resp.writtenBytes > len(stored.Body) {
		return a.convertAfterHeader(answerDroppedError())
	}
	if !resp.headerSent {
		resp.writeHeader(stored.Status, contentTypeHeader(stored.ContentType), len(stored.Body))
	}
	a.job.timing.recordPart(a.server.now())
	_, _ = resp.Write(stored.Body[resp.writtenBytes:]) // the owner keeps the answer if the caller has disconnected
	return nil
}

func (a *admission) handleUnknownOutcome(reply ledger.ReserveReply) *failure.Error {
	if !a.job.callerKnowsID && !a.idReplaced && !a.job.responder.headerSent {
		a.idReplaced, a.req.LostDispatcher = true, ""
		if err := a.server.issueID(a.job); err != nil {
			return failure.From(err).WithOutcome(failure.NotRun)
		}
		a.job.responder.requestID = a.job.id
		return errNextRound
	}
	if a.refusal != nil {
		return a.convertAfterHeader(a.refusal.WithOutcome(failure.Unknown))
	}
	return a.convertAfterHeader(failure.New(failure.OutcomeUnknown, "find out whether the request ran before you send it under a new id",
		"%s", reply.Reason).WithOutcome(failure.Unknown))
}
