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

// cancelStreamTimeout bounds the wait for the usage of a cancelled stream. If no
// usage arrives, the whole reservation is charged.
const cancelStreamTimeout = 2 * time.Second

// recordFailure fills in the result of an attempt that ended with cause.
func (a *modelAttempt) recordFailure(ctx context.Context, cause error) {
	var stopErr *stopError
	var endpointErr *endpointError
	switch {
	case errors.As(cause, &stopErr):
		a.result.Err = stopErr.err
	case errors.As(cause, &endpointErr):
		a.result.Err, a.result.EndpointAtFault = endpointErr.err, endpointErr.err.Kind != failure.Invalid
		if endpointErr.streamLost {
			a.client.detectDeath(ctx, &a.result, a.call.Endpoint, config.ModelService, errNoTerminalMarker)
		}
	default:
		a.result.Err, a.result.EndpointAtFault = a.connectionError(cause), true
	}
	if !a.sent.Load() {
		a.result.Outcome = NotSent
		return
	}
	a.result.Outcome = Unknown
	if a.result.EndpointDied || endpointErr != nil && endpointErr.streamLost {
		return // the engine lost the stream and cannot report its usage
	}
	usage, err := a.client.cancelStream(ctx, a.call.Endpoint, a.call.StreamID)
	var status statusError
	switch {
	case err == nil:
		a.result.Outcome, a.result.Usage = Partial, usage
	case endpointErr != nil && endpointErr.refused && errors.As(err, &status) && status == http.StatusNotFound:
		// The engine does not know the stream, so it did not start it.
		a.result.Outcome = Partial
	}
}

func (a *modelAttempt) connectionError(cause error) *failure.Error {
	kind := failure.EndpointFailed
	if a.result.Delivered {
		kind = failure.Truncated
	}
	problem := "broke the connection"
	switch {
	case errors.Is(cause, errIdleTimeout):
		problem = "was silent on two consecutive connections"
	case errors.Is(cause, errMissingEvents):
		problem = "omitted events of the stream"
	case isConnectionRefused(cause):
		problem = "refused the connection"
	}
	return failure.New(kind, "repeat the request", "endpoint %q %s", a.call.Endpoint.ID, problem)
}

// cancelStream cancels a stream at its engine and returns the final usage.
func (c *Client) cancelStream(ctx context.Context, ep config.Endpoint, streamID string) (Usage, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelStreamTimeout)
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
