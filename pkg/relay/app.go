package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/membudget"
	"github.com/clementinerack/clementinerack/pkg/splice"
)

const (
	// maxHeldBytes is how much of an answer is held back before it is passed on, so
	// that a short answer that ends early can still be replaced by an error or by
	// another attempt.
	maxHeldBytes  = 64 << 10
	maxStatusCode = 599 // RFC 9110, section 15
)

// AppSink receives the answer of an app.
type AppSink interface {
	// Begin receives the status and the end-to-end headers. length is the size of
	// the body in bytes, or -1 if it is not known yet. An error means that the
	// caller has disconnected.
	Begin(status int, header http.Header, length int) error
	// Write receives the next part of the body. An error means that the caller
	// has disconnected.
	Write(part []byte) (int, error)
}

// AppCall is one attempt of an app request.
type AppCall struct {
	Service  config.Service
	Endpoint config.Endpoint
	Method   string
	// Path is the escaped path with the query.
	Path string
	// Header holds the caller's headers. Those that an app must not see are not
	// sent.
	Header     http.Header
	Body       []byte
	RequestID  string
	Repeatable bool
	// AllowReconnect reports whether a second connection to the same endpoint may
	// be opened after the first one broke or became silent before anything was
	// delivered. It is called only for repeatable calls; nil means no.
	AllowReconnect func() bool
	Sink           AppSink
}

// appAttempt is the state of one attempt across its connections.
type appAttempt struct {
	client    *Client
	call      *AppCall
	sent      atomic.Bool // a byte of the request may have been written
	startedAt time.Time
	result    Result
	memory    *membudget.Account
}

// SendApp makes one attempt of an app request. ctx must end with the deadline of
// the request or when its caller disconnects.
func (c *Client) SendApp(ctx context.Context, call AppCall) Result {
	a := &appAttempt{client: c, call: &call, startedAt: time.Now(), memory: c.budget.Open(call.Endpoint.ID)}
	defer a.memory.Close()
	err := a.tryConnection(ctx, !call.Repeatable)
	if a.shouldReconnect(ctx, err) {
		a.result.Reconnects++
		err = a.tryConnection(ctx, true)
	}
	if err == nil {
		a.result.Outcome = Complete
		return a.result
	}
	a.recordFailure(ctx, err)
	return a.result
}

func (a *appAttempt) shouldReconnect(ctx context.Context, err error) bool {
	return err != nil && a.call.Repeatable && !a.result.Delivered && !isFinal(err) && !isConnectionRefused(err) &&
		ctx.Err() == nil && a.call.AllowReconnect != nil && a.call.AllowReconnect()
}

func (a *appAttempt) tryConnection(ctx context.Context, newConn bool) error {
	ctx, wd := withWatchdog(ctx, orDefault(a.call.Service.FirstByteTimeout, defaultFirstByteTimeout))
	defer wd.close()
	resp, err := a.sendRequest(ctx, newConn)
	if err == nil {
		defer resp.Body.Close()
		err = a.receive(resp, wd)
	}
	if err != nil && errors.Is(context.Cause(ctx), errIdleTimeout) && !isFinal(err) {
		return errIdleTimeout
	}
	return err
}

func (a *appAttempt) sendRequest(ctx context.Context, newConn bool) (*http.Response, error) {
	req, err := http.NewRequestWithContext(withSentTrace(ctx, &a.sent), a.call.Method,
		baseURL(a.call.Endpoint.Address)+a.call.Path, bytes.NewReader(a.call.Body))
	if err != nil {
		return nil, &endpointError{err: failure.New(failure.Invalid, "correct the method and the path",
			"the request cannot be sent to endpoint %q", a.call.Endpoint.ID)}
	}
	if !a.call.Repeatable {
		req.GetBody = nil // without GetBody the transport cannot send the body twice
	}
	if len(a.call.Body) == 0 {
		req.Body, req.GetBody = http.NoBody, nil
	}
	req.Header = forwardableHeaders(a.call.Header)
	req.Header.Set(requestIDHeader, a.call.RequestID)
	req.Header.Set(clientHeader, a.client.opts.Instance)
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "") // keeps net/http from adding its own
	}
	return a.client.roundTrip(a.call.Endpoint.ID, req, newConn, a.memory)
}

