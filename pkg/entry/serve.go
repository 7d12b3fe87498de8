package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// serve handles a model or app request from its arrival to its end.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, parse parser) {
	open := s.gate.enter()
	defer s.gate.leave()
	j := &job{arrived: s.now(), out: newResponder(w)}
	j.timing.arrived = j.arrived
	if err := s.prepare(r, j, parse); err != nil {
		s.refuseMalformed(j, r, failure.From(err))
		return
	}
	j.out.id = j.id
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	j.out.writeDeadline(j.deadline.Add(writeGrace))
	defer j.out.writeDeadline(time.Time{})

	refusal, leave := s.gatekeep(j, open)
	defer leave()
	err := s.admit(ctx, j, refusal)
	s.metrics.request(j.service.Name, err)
	s.observe(r, j, err)
	if err == nil {
		return
	}
	if j.out.begun && r.Context().Err() == nil {
		s.metrics.truncated.WithLabelValues(j.service.Name).Inc()
	}
	if j.out.fail(err) {
		// The deferred calls run; net/http then closes the connection without
		// ending the body.
		panic(http.ErrAbortHandler)
	}
}

// refuseMalformed answers a request that cannot be run in this form. Nothing is
// said about an id that the caller sent, because an earlier request may have
// used it.
func (s *Server) refuseMalformed(j *job, r *http.Request, err *failure.Error) {
	if _, ok := r.Header[keyHeader]; !ok {
		err = err.WithOutcome(failure.NotRun)
	}
	s.metrics.request(j.service.Name, err)
	s.observe(r, j, err)
	j.out.fail(err)
}

// gatekeep returns why the request must not run, or nil. leave must be called at
// its end.
func (s *Server) gatekeep(j *job, open bool) (refusal *failure.Error, leave func()) {
	leave = func() {}
	switch {
	case !open:
		return notReady(), leave
	case s.settles.full():
		return failure.New(failure.Unavailable, "repeat the request later", "too many settlements wait for the owners of the ledger"), leave
	}
	if err := s.limits.allow(j.workspace); err != nil {
		j.callerFault = true
		return err, leave
	}
	if err := s.limits.enter(j.workspace); err != nil {
		j.callerFault = true
		return err, leave
	}
	leave = func() { s.limits.leave(j.workspace) }
	if err := s.opts.Quarantine.Check(j.fingerprint, s.now()); err != nil {
		return failure.From(err), leave
	}
	return nil, leave
}
