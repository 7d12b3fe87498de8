package kvstore

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/splice"
)

const (
	headerClient  = "X-Client"
	headerVersion = "X-Version"

	// maxResponseBytes limits the body of a response. The longest body is the
	// instance list: about 1,100 entries of 200 bytes at the target size.
	maxResponseBytes = 4 * MaxValueBytes

	retryLaterRemedy = "repeat the call after the store responds again"
	readBackRemedy   = "read the state back before repeating the write"
)

// request is a call of the store's HTTP protocol. timeout limits one attempt.
type request struct {
	kind    CallKind
	method  string
	path    string
	query   url.Values
	body    []byte
	timeout time.Duration
}

// isWrite reports whether the call can change the state of the store.
func (r request) isWrite() bool { return r.method != http.MethodGet }

// response is a complete response of the store, with any status. version is the
// value of the version header.
type response struct {
	status  int
	version string
	body    []byte
}

// attemptError is the error of a failed attempt, with the properties that the
// breaker and the retry loop evaluate.
type attemptError struct {
	cause *failure.Error
	// canceled means that the caller or Close ended the attempt. That says nothing
	// about the health of the store, so the breaker does not count it.
	canceled bool
	// permanent means that another attempt cannot succeed.
	permanent bool
}

// Error returns the message of the cause.
func (e *attemptError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.cause }

// unavailableOrUncertain returns the error of a call without a usable response. If
// the call is a write that may have been sent, the error is failure.Uncertain;
// otherwise the call had no effect and the error is failure.Unavailable.
func (r request) unavailableOrUncertain(sent bool, format string, args ...any) *failure.Error {
	if r.isWrite() && sent {
		return failure.New(failure.Uncertain, readBackRemedy, string(r.kind)+": "+format, args...)
	}
	return failure.New(failure.Unavailable, retryLaterRemedy, string(r.kind)+": "+format, args...)
}