// receive passes the answer to the sink. It first holds back up to maxHeldBytes, or less if the
// memory budget does not allow it.
func (a *appAttempt) receive(resp *http.Response, wd *watchdog) error {
	wd.pause()
	if a.result.FirstByte == 0 {
		a.result.FirstByte = time.Since(a.startedAt)
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatusCode {
		return &endpointError{err: failure.New(failure.EndpointFailed, "correct the app",
			"endpoint %q answered with the invalid status code %d", a.call.Endpoint.ID, resp.StatusCode)}
	}
	if splice.EndsWithConnection(resp) {
		return &endpointError{err: failure.New(failure.EndpointFailed, "make the app send Content-Length or chunks",
			"endpoint %q sent an answer whose end cannot be distinguished from a broken connection", a.call.Endpoint.ID)}
	}
	held := make([]byte, 0, membudget.FreeBytes)
	defer func() { a.memory.Free(held) }()
	for total, begun := int64(0), false; ; {
		wd.reset(orDefault(a.call.Service.IdleTimeout, defaultIdleTimeout))
		n, err := resp.Body.Read(held[len(held):cap(held)])
		wd.pause()
		if total += int64(n); total > a.client.opts.MaxResponse {
			return &endpointError{err: failure.New(failure.EndpointFailed, "ask for less at once",
				"the answer exceeds %d bytes", a.client.opts.MaxResponse)}
		}
		end := err == io.EOF
		if err != nil && !end {
			return fmt.Errorf("read answer: %w", err)
		}
		held = held[:len(held)+n]
		if !end && !begun {
			var ok bool
			if held, ok = a.makeRoom(held); ok {
				continue
			}
		}
		if err := a.writePart(resp, held, begun, end); err != nil {
			return err
		}
		if end {
			return nil
		}
		if !begun {
			a.memory.Free(held)
			begun, held = true, make([]byte, 0, membudget.FreeBytes)
		}
		held = held[:0]
	}
}

// makeRoom returns held with room for more, and whether more may be held back.
func (a *appAttempt) makeRoom(held []byte) ([]byte, bool) {
	if len(held) < cap(held) {
		return held, true
	}
	return a.memory.Grow(held, maxHeldBytes+1)
}

func (a *appAttempt) writePart(resp *http.Response, part []byte, begun, end bool) error {
	if !begun {
		header := endToEndHeaders(resp.Header)
		deleteOwnHeaders(header)
		header.Del(drainingHeader)
		header.Del(requestIDHeader)
		length := -1
		if end {
			length = len(part)
		}
		a.result.Delivered = true
		if a.call.Sink.Begin(resp.StatusCode, header, length) != nil {
			return &stopError{callerLeftError()}
		}
	}
	if len(part) == 0 {
		return nil
	}
	if _, err := a.call.Sink.Write(part); err != nil {
		return &stopError{callerLeftError()}
	}
	return nil
}

// recordFailure fills in the result of an attempt that ended with cause.
func (a *appAttempt) recordFailure(ctx context.Context, cause error) {
	var stopErr *stopError
	var endpointErr *endpointError
	switch {
	case errors.As(cause, &stopErr):
		a.result.Err = stopErr.err
	case errors.As(cause, &endpointErr):
		a.result.Err, a.result.EndpointAtFault = endpointErr.err, true
	case ctx.Err() != nil:
		a.result.Err = contextError(ctx)
	default:
		a.result.Err, a.result.EndpointAtFault = a.connectionError(cause), true
		a.client.detectDeath(ctx, &a.result, a.call.Endpoint, config.AppService, cause)
	}
	a.result.Outcome = Unknown
	if !a.sent.Load() {
		a.result.Outcome = NotSent
	}
}

func (a *appAttempt) connectionError(cause error) *failure.Error {
	kind, problem := failure.EndpointFailed, "broke the connection"
	if a.result.Delivered {
		kind = failure.Truncated
	}
	if errors.Is(cause, errIdleTimeout) {
		problem = "was silent for too long"
	}
	if errors.Is(cause, splice.ErrHead) || errors.Is(cause, splice.ErrBody) {
		problem = "sent an answer that goes on with other bytes"
	}
	if errors.Is(cause, splice.ErrFraming) {
		problem = "sent an answer that leaves open where it ends"
	}
	if isConnectionRefused(cause) {
		problem = "refused the connection"
	}
	return failure.New(kind, "repeat the request under the same id", "endpoint %q %s", a.call.Endpoint.ID, problem)
}
