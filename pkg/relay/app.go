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
)

const (
	// holdBytes of an answer are held back, so that a short answer which breaks
	// off can still be replaced by an explicit error or another attempt.
	holdBytes      = 64 << 10
	copyBufferSize = 16 << 10
	maxStatus      = 599 // RFC 9110, section 15
)

// AppSink takes the answer of an app.
type AppSink interface {
	// Begin takes the status and the end-to-end headers. length is the size of
	// the body, or -1 when it is not known yet.
	Begin(status int, header http.Header, length int) error
	// Write takes the next part of the body. An error means that the caller
	// has left.
	Write(part []byte) (int, error)
}

// AppCall is one attempt of an app request.
type AppCall struct {
	Service  config.Service
	Endpoint config.Endpoint
	Method   string
	// Path is the escaped path with the query.
	Path       string
	Header     http.Header
	Body       []byte
	RequestID  string
	Repeatable bool
	// AllowReconnect allows a second connection to the same endpoint after the first one
	// broke or went silent before anything was delivered. It is asked only for
	// repeatable calls.
	AllowReconnect func() bool
	Sink           AppSink
}

// appAttempt is the state of one attempt.
type appAttempt struct {
	client *Client
	call   *AppCall
	sent   atomic.Bool
	began  time.Time
	res    Result
}

// SendApp makes one attempt. ctx ends with the deadline of the request or when its
// caller leaves.
func (c *Client) SendApp(ctx context.Context, call AppCall) Result {
	a := &appAttempt{client: c, call: &call, began: time.Now()}
	err := a.connection(ctx, !call.Repeatable)
	if a.mayReconnect(ctx, err) {
		a.res.Reconnects++
		err = a.connection(ctx, true)
	}
	if err == nil {
		a.res.Outcome = Complete
		return a.res
	}
	a.fail(ctx, err)
	return a.res
}

func (a *appAttempt) mayReconnect(ctx context.Context, err error) bool {
	return err != nil && a.call.Repeatable && !a.res.Delivered && !final(err) && !refused(err) &&
		ctx.Err() == nil && a.call.AllowReconnect != nil && a.call.AllowReconnect()
}

func (a *appAttempt) connection(ctx context.Context, fresh bool) error {
	ctx, dog := watch(ctx, orDefault(a.call.Service.FirstByteTimeout, defaultFirstByte))
	defer dog.close()
	resp, err := a.open(ctx, fresh)
	if err == nil {
		defer resp.Body.Close()
		err = a.receive(resp, dog)
	}
	if err != nil && errors.Is(context.Cause(ctx), errSilent) && !final(err) {
		return errSilent
	}
	return err
}

func (a *appAttempt) open(ctx context.Context, fresh bool) (*http.Response, error) {
	req, err := http.NewRequestWithContext(traceSent(ctx, &a.sent), a.call.Method,
		baseURL(a.call.Endpoint.Address)+a.call.Path, bytes.NewReader(a.call.Body))
	if err != nil {
		return nil, &refusal{err: failure.New(failure.Invalid, "correct the method and the path",
			"the request cannot be sent to endpoint %q", a.call.Endpoint.ID)}
	}
	if !a.call.Repeatable {
		req.GetBody = nil // without it the transport cannot send the body twice
	}
	if len(a.call.Body) == 0 {
		req.Body, req.GetBody = http.NoBody, nil
	}
	req.Header = forwardable(a.call.Header)
	req.Header.Set(requestIDHeader, a.call.RequestID)
	req.Header.Set(clientHeader, a.client.opts.Instance)
	if req.Header.Get("User-Agent") == "" {
		req.Header.Set("User-Agent", "") // keeps net/http from adding its own
	}
	if fresh {
		return a.client.fresh.RoundTrip(req)
	}
	return a.client.pooled.RoundTrip(req)
}

// receive passes the answer on. Up to holdBytes are held back first.
func (a *appAttempt) receive(resp *http.Response, dog *watchdog) error {
	dog.pause()
	if a.res.FirstByte == 0 {
		a.res.FirstByte = time.Since(a.began)
	}
	a.client.noteDraining(a.call.Endpoint.ID, resp.Header)
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		return &refusal{err: failure.New(failure.EndpointFailed, "correct the app",
			"endpoint %q answered with the invalid status %d", a.call.Endpoint.ID, resp.StatusCode)}
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
		return &refusal{err: failure.New(failure.EndpointFailed, "make the app send Content-Length or chunks",
			"endpoint %q sent an answer whose end cannot be told from a broken connection", a.call.Endpoint.ID)}
	}
	var held []byte
	buf := make([]byte, copyBufferSize)
	for total, begun := int64(0), false; ; {
		dog.feed(orDefault(a.call.Service.IdleTimeout, defaultIdle))
		n, err := resp.Body.Read(buf)
		dog.pause()
		if total += int64(n); total > a.client.opts.MaxResponse {
			return &refusal{err: failure.New(failure.EndpointFailed, "ask for less at once",
				"the answer exceeds %d bytes", a.client.opts.MaxResponse)}
		}
		end := err == io.EOF
		if err != nil && !end {
			return fmt.Errorf("read answer: %w", err)
		}
		held = append(held, buf[:n]...)
		if !end && !begun && len(held) <= holdBytes {
			continue
		}
		if err := a.pass(resp, held, begun, end); err != nil {
			return err
		}
		if end {
			return nil
		}
		begun, held = true, held[:0]
	}
}

func (a *appAttempt) pass(resp *http.Response, part []byte, begun, end bool) error {
	if !begun {
		header := endToEnd(resp.Header)
		dropOwn(header)
		header.Del(drainingHeader)
		length := -1
		if end {
			length = len(part)
		}
		a.res.Delivered = true
		if a.call.Sink.Begin(resp.StatusCode, header, length) != nil {
			return &stopError{callerLeft()}
		}
	}
	if len(part) == 0 {
		return nil
	}
	if _, err := a.call.Sink.Write(part); err != nil {
		return &stopError{callerLeft()}
	}
	return nil
}

func (a *appAttempt) fail(ctx context.Context, cause error) {
	var stop *stopError
	var refusal *refusal
	switch {
	case errors.As(cause, &stop):
		a.res.Err = stop.err
	case errors.As(cause, &refusal):
		a.res.Err, a.res.EndpointAtFault = refusal.err, true
	case ctx.Err() != nil:
		a.res.Err = ended(ctx)
	default:
		a.res.Err, a.res.EndpointAtFault = a.failed(cause), true
		a.client.noteDeath(ctx, &a.res, a.call.Endpoint, config.AppService, cause)
	}
	a.res.Outcome = Unknown
	if !a.sent.Load() {
		a.res.Outcome = NotSent
	}
}

func (a *appAttempt) failed(cause error) *failure.Error {
	kind, what := failure.EndpointFailed, "broke the connection"
	if a.res.Delivered {
		kind = failure.Truncated
	}
	if errors.Is(cause, errSilent) {
		what = "was silent for too long"
	}
	if refused(cause) {
		what = "refused the connection"
	}
	return failure.New(kind, "repeat the request under the same id", "endpoint %q %s", a.call.Endpoint.ID, what)
}
