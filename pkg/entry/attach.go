package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// AttachMethod is the call by which a repeat reads the answer of a request at
// the instance that runs it.
const AttachMethod peer.Method = "answer.attach"

const (
	// attachPoll is how long a dispatcher waits for the next part of an answer
	// before it replies without one.
	attachPoll = 2 * time.Second
	// attachTimeout of one call is longer by what a paused peer connection takes
	// to be replaced.
	attachTimeout  = attachPoll + 3*time.Second
	maxAttachChunk = 64 << 10
	// attachTries calls in a row must fail before a dispatcher counts as gone.
	attachTries = 3
	attachFirst = 50 * time.Millisecond
	attachMost  = time.Second
)

// AttachRequest asks a dispatcher for the part of an answer after Offset.
type AttachRequest struct {
	ID         string `cbor:"1,keyasint"`
	Attempt    uint32 `cbor:"2,keyasint"`
	Dispatcher string `cbor:"3,keyasint"`
	Offset     int    `cbor:"4,keyasint"`
}

// AttachReply is the part of an answer that is available. Without Data and Done
// nothing has arrived yet.
type AttachReply struct {
	Status      int    `cbor:"1,keyasint,omitempty"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Data        []byte `cbor:"3,keyasint,omitempty"`
	// Done is true with the last part. Failure is then set if the answer is not
	// whole.
	Done    bool           `cbor:"4,keyasint,omitempty"`
	Failure *failure.Error `cbor:"5,keyasint,omitempty"`
}

// RegisterPeer registers the handler of AttachMethod.
func (s *Server) RegisterPeer(r peer.Registrar) {
	r.Handle(AttachMethod, func(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
		var req AttachRequest
		if err := cbor.Unmarshal(body, &req); err != nil {
			return nil, failure.New(failure.Format, "run the same release on all instances", "attach request cannot be decoded: %v", err)
		}
		reply, err := s.answerAttach(ctx, req)
		if err != nil {
			return nil, err
		}
		return reply, nil
	})
}

// answerAttach serves a part of an answer of this incarnation. An attempt that
// is not in the table was never sent, and is reported as not run.
func (s *Server) answerAttach(ctx context.Context, req AttachRequest) (AttachReply, error) {
	notFound := failure.New(failure.NotFound, "ask the owner of the request's shard again",
		"request %s is not run by this incarnation", req.ID)
	if req.Dispatcher != s.opts.Self.Incarnation {
		return AttachReply{}, notFound
	}
	ctx, cancel := context.WithTimeout(ctx, attachPoll)
	defer cancel()
	e, neverSent := s.table.find(ctx, req.ID, req.Attempt)
	if e != nil {
		return e.answer.read(ctx, req.Offset, s.now()), nil
	}
	if ctx.Err() != nil {
		return AttachReply{}, nil
	}
	if neverSent {
		s.settles.submit(ledger.SettleRequest{ID: req.ID, Attempt: req.Attempt, End: ledger.EndNotRun}, nil)
	}
	return AttachReply{}, notFound
}

// attach passes on the answer of another dispatcher.
func (a *admission) attach(ctx context.Context, reply ledger.ReserveReply) *failure.Error {
	result, err := a.follow(ctx, reply)
	a.s.metrics.attach.WithLabelValues(result).Inc()
	return err
}

func (a *admission) follow(ctx context.Context, reply ledger.ReserveReply) (string, *failure.Error) {
	wait := newBackoff(attachFirst, attachMost)
	for failed := 0; ; {
		part, err := a.fetch(ctx, reply)
		switch {
		case err == nil:
			failed = 0
			if result, err := a.forward(part); result != "" {
				return result, err
			}
		case failure.Is(err, failure.NotFound):
			return "gone", a.dispatcherGone(ctx, reply)
		}
		if ctx.Err() != nil {
			return "timeout", a.told(failure.New(failure.Timeout, "repeat the request under the same id",
				"the deadline passed while another instance runs the request").WithOutcome(failure.Unknown))
		}
		if err == nil {
			continue
		}
		if failed++; failed == attachTries {
			return "gone", a.dispatcherGone(ctx, reply)
		}
		_ = sleep(ctx, wait.NextBackOff()) // the end of ctx shows at the next call
	}
}

func (a *admission) fetch(ctx context.Context, reply ledger.ReserveReply) (AttachReply, error) {
	req := AttachRequest{ID: a.j.id, Attempt: reply.Attempt, Dispatcher: reply.Dispatcher, Offset: a.j.out.written}
	if reply.Dispatcher == a.s.opts.Self.Incarnation {
		return a.s.answerAttach(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	var part AttachReply
	err := a.s.opts.Peers.Call(ctx, reply.DispatcherAddress, AttachMethod, req, &part)
	return part, err
}

// forward writes a part. The result is empty while there is more to come.
func (a *admission) forward(part AttachReply) (string, *failure.Error) {
	out := a.j.out
	if part.Done && part.Failure != nil && !out.begun {
		return "failed", part.Failure
	}
	if part.Status != 0 && !out.begun {
		length := -1
		if part.Done {
			length = len(part.Data)
		}
		out.begin(part.Status, contentType(part.ContentType), length)
	}
	if len(part.Data) > 0 {
		a.j.timing.part(a.s.now())
		if _, err := out.Write(part.Data); err != nil {
			return "left", callerLeft()
		}
	}
	switch {
	case part.Done && part.Failure != nil:
		return "failed", a.told(part.Failure)
	case part.Done:
		return "whole", nil
	}
	return "", nil
}

// dispatcherGone prepares the next round. Once a part of the answer has reached
// the caller, the request may not run again for this call; the owner may still
// have the rest of the answer.
func (a *admission) dispatcherGone(ctx context.Context, reply ledger.ReserveReply) *failure.Error {
	switch {
	case a.j.out.begun:
		a.refusal = failure.New(failure.Truncated, "repeat the request under the same id", "the instance that ran the request is gone")
	case a.neverSentHere(ctx, reply):
		// The owner takes the report of this incarnation for exact; it does not
		// have to assume that the request ran.
		report := a.s.settles.submit(ledger.SettleRequest{ID: a.j.id, Attempt: reply.Attempt, End: ledger.EndNotRun}, nil)
		a.s.confirm(report)
	default:
		a.req.DispatcherGone = reply.Dispatcher
	}
	return verdictAgain
}

func (a *admission) neverSentHere(ctx context.Context, reply ledger.ReserveReply) bool {
	if reply.Dispatcher != a.s.opts.Self.Incarnation {
		return false
	}
	_, neverSent := a.s.table.find(ctx, a.j.id, reply.Attempt)
	return neverSent
}

func contentType(value string) http.Header { return http.Header{"Content-Type": {value}} }

func callerLeft() *failure.Error {
	return failure.New(failure.Truncated, "repeat the request under the same id", "the caller left").WithOutcome(failure.Unknown)
}
