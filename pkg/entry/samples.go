package entry

import (
	"net/http"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// timing measures the delays between the parts of an answer.
type timing struct {
	arrivedAt, lastPartAt        time.Time
	firstPartDelay, maxPartDelay time.Duration
}

func (t *timing) recordPart(now time.Time) {
	if t.lastPartAt.IsZero() {
		t.firstPartDelay = now.Sub(t.arrivedAt)
	} else {
		t.maxPartDelay = max(t.maxPartDelay, now.Sub(t.lastPartAt))
	}
	t.lastPartAt = now
}

// recordSample reports the end of a request to the metrics and to the burn rate
// of the objectives. A request whose caller disconnected says nothing about the
// service, and a request without a known workspace and service belongs to no
// objective; both are left out.
func (s *Server) recordSample(r *http.Request, j *job, err *failure.Error) {
	if !j.timing.lastPartAt.IsZero() {
		s.metrics.firstByte.WithLabelValues(j.service.Name).Observe(j.timing.firstPartDelay.Seconds())
	}
	if s.opts.Samples == nil || j.workspace.Name == "" || j.service.Name == "" || r.Context().Err() != nil {
		return
	}
	sample := Sample{
		Service: j.service.Name, Workspace: j.workspace.Name, CallerFault: j.callerFault,
		FirstTokenDelay: j.timing.firstPartDelay, LongestTokenInterval: j.timing.maxPartDelay,
	}
	switch {
	case err != nil && j.responder.headerSent:
		sample.Truncated = true
	case err != nil:
		sample.Refused = err.Kind
	}
	s.opts.Samples.Observe(sample)
}
