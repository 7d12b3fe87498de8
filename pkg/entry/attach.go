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

// AttachMethod is the peer call that reads the answer of a running request from
// its dispatcher.
const AttachMethod peer.Method = "answer.attach"

const (
	// attachPollTimeout is how long a dispatcher waits for the next part of an
	// answer before it replies without one.
	attachPollTimeout = 2 * time.Second
	// attachTimeout bounds one call. It exceeds attachPollTimeout by the time in
	// which a stalled peer connection is replaced.
	attachTimeout  = attachPollTimeout + 3*time.Second
	maxAttachBytes = 64 << 10
	// maxAttachFailures is the number of consecutive failed calls after which a
	// dispatcher is considered lost.
	maxAttachFailures     = 3
	initialAttachInterval = 50 * time.Millisecond
	maxAttachInterval     = time.Second
)

// AttachRequest asks a dispatcher for the part of an answer after Offset.
type AttachRequest struct {
	ID      string `cbor:"1,keyasint"`
	Attempt uint32 `cbor:"2,keyasint"`
	// Dispatcher is the incarnation that runs the attempt.
	Dispatcher string `cbor:"3,keyasint"`
	// Offset is the number of bytes of the body that were read before.
	Offset int `cbor:"4,keyasint"`
}

// AttachReply is the part of an answer that is available. If Data is empty and
// Done is false, nothing has arrived since the last call.
type AttachReply struct {
	Status      int    `cbor:"1,keyasint,omitempty"`
	ContentType string `cbor:"2,keyasint,omitempty"`
	Data        []byte `cbor:"3,keyasint,omitempty"`
	// Done is true with the last part. Failure is set if the answer is
	// incomplete.
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

// answerAttach returns a part of the answer of a request that this incarnation
// dispatches. An attempt that was never sent is settled as not run.
func (s *Server) answerAttach(ctx context.Context, req AttachRequest) (AttachReply, error) {
	notFound := failure.New(failure.NotFound, "ask the owner of the request's shard again",
		"request %s is not in flight at this incarnation", req.ID)
	if req.Dispatcher != s.opts.Self.Incarnation {
		return AttachReply{}, notFound
	}
	ctx, cancel := context.WithTimeout(ctx, attachPollTimeout)
	defer cancel()
	e, neverSent := s.requests.find(ctx, req.ID, req.Attempt)
	if e != nil {
		return e.answer.read(ctx, req.Offset, s.now()), nil
	}
	if ctx.Err() != nil {
		return AttachReply{}, nil
	}
	if neverSent {
		s.settleQueue.submit(ledger.SettleRequest{ID: req.ID, Attempt: req.Attempt, End: ledger.EndNotRun}, nil)
	}
	return AttachReply{}, notFound
}

// attach forwards the answer of a running request from its dispatcher to the
// caller.
func (a *admission) attach(ctx context.Context, reply ledger.ReserveReply) *failure.Error {
	result, err := a.followAnswer(ctx, reply)
	a.server.metrics.attach.WithLabelValues(result).Inc()
	return err
}

// followAnswer reads the answer part by part. It returns the result for the
// metrics.
func (a *admission) followAnswer(ctx context.Context, reply ledger.ReserveReply) (string, *failure.Error) {
	wait := newBackoff(initialAttachInterval, maxAttachInterval)
	for failures := 0; ; {
		part, err := a.fetchPart(ctx, reply)
		switch {
		case err == nil:
			failures = 0
			if result, err := a.forwardPart(part); result != "" {
				return result, err
			}
		case failure.Is(err, failure.NotFound):
			return "gone", a.handleDispatcherLost(ctx, reply)
		}
		if ctx.Err() != nil {
			return "timeout", a.convertAfterHeader(failure.New(failure.Timeout, "repeat the request under the same id",
				"the deadline passed while another instance runs the request").WithOutcome(failure.Unknown))
		}
		if err == nil {
			continue
		}
		if failures++; failures == maxAttachFailures {
			return "gone", a.handleDispatcherLost(ctx, reply)
		}
		_ = sleep(ctx, wait.NextBackOff()) // if ctx ends, the next call fails
	}
}

func (a *admission) fetchPart(ctx context.Context, reply ledger.ReserveReply) (AttachReply, error) {
	req := AttachRequest{ID: a.job.id, Attempt: reply.Attempt, Dispatcher: reply.Dispatcher, Offset: a.job.responder.writtenBytes}
	if reply.Dispatcher == a.server.opts.Self.Incarnation {
		return a.server.answerAttach(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, attachTimeout)
	defer cancel()
	var part AttachReply
	err := a.server.opts.Peers.Call(ctx, reply.DispatcherAddress, AttachMethod, req, &part)
	return part, err
}

// forwardPart writes a part of the answer to the caller. The result is empty
// until the last part.
func (a *admission) forwardPart(part AttachReply) (string, *failure.Error) {
	resp := a.job.responder
	if part.Done && part.Failure != nil && !resp.headerSent {
		return "failed", part.Failure
	}
	if part.Status != 0 && !resp.headerSent {
		length := -1
		if part.Done {
			length = len(part.Data)
		}
		resp.writeHeader(part.Status, contentTypeHeader(part.ContentType), length)
	}
	if len(part.Data) > 0 {
		a.job.timing.recordPart(a.server.now())
		if _, err := resp.Write(part.Data); err != nil {
			return "left", callerLeftError()
		}
	}
	switch {
	case part.Done && part.Failure != nil:
		return "failed", a.convertAfterHeader(part.Failure)
	case part.Done:
		return "whole", nil
	}
	return "", nil
}

// handleDispatcherLost prepares the next round. If the caller already has a part
// of the answer, the request must not run again for this call, but the owner may
// have the rest of the answer.
func (a *admission) handleDispatcherLost(ctx context.Context, reply ledger.ReserveReply) *failure.Error {
	switch {
	case a.job.responder.headerSent:
		a.refusal = failure.New(failure.Truncated, "repeat the request under the same id", "the instance that ran the request is no longer available")
	case a.isUnsentHere(ctx, reply):
		// The owner trusts a report from the dispatcher's own incarnation, so it
		// does not have to assume that the request ran.
		pending := a.server.settleQueue.submit(ledger.SettleRequest{ID: a.job.id, Attempt: reply.Attempt, End: ledger.EndNotRun}, nil)
		a.server.waitConfirmed(pending)
	default:
		a.req.LostDispatcher = reply.Dispatcher
	}
	return errNextRound
}

// isUnsentHere reports whether this incarnation is the dispatcher of the
// attempt and cannot have sent it.
func (a *admission) isUnsentHere(ctx context.Context, reply ledger.ReserveReply) bool {
	if reply.Dispatcher != a.server.opts.Self.Incarnation {
		return false
	}
	_, neverSent := a.server.requests.find(ctx, a.job.id, reply.Attempt)
	return neverSent
}

func contentTypeHeader(value string) http.Header { return http.Header{"Content-Type": {value}} }

func callerLeftError() *failure.Error {
	return failure.New(failure.Truncated, "repeat the request under the same id", "the caller disconnected").WithOutcome(failure.Unknown)
}
