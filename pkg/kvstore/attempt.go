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
)

const (
	headerClient  = "X-Client"
	headerVersion = "X-Version"

	// maxAnswerBytes bounds the body of an answer. The longest one is the
	// instance list: about 1,100 entries of 200 bytes at the target size.
	maxAnswerBytes = 4 * MaxValueBytes

	retryRemedy = "repeat the call after the store answers again"
	readRemedy  = "read the state back before repeating the write"
)

// request describes one call of the protocol.
type request struct {
	kind    CallKind
	method  string
	path    string
	query   url.Values
	body    []byte
	timeout time.Duration
}

// write reports whether the call changes the state of the store.
func (r request) write() bool { return r.method != http.MethodGet }

// answer is a complete answer of the store, not necessarily a success.
type answer struct {
	status  int
	version string
	body    []byte
}

// callError is a failed attempt with what the breaker and the retry loop need.
type callError struct {
	cause *failure.Error
	// abandoned means that the caller ended the call, which says nothing about
	// the health of the store.
	abandoned bool
	// final means that another attempt is pointless.
	final bool
}

// Error implements error.
func (e *callError) Error() string { return e.cause.Error() }

// Unwrap returns the typed error.
func (e *callError) Unwrap() error { return e.cause }

// lost is the error of a call without a usable answer. A write that may have
// been sent is uncertain; any other call had no effect.
func (r request) lost(sent bool, format string, args ...any) *failure.Error {
	if r.write() && sent {
		return failure.New(failure.Uncertain, readRemedy, string(r.kind)+": "+format, args...)
	}
	return failure.New(failure.Unavailable, retryRemedy, string(r.kind)+": "+format, args...)
}

// attempt sends the request once. Answers that the store gives on purpose
// (2xx, 4xx) are returned without error.
func (c *HTTPClient) attempt(ctx context.Context, r request) (answer, error) {
	if err := ctx.Err(); err != nil {
		return answer{}, &callError{cause: r.lost(false, "not sent: %v", err), abandoned: true, final: true}
	}
	if !c.enter() {
		return answer{}, &callError{cause: r.lost(false, "not sent: the client is closed"), abandoned: true, final: true}
	}
	defer c.calls.Done()
	limited, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	defer context.AfterFunc(c.open, cancel)()

	var sent atomic.Bool
	a, err := c.exchange(httptrace.WithClientTrace(limited, &httptrace.ClientTrace{
		// The transport asks for another connection only after a failure that
		// wrote nothing, so GetConn clears the mark.
		GetConn: func(string) { sent.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}), r)
	switch {
	case err != nil:
		return answer{}, &callError{
			cause:     r.lost(sent.Load(), "no answer: %v", err),
			abandoned: c.open.Err() != nil || abandoned(ctx, r),
			final:     c.open.Err() != nil || ctx.Err() != nil,
		}
	case a.status == http.StatusServiceUnavailable:
		return answer{}, &callError{cause: r.lost(false, "the store refuses calls")}
	case a.status < 200 || a.status >= 500 || a.status/100 == 3:
		return answer{}, &callError{cause: r.lost(true, "unexpected status %d", a.status)}
	}
	return a, nil
}

// abandoned reports whether the call ended by the caller's choice. The
// deadline of a caller counts against the store, except for a watch, whose
// purpose is to wait.
func abandoned(ctx context.Context, r request) bool {
	return errors.Is(ctx.Err(), context.Canceled) || (ctx.Err() != nil && r.kind == CallWatch)
}

func (c *HTTPClient) exchange(ctx context.Context, r request) (answer, error) {
	target := url.URL{Scheme: c.scheme, Host: c.options.Address, Path: r.path, RawQuery: r.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, r.method, target.String(), bytes.NewReader(r.body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set(headerClient, c.options.ClientID)
	c.metrics.bytes.WithLabelValues("sent").Add(float64(len(r.body)))
	res, err := c.http.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	c.metrics.bytes.WithLabelValues("received").Add(float64(len(body)))
	if err != nil {
		return answer{}, errors.Wrap(err, "answer broke off")
	}
	if len(body) > maxAnswerBytes {
		return answer{}, errors.Newf("answer exceeds %d bytes", maxAnswerBytes)
	}
	return answer{status: res.StatusCode, version: res.Header.Get(headerVersion), body: body}, nil
}

// once makes one attempt through the breaker and decodes its answer.
func once[T any](ctx context.Context, c *HTTPClient, r request, decode func(answer) (T, error)) (T, error) {
	var zero T
	a, err := c.breaker.Execute(func() (answer, error) { return c.attempt(ctx, r) })
	var failed *callError
	if err != nil && !errors.As(err, &failed) {
		c.metrics.countRefused(r.kind)
		return zero, &callError{cause: r.lost(false, "not sent: %v", err), final: true}
	}
	if err != nil {
		c.metrics.count(r.kind, err)
		return zero, err
	}
	value, err := decode(a)
	c.metrics.count(r.kind, err)
	return value, err
}

// send makes a call that is never repeated.
func send[T any](ctx context.Context, c *HTTPClient, r request, decode func(answer) (T, error)) (T, error) {
	value, err := once(ctx, c, r, decode)
	return value, typed(err)
}

// read makes a call without effect. It repeats the call after failures of the
// store, with growing jittered pauses, while the caller's context permits.
func read[T any](ctx context.Context, c *HTTPClient, r request, decode func(answer) (T, error)) (T, error) {
	var value T
	var last error
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = c.options.RetryDelay
	pauses.MaxInterval = c.options.CallTimeout
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		value, last = once(ctx, c, r, decode)
		var failed *callError
		if !failure.Is(last, failure.Unavailable) || (errors.As(last, &failed) && failed.final) {
			return struct{}{}, permanent(last)
		}
		return struct{}{}, last
	}, backoff.WithBackOff(pauses), backoff.WithMaxTries(c.options.MaxReadAttempts), backoff.WithMaxElapsedTime(0))
	if err != nil {
		return value, typed(last)
	}
	return value, nil
}

// permanent marks an error as not to be retried; nil stays nil.
func permanent(err error) error {
	if err == nil {
		return nil
	}
	return backoff.Permanent(err)
}

// typed strips what only the breaker and the retry loop need.
func typed(err error) error {
	if err == nil {
		return nil
	}
	return failure.From(err)
}

// rejected is the error of an answer with a status other than 2xx.
func rejected(r request, a answer) error {
	switch {
	case a.status == http.StatusConflict:
		return failure.New(failure.Conflict, "read the state and decide again", "%s of %s conflicts", r.kind, r.path)
	case a.status >= 300:
		return failure.New(failure.Invalid, "check the arguments and the address of the store",
			"%s of %s was refused with status %d", r.kind, r.path, a.status)
	}
	return nil
}

// parseVersion reads the version header of an answer.
func parseVersion(r request, a answer) (uint64, error) {
	version, err := strconv.ParseUint(a.version, 10, 64)
	if err != nil {
		return 0, r.lost(true, "answer has the malformed version %q", a.version)
	}
	return version, nil
}
