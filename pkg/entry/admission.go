package entry

import (
	"context"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

const (
	reserveFirst = 10 * time.Millisecond
	reserveMost  = 250 * time.Millisecond // a takeover lasts about 3 s
	// maxRounds bounds how often a request asks its owner after attaching to
	// dispatchers that turned out to be gone.
	maxRounds = 8
	// clockStep is the resolution of ReserveReply.SinceNotRun, the difference of
	// two times in ms. Without it a request that is up to 1 ms older than the
	// record would pass.
	clockStep = time.Millisecond
)

// admission is the state of a request that asks its owner for a decision.
type admission struct {
	s   *Server
	j   *job
	req ledger.ReserveRequest
	e   *entry
	// refusal is why the request must not run; the owner then records it as not
	// run unless it has run or is running.
	refusal *failure.Error
	// reissued is true after an internal id was replaced.
	reissued bool
}

// verdictAgain asks for another round; it never leaves this file.
var verdictAgain = &failure.Error{}

// admit takes a request to its end. It returns nil when the caller got a whole
// answer.
func (s *Server) admit(ctx context.Context, j *job, refusal *failure.Error) *failure.Error {
	if refusal != nil && !j.known {
		return refusal.WithOutcome(failure.NotRun)
	}
	a := &admission{s: s, j: j, refusal: refusal}
	for range maxRounds {
		if err := a.round(ctx); err != verdictAgain {
			return err
		}
	}
	return failure.New(failure.Unavailable, "repeat the request under the same id",
		"the instance that runs the request could not be reached").WithOutcome(failure.Unknown)
}

// round makes one call with a number of its own and acts on the decision.
func (a *admission) round(ctx context.Context) *failure.Error {
	call := a.s.calls.Add(1)
	a.e = a.s.table.enter(a.j.id, call)
	defer a.s.table.leave(a.e)
	a.req = ledger.ReserveRequest{
		ID: a.j.id, Budget: a.j.budget, Service: a.j.service.Name, Fingerprint: a.j.fingerprint[:],
		Amount: a.j.amount, Repeatable: a.j.repeatable, KeepAnswer: a.j.known,
		Dispatcher: a.s.opts.Self.Incarnation, DispatcherAddress: a.s.opts.Self.Address,
		Call: call, DispatcherGone: a.req.DispatcherGone, Refuse: a.refusal != nil,
	}
	reply, err := a.reserve(ctx)
	if err != nil {
		return a.unconfirmed(ctx, err)
	}
	if reply.Decision == ledger.Exhausted && a.j.known {
		a.refusal = a.exhausted(reply)
		a.req.Refuse = true
		// The same call number: a copy of the first call that is still on its
		// way is then refused too.
		if reply, err = a.reserve(ctx); err != nil {
			return a.unconfirmed(ctx, err)
		}
	}
	return a.decide(ctx, reply)
}

// reserve repeats the call until the owner answers or ctx ends.
func (a *admission) reserve(ctx context.Context) (ledger.ReserveReply, error) {
	wait := newBackoff(reserveFirst, reserveMost)
	for {
		reply, err := a.s.opts.Ledger.Reserve(ctx, a.req)
		if err == nil || !repeatableError(err) || ctx.Err() != nil {
			return reply, err
		}
		if sleep(ctx, wait.NextBackOff()) != nil {
			return reply, err
		}
	}
}

func repeatableError(err error) bool {
	switch failure.KindOf(err) {
	case failure.Unavailable, failure.Uncertain, failure.NotOwner, failure.Timeout:
		return true
	}
	return false
}

// unconfirmed ends a request whose owner gave no decision. It was not sent, but
// that may be told only about an id that the caller does not know.
func (a *admission) unconfirmed(ctx context.Context, err error) *failure.Error {
	a.s.settleGivenUp(a.e)
	e := failure.From(err)
	if ctx.Err() != nil {
		e = failure.New(failure.Timeout, "allow more time", "the deadline passed before the owner of the ledger shard answered: %s", e.Message)
	}
	if a.refusal != nil {
		e = a.refusal
	}
	if a.j.known {
		return e.WithOutcome(failure.Unknown)
	}
	return e.WithOutcome(failure.NotRun)
}

// exhausted returns the error of a reply with the decision Exhausted.
func (a *admission) exhausted(reply ledger.ReserveReply) *failure.Error {
	switch reply.Kind {
	case failure.Limited:
		a.j.callerFault = true
		return failure.New(failure.Limited, "check the name of the budget, or repeat the request later", "%s", reply.Reason)
	case failure.Unavailable:
		return failure.New(failure.Unavailable, "repeat the request later", "%s", reply.Reason)
	case failure.Format:
		return failure.New(failure.Format, "tell the operators of the service", "%s", reply.Reason)
	}
	return failure.New(failure.BudgetExhausted, "top the budget up or ask for fewer tokens", "%s", reply.Reason)
}

func (a *admission) decide(ctx context.Context, reply ledger.ReserveReply) *failure.Error {
	switch reply.Decision {
	case ledger.Admitted:
		return a.run(ctx, reply)
	case ledger.Running:
		a.s.table.leave(a.e) // it must not wait for itself when the dispatcher is this instance
		return a.attach(ctx, reply)
	case ledger.Answered:
		return a.replay(reply.Answer)
	case ledger.AnswerDropped:
		return a.told(answerDropped())
	case ledger.OutcomeUnknown:
		return a.outcomeUnknown(reply)
	case ledger.Mismatch:
		return a.told(failure.New(failure.Conflict, "use a new id for another request", "%s", reply.Reason))
	case ledger.Exhausted:
		return a.told(a.exhausted(reply).WithOutcome(failure.NotRun))
	case ledger.Refused:
		return a.told(a.refusedAs().WithOutcome(failure.NotRun))
	}
	a.s.settleGivenUp(a.e)
	return a.told(failure.New(failure.Internal, "run the same release on all instances",
		"unknown decision %d of the ledger", reply.Decision).WithOutcome(failure.Unknown))
}

// told adapts an error to an answer that has begun: part of the answer reached
// the caller, so the request has run.
func (a *admission) told(err *failure.Error) *failure.Error {
	if a.j.out.begun && err.Outcome != failure.Answered {
		return failure.New(failure.Truncated, "repeat the request under the same id", "%s", err.Message).WithOutcome(failure.Unknown)
	}
	return err
}

func (a *admission) refusedAs() *failure.Error {
	if a.refusal != nil {
		return a.refusal
	}
	return failure.New(failure.Conflict, "repeat the request under the same id",
		"the request was recorded as not run while this call was on its way")
}

// run sends an admitted request, unless it may not be sent any more.
func (a *admission) run(ctx context.Context, reply ledger.ReserveReply) *failure.Error {
	a.s.table.admitted(a.e, reply.Attempt)
	age := a.s.now().Sub(a.j.arrived) // monotonic
	stale := reply.AfterNotRun && age+clockStep >= reply.SinceNotRun
	if a.refusal == nil && !stale {
		return a.s.dispatch(ctx, a.j, a.e)
	}
	err := a.told(a.s.settleNotRun(a.j, a.e, a.refusedAs()))
	a.e.answer.finish(err)
	return err
}

// replay sends a stored answer, or the rest of it to a caller that got a part
// from the dispatcher.
func (a *admission) replay(stored *ledger.StoredAnswer) *failure.Error {
	out := a.j.out
	if stored == nil || out.written > len(stored.Body) {
		return a.told(answerDropped())
	}
	if !out.begun {
		out.begin(stored.Status, contentType(stored.ContentType), len(stored.Body))
	}
	a.j.timing.part(a.s.now())
	_, _ = out.Write(stored.Body[out.written:]) // the answer stays with the owner if the caller has left
	return nil
}

func (a *admission) outcomeUnknown(reply ledger.ReserveReply) *failure.Error {
	if !a.j.known && !a.reissued && !a.j.out.begun {
		a.reissued, a.req.DispatcherGone = true, ""
		if err := a.s.issueID(a.j); err != nil {
			return failure.From(err).WithOutcome(failure.NotRun)
		}
		a.j.out.id = a.j.id
		return verdictAgain
	}
	if a.refusal != nil {
		return a.told(a.refusal.WithOutcome(failure.Unknown))
	}
	return a.told(failure.New(failure.OutcomeUnknown, "find out whether the request ran before you send it under a new id",
		"%s", reply.Reason).WithOutcome(failure.Unknown))
}
