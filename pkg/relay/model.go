package relay

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/membudget"
)

const (
	streamIDHeader = "X-Stream-Id"
	priorityHeader = "X-Priority"
	resumeHeader   = "X-Resume-After"

	// maxConnectionsWithoutEvent is the number of consecutive connections without
	// a new event after which the attempt fails: the first one and its replacement.
	maxConnectionsWithoutEvent = 2
	// maxReconnects bounds the connections of one attempt to an endpoint that
	// breaks each of them after one event.
	maxReconnects = 8
	// bodyEndTimeout bounds the wait for the end of the body after the terminal
	// marker. The end usually arrives together with the marker; once it has been
	// read, the connection can be reused.
	bodyEndTimeout = 20 * time.Millisecond
)

// ModelCall is one attempt of a model request.
type ModelCall struct {
	Service  config.Service
	Endpoint config.Endpoint
	// StreamID identifies the attempt at the engine. It must be unique to the
	// attempt.
	StreamID  string
	RequestID string
	// Priority is 0 (high), 1 (normal) or 2 (low).
	Priority int
	// Body is the JSON request with "stream": true.
	Body []byte
	// KeepsContent means that OnEvent keeps the content of the events until the end.
	KeepsContent bool
	// MaxTokens is the number of output tokens after which the stream is
	// cancelled.
	MaxTokens int64
	// OnEvent receives the chunks in order, without the terminal marker. An error
	// means that the caller has disconnected.
	OnEvent func(seq uint64, data []byte) error
}

// stopError ends an attempt that must not be resumed and that does not count as a
// fault of the endpoint.
type stopError struct{ err *failure.Error }

func (e *stopError) Error() string { return e.err.Error() }

// endpointError ends an attempt because of the endpoint's answer or address, which
// another connection would not change.
type endpointError struct {
	err        *failure.Error
	streamLost bool // the engine no longer has the stream
	refused    bool // the engine answered the only request with an error
}

func (e *endpointError) Error() string { return e.err.Error() }

// modelAttempt is the state of one attempt across its connections.
type modelAttempt struct {
	client        *Client
	call          *ModelCall
	sent          atomic.Bool // a byte of the request may have been written
	sentEarlier   bool        // sent was set before the latest connection
	startedAt     time.Time
	buffer        reorderBuffer
	usage         *Usage
	contentEvents int64 // events with content, each of which is at least one token
	contentBytes  int
	result        Result
	memory        *membudget.Account
}

// SendModel makes one attempt of a model request. ctx must end with the deadline
// of the request or when its caller disconnects; the stream is then cancelled at
// the engine.
func (c *Client) SendModel(ctx context.Context, call ModelCall) Result {
	a := &modelAttempt{client: c, call: &call, startedAt: time.Now(), memory: c.budget.Open(call.Endpoint.ID)}
	defer a.memory.Close()
	cause := a.run(ctx)
	if cause == nil {
		a.result.Outcome, a.result.Usage = Complete, *a.usage
		return a.result
	}
	a.recordFailure(ctx, cause)
	return a.result
}

// run opens connections until the stream is complete or cannot be resumed.
func (a *modelAttempt) run(ctx context.Context) error {
	for connsWithoutEvent := 0; ; {
		lastSeq := a.buffer.lastSeq
		err := a.tryConnection(ctx)
		if err == nil || isFinal(err) {
			return err
		}
		if ctx.Err() != nil {
			return &stopError{contextError(ctx)}
		}
		// An engine process that died has lost the stream, and a new process would
		// run the request from the start.
		a.client.detectDeath(ctx, &a.result, a.call.Endpoint, config.ModelService, err)
		if connsWithoutEvent++; a.buffer.lastSeq > lastSeq {
			connsWithoutEvent = 0
		}
		if a.result.EndpointDied || isConnectionRefused(err) || connsWithoutEvent >= maxConnectionsWithoutEvent || a.result.Reconnects >= maxReconnects {
			return err
		}
		a.result.Reconnects++
	}
}

// isFinal reports whether err ends the attempt without another connection.
func isFinal(err error) bool {
	var stopErr *stopError
	var endpointErr *endpointError
	return errors.As(err, &stopErr) || errors.As(err, &endpointErr)
}

// contextError returns the error of a request whose context has ended.
func contextError(ctx context.Context) *failure.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return failure.New(failure.Timeout, "allow more time", "the deadline passed before the endpoint finished")
	}
	return callerLeftError()
}

func callerLeftError() *failure.Error {
	return failure.New(failure.Truncated, "repeat the request", "the caller disconnected before the end of the answer")
}

// tryConnection sends the request on one connection and reads its events. It
// returns nil when the stream is complete.
func (a *modelAttempt) tryConnection(ctx context.Context) error {
	ctx, wd := withWatchdog(ctx, orDefault(a.call.Service.FirstByteTimeout, defaultFirstByteTimeout))
	defer wd.close()
	err := a.readEvents(ctx, wd)
	if err != nil && errors.Is(context.Cause(ctx), errIdleTimeout) && !isFinal(err) {
		return errIdleTimeout
	}
	return err
}

func (a *modelAttempt) readEvents(ctx context.Context, wd *watchdog) error {
	resp, err := a.sendRequest(ctx)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return a.responseError(resp)
	}
	reader := newEventReader(resp.Body, a.memory)
	defer reader.close()
	for {
		e, err := reader.next()
		if err != nil {
			return errors.Join(errNoTerminalMarker, err)
		}
		wd.pause()
		complete, err := a.handleEvent(e)
		if err != nil {
			return err
		}
		if complete {
			wd.reset(bodyEndTimeout)
			_, _ = reader.next() // reads to the end of the body, so that the connection can be reused
			return nil
		}
		wd.reset(orDefault(a.call.Service.IdleTimeout, defaultIdleTimeout))
	}
}

// sendRequest sends the request. All requests but the first use a new connection,
// because the pooled ones may all have become silent.
func (a *modelAttempt) sendRequest(ctx context.Context) (*http.Response, error) {
	url := baseURL(a.call.Endpoint.Address) + "/v1/chat/completions"
	req, err := http.NewRequestWithContext(withSentTrace(ctx, &a.sent), http.MethodPost, url, bytes.NewReader(a.call.Body))
	if err != nil {
		return nil, &endpointError{err: failure.New(failure.EndpointFailed, "correct the endpoint's address in the configuration",
			"endpoint %q has a malformed address", a.call.Endpoint.ID)}
	}
	a.sentEarlier = a.sent.Load()
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set(clientHeader, a.client.opts.Instance)
	req.Header.Set(requestIDHeader, a.call.RequestID)
	req.Header.Set(streamIDHeader, a.call.StreamID)
	req.Header.Set(priorityHeader, strconv.Itoa(a.call.Priority))
	if a.buffer.lastSeq > 0 {
		req.Header.Set(resumeHeader, strconv.FormatUint(a.buffer.lastSeq, 10))
	}
	return a.client.roundTrip(a.call.Endpoint.ID, req, a.result.Reconnects > 0, a.memory)
}
