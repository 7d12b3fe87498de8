package relay

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
)

// cancelTimeout bounds the wait for the usage of a cancelled stream; without it
// the whole reservation is charged.
const cancelTimeout = 2 * time.Second

// fail fills in the result of an attempt that ended with cause.
func (s *stream) fail(ctx context.Context, cause error) {
	var stop *stopError
	var refusal *refusal
	switch {
	case errors.As(cause, &stop):
		s.res.Err = stop.err
	case errors.As(cause, &refusal):
		s.res.Err, s.res.EndpointAtFault = refusal.err, refusal.err.Kind != failure.Invalid
		if refusal.unknown {
			s.client.noteDeath(ctx, &s.res, s.call.Endpoint, config.ModelService, errShort)
		}
	default:
		s.res.Err, s.res.EndpointAtFault = s.failed(cause), true
	}
	if !s.sent.Load() {
		s.res.Outcome = NotSent
		return
	}
	s.res.Outcome = Unknown
	if s.res.EndpointDied || refusal != nil && refusal.unknown {
		return // the engine lost the stream and cannot report its usage
	}
	usage, err := s.client.cancel(ctx, s.call.Endpoint, s.call.StreamID)
	var status statusError
	switch {
	case err == nil:
		s.res.Outcome, s.res.Usage = Partial, usage
	case refusal != nil && !s.res.Delivered && errors.As(err, &status) && status == http.StatusNotFound:
		// The engine answered with an error and knows no such stream, so it
		// started none.
		s.res.Outcome = Partial
	}
}

func (s *stream) failed(cause error) *failure.Error {
	kind := failure.EndpointFailed
	if s.res.Delivered {
		kind = failure.Truncated
	}
	what := "broke the connection"
	switch {
	case errors.Is(cause, errSilent):
		what = "was silent on two connections in a row"
	case errors.Is(cause, errGap):
		what = "left out events of the stream"
	case refused(cause):
		what = "refused the connection"
	}
	return failure.New(kind, "repeat the request", "endpoint %q %s", s.call.Endpoint.ID, what)
}

// cancel ends a stream and returns its final usage.
func (c *Client) cancel(ctx context.Context, ep config.Endpoint, streamID string) (Usage, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	var answer struct {
		Usage *Usage `json:"usage"`
	}
	if err := c.getJSON(ctx, http.MethodDelete, ep, "/v1/streams/"+url.PathEscape(streamID), &answer); err != nil {
		return Usage{}, err
	}
	if answer.Usage == nil {
		return Usage{}, errors.New("the engine reported no usage")
	}
	return *answer.Usage, nil
}