// attempt sends the request once. Responses with status 2xx and 4xx are decisions of
// the store, so it returns them without error.
func (c *HTTPClient) attempt(ctx context.Context, r request) (response, error) {
	if err := ctx.Err(); err != nil {
		return response{}, &attemptError{cause: r.unavailableOrUncertain(false, "not sent: %v", err), canceled: true, permanent: true}
	}
	if !c.beginAttempt() {
		return response{}, &attemptError{cause: r.unavailableOrUncertain(false, "not sent: the client is closed"), canceled: true, permanent: true}
	}
	defer c.attempts.Done()
	attemptCtx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()

	var sent atomic.Bool
	resp, err := c.roundTrip(httptrace.WithClientTrace(attemptCtx, &httptrace.ClientTrace{
		// The transport requests another connection only if it wrote nothing to the
		// previous one, so GetConn resets sent.
		GetConn: func(string) { sent.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}), r)
	switch {
	case err != nil:
		return response{}, &attemptError{
			cause:     r.unavailableOrUncertain(sent.Load(), "no response: %v", err),
			canceled:  c.ctx.Err() != nil || isCanceledByCaller(ctx, r),
			permanent: c.ctx.Err() != nil || ctx.Err() != nil,
		}
	case resp.status == http.StatusServiceUnavailable:
		return response{}, &attemptError{cause: r.unavailableOrUncertain(false, "the store refuses calls")}
	case resp.status < 200 || resp.status >= 500 || resp.status/100 == 3:
		return response{}, &attemptError{cause: r.unavailableOrUncertain(true, "unexpected status %d", resp.status)}
	}
	return resp, nil
}

// isCanceledByCaller reports whether the caller ended the call. An expired deadline
// of the caller counts as a failure of the store, except for a watch, which is
// expected to wait until then.
func isCanceledByCaller(ctx context.Context, r request) bool {
	return errors.Is(ctx.Err(), context.Canceled) || (ctx.Err() != nil && r.kind == CallWatch)
}

// roundTrip sends the request and reads the whole response.
func (c *HTTPClient) roundTrip(ctx context.Context, r request) (response, error) {
	target := url.URL{Scheme: c.scheme, Host: c.options.Address, Path: r.path, RawQuery: r.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, r.method, target.String(), bytes.NewReader(r.body))
	if err != nil {
		return response{}, err
	}
	req.Header.Set(headerClient, c.options.ClientID)
	c.metrics.bytes.WithLabelValues("sent").Add(float64(len(r.body)))
	httpResp, err := c.http.Do(req)
	if err != nil {
		return response{}, err
	}
	defer httpResp.Body.Close()
	if httpResp.StatusCode < 300 && splice.EndsWithConnection(httpResp) {
		return response{}, errors.New("response whose end cannot be distinguished from a broken connection")
	}
	body, err := io.ReadAll(io.LimitReader(httpResp.Body, maxResponseBytes+1))
	c.metrics.bytes.WithLabelValues("received").Add(float64(len(body)))
	if err != nil {
		return response{}, errors.Wrap(err, "response ended early")
	}
	if len(body) > maxResponseBytes {
		return response{}, errors.Newf("response exceeds %d bytes", maxResponseBytes)
	}
	return response{status: httpResp.StatusCode, version: httpResp.Header.Get(headerVersion), body: body}, nil
}

// attemptThroughBreaker makes one attempt if the breaker admits it, and decodes the
// response.
func attemptThroughBreaker[T any](ctx context.Context, c *HTTPClient, r request, decode func(response) (T, error)) (T, error) {
	var zero T
	resp, err := c.breaker.Execute(func() (response, error) { return c.attempt(ctx, r) })
	var attemptErr *attemptError
	if err != nil && !errors.As(err, &attemptErr) {
		c.metrics.countBreakerOpen(r.kind)
		return zero, &attemptError{cause: r.unavailableOrUncertain(false, "not sent: %v", err), permanent: true}
	}
	if err != nil {
		c.metrics.countResult(r.kind, err)
		return zero, err
	}
	value, err := decode(resp)
	c.metrics.countResult(r.kind, err)
	return value, err
}

// callOnce makes a call with a single attempt.
func callOnce[T any](ctx context.Context, c *HTTPClient, r request, decode func(response) (T, error)) (T, error) {
	value, err := attemptThroughBreaker(ctx, c, r, decode)
	return value, toFailure(err)
}

// callWithRetries makes a call that changes nothing in the store. It repeats the
// call after failures of the store, with exponential backoff and jitter, until
// ctx ends or MaxReadAttempts is reached.
func callWithRetries[T any](ctx context.Context, c *HTTPClient, r request, decode func(response) (T, error)) (T, error) {
	var value T
	var lastErr error
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = c.options.RetryDelay
	retryDelay.MaxInterval = c.options.CallTimeout
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		value, lastErr = attemptThroughBreaker(ctx, c, r, decode)
		var attemptErr *attemptError
		if !failure.Is(lastErr, failure.Unavailable) || (errors.As(lastErr, &attemptErr) && attemptErr.permanent) {
			return struct{}{}, markPermanent(lastErr)
		}
		return struct{}{}, lastErr
	}, backoff.WithBackOff(retryDelay), backoff.WithMaxTries(c.options.MaxReadAttempts), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return value, toFailure(lastErr)
	}
	return value, nil
}

// markPermanent makes backoff.Retry stop at err. It returns nil for nil.
func markPermanent(err error) error {
	if err == nil {
		return nil
	}
	return backoff.Permanent(err)
}

// toFailure returns the *failure.Error in err, without the attemptError around it.
func toFailure(err error) error {
	if err == nil {
		return nil
	}
	return failure.From(err)
}

// statusError returns the error for a response of attempt with status 4xx, and nil
// for status 2xx.
func statusError(r request, resp response) error {
	switch {
	case resp.status == http.StatusConflict:
		return failure.New(failure.Conflict, "read the state and decide again", "%s of %s conflicts", r.kind, r.path)
	case resp.status >= 300:
		return failure.New(failure.Invalid, "check the arguments and the address of the store",
			"%s of %s was refused with status %d", r.kind, r.path, resp.status)
	}
	return nil
}

// parseVersion parses the version header of a response.
func parseVersion(r request, resp response) (uint64, error) {
	version, err := strconv.ParseUint(resp.version, 10, 64)
	if err != nil {
		return 0, r.unavailableOrUncertain(true, "response has the malformed version %q", resp.version)
	}
	return version, nil
}
