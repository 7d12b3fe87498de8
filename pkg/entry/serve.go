package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/clementinerack/clementinerack/pkg/abort"
	"github.com/clementinerack/clementinerack/pkg/failure"
)

// serve handles a model or app request from its arrival to its end. A response that is not
// completed is aborted at the end.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, parse parseFunc) {
	response := abort.NewWriter(w, r)
	defer response.End()
	accepting := s.inFlight.begin()
	defer s.inFlight.end()
	j := &job{arrivedAt: s.now(), responder: newResponder(response)}
	j.timing.arrivedAt = j.arrivedAt
	if err := s.parseRequest(r, j, parse); err != nil {
		s.refuseUnparsed(j, r, failure.From(err))
		response.Complete()
		return
	}
	j.responder.requestID = j.id
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	j.responder.setWriteDeadline(j.deadline.Add(errorWriteTimeout))
	defer j.responder.setWriteDeadline(time.Time{})

	refusal, release := s.checkLimits(j, accepting)
	defer release()
	err := s.admit(ctx, j, refusal)
	s.metrics.countRequest(j.service.Name, err)
	s.recordSample(r, j, err)
	if err == nil {
		response.Complete()
		return
	}
	if j.responder.headerSent && r.Context().Err() == nil {
		s.metrics.truncated.WithLabelValues(j.service.Name).Inc()
	}
	if j.responder.writeError(err) {
		response.Complete()
	}
}

// refuseUnparsed answers a request that could not be parsed or authenticated. No
// outcome is reported if the caller sent an id, because an earlier request may
// have used the same id.
func (s *Server) refuseUnparsed(j *job, r *http.Request, err *failure.Error) {
	if _, ok := r.Header[keyHeader]; !ok {
		err = err.WithOutcome(failure.NotRun)
	}
	s.metrics.countRequest(j.service.Name, err)
	s.recordSample(r, j, err)
	j.responder.writeError(err)
}

// checkLimits returns why the request must not run, or nil. The caller must call
// release when the request ends.
func (s *Server) checkLimits(j *job, accepting bool) (refusal *failure.Error, release func()) {
	release = func() {}
	switch {
	case !accepting:
		return notReadyError(), release
	case s.settleQueue.isFull():
		return failure.New(failure.Unavailable, "repeat the request later", "too many settlements are waiting for the owners of the ledger shards"), release
	}
	if err := s.limits.allow(j.workspace); err != nil {
		j.callerFault = true
		return err, release
	}
	if err := s.limits.acquire(j.workspace); err != nil {
		j.callerFault = true
		return err, release
	}
	release = func() { s.limits.release(j.workspace) }
	if err := s.checkQuarantine(j); err != nil {
		return failure.From(err), release
	}
	return nil, release
}

// checkQuarantine returns an error if the request, or requests with traits in common with
// it, have crashed endpoints.
func (s *Server) checkQuarantine(j *job) error {
	if err := s.opts.Quarantine.Check(j.fingerprint, s.now()); err != nil {
		return err
	}
	return s.opts.Quarantine.CheckTraits(j.allTraits(), s.now())
}
