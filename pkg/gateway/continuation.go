package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/lineage"
)

// streamID returns the ID under which callers name the stream when they take it up again: that
// of the caller's first attempt that brought an event.
func (q *request) streamID() string {
	if q.envelope.ResumeAfter != "" {
		return q.envelope.Resumes
	}
	return q.envelope.ID
}

// resolveOrigin restricts a stream that the caller takes up again to the service and the
// software version that began it.
func (q *request) resolveOrigin(ctx context.Context) *failure.Error {
	if q.route.Kind != catalog.Stream || q.envelope.ResumeAfter == "" {
		return nil
	}
	services := make([]string, 0, len(q.route.Targets))
	for _, target := range q.route.Targets {
		services = append(services, target.Service)
	}
	origin, err := q.g.opts.Lineage.Resolve(ctx, q.streamID(), services)
	if err != nil {
		return err
	}
	if slices.Contains(services, origin.Service) {
		q.service, q.version = origin.Service, &origin.Version
	}
	return nil
}

// recordOrigin restricts the rest of the stream to the software version of an endpoint before
// the first event of that endpoint is forwarded.
func (q *request) recordOrigin(endpoint catalog.Endpoint, now time.Time) {
	q.version = &endpoint.SoftwareVersion
	if q.route.Resumable {
		q.g.opts.Lineage.Record(q.streamID(), lineage.Origin{Service: q.service, Version: endpoint.SoftwareVersion}, now)
	}
}

// mayBegin returns placement.Request.MayBegin for the next attempt: nil unless it begins a
// stream that may be taken up again.
func (q *request) mayBegin() func(version string) bool {
	if !q.route.Resumable || q.version != nil {
		return nil
	}
	now := time.Now()
	return func(version string) bool { return q.g.opts.Lineage.MayBegin(q.service, version, now) }
}
