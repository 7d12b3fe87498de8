package entry

import (
	"net/http"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// timing measures the parts of an answer.
type timing struct {
	arrived, last      time.Time
	first, slowestPart time.Duration
}

func (t *timing) part(now time.Time) {
	if t.last.IsZero() {
		t.first = now.Sub(t.arrived)
	} else {
		t.slowestPart = max(t.slowestPart, now.Sub(t.last))
	}
	t.last = now
}

// observe reports the end of a request to the metrics and the burn of
// objectives. A caller that left shows nothing about the service, and a request
// without a known workspace and service belongs to no objective.
func (s *Server) observe(r *http.Request, j *job, err *failure.Error) {
	if !j.timing.last.IsZero() {
		s.metrics.firstByte.WithLabelValues(j.service.Name).Observe(j.timing.first.Seconds())
	}
	if s.opts.Samples == nil || j.workspace.Name == "" || j.service.Name == "" || r.Context().Err() != nil {
		return
	}
	sample := Sample{
		Service: j.service.Name, Workspace: j.workspace.Name, CallerFault: j.callerFault,
		FirstToken: j.timing.first, WorstGap: j.timing.slowestPart,
	}
	switch {
	case err != nil && j.out.begun:
		sample.Truncated = true
	case err != nil:
		sample.Refused = err.Kind
	}
	s.opts.Samples.Observe(sample)
}
