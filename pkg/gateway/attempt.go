package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/placement"
	"github.com/clementinerack/clementinerack/pkg/upstream"
)

// String returns the log form of an attempt.
func (a attempt) String() string {
	return fmt.Sprintf("%s rank=%d cost=%.0f %s %dms", a.endpoint, a.rank, a.cost, a.result, a.took.Milliseconds())
}

// verdict is what follows from an attempt.
type verdict int

const (
	// done: the caller has its answer, or has left.
	done verdict = iota
	// notSent: no endpoint has read the request in this attempt.
	notSent
	// rejected: the endpoint says that it did not run the request.
	rejected
	// lost: the endpoint may have run the request and gave no usable answer.
	lost
	// errored: the endpoint ran the request and gave an error, which is kept.
	errored
	// broken: a stream broke off after some events.
	broken
)

// maxHeldAnswer bounds the answers that are held until they are whole.
const maxHeldAnswer = 4 << 20

// maxUnsent bounds the attempts without any effect, so that a request does not
// try each endpoint of a service that is cut off.
const maxUnsent = 4

// stream is the state of an answer that is passed on as it arrives.
type stream struct {
	begun     bool
	lastEvent string
	last      int64 // number of lastEvent
	numbered  bool
	resumed   bool // the next event is the first of another run
	// unnumbered is true once an event without an id was passed on: another run
	// could not tell whether the caller has it.
	unnumbered bool
}

// run makes attempts until there is an answer.
func (q *request) run(ctx context.Context) {
	s := &stream{lastEvent: q.envelope.ResumeAfter}
	if n, err := strconv.ParseInt(s.lastEvent, 10, 64); err == nil {
		s.last, s.numbered = n, true
	}
	var kept *heldAnswer // latest error of an endpoint
	for tries := 0; ; tries++ {
		choice, err := q.g.opts.Pool.Choose(q.placementRequest(), time.Now())
		if err != nil {
			q.giveUp(ctx, s, kept, failure.From(err))
			return
		}
		if q.arrivals > 0 && !q.g.opts.RetryBudget.AllowRetry(q.service, time.Now()) {
			choice.Done(placement.Inconclusive, time.Now())
			q.giveUp(ctx, s, kept, failure.New(failure.Limited, "repeat later", "the retry budget of service %q is spent", q.service))
			return
		}
		v, held := q.try(ctx, choice, s)
		if v != notSent {
			q.arrivals++
		}
		if held != nil {
			kept = held
		}
		if v == done {
			if q.broken {
				panic(http.ErrAbortHandler) // the connection ends without the end of the body
			}
			return
		}
		q.excluded[choice.ID] = true
		if ctx.Err() != nil || s.unnumbered || !q.mayTryAgain(v, tries) {
			q.giveUp(ctx, s, kept, nil)
			return
		}
	}
}

// mayTryAgain reports whether another endpoint may get the request.
func (q *request) mayTryAgain(v verdict, tries int) bool {
	if tries+1 >= maxUnsent+q.route.MaxAttempts {
		return false
	}
	if q.mayRun && (!q.route.IsRepeatable() || q.sends >= q.route.MaxAttempts) {
		return false
	}
	return v == notSent || v == rejected || q.route.IsRepeatable()
}

// giveUp ends a request that is not served.
func (q *request) giveUp(ctx context.Context, s *stream, kept *heldAnswer, cause *failure.Error) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		q.err = failure.New(failure.Truncated, "repeat the request", "the caller left")
	case s.begun:
		q.err = failure.New(failure.Truncated, "resume after the last event", "the stream broke off")
		q.status = 0                // the caller got no end
		panic(http.ErrAbortHandler) // the connection ends without the end of the body
	case ctx.Err() != nil:
		q.refuse(failure.New(failure.Timeout, "allow more time", "the time of the request has passed").WithOutcome(q.outcome()), 0)
	case kept != nil:
		q.pass(kept)
	case q.mayRun:
		q.refuse(failure.New(failure.EndpointFailed, "find out whether it ran before it is repeated", "no whole answer arrived").WithOutcome(failure.Unknown), 0)
	default:
		if cause == nil {
			cause = failure.New(failure.NoEndpoint, "repeat later", "no endpoint of service %q took the request", q.service)
		}
		q.refuse(cause.WithOutcome(failure.NotRun), jitter(againLater))
	}
}

func (q *request) outcome() failure.Outcome {
	if q.mayRun {
		return failure.Unknown
	}
	return failure.NotRun
}

// heldAnswer is a whole answer of an endpoint.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// try sends the request to one endpoint.
func (q *request) try(ctx context.Context, c *placement.Choice, s *stream) (verdict, *heldAnswer) {
	start := time.Now()
	ctx, cancel := q.attemptContext(ctx)
	defer cancel()
	q.g.opts.CrashGuard.Started(q.fingerprint, c.ID, start)
	answer, err := q.g.opts.Client.Do(ctx, c.Address, q.outgoing(c, s, start))
	var v verdict
	var held *heldAnswer
	outcome := placement.Failed
	result := ""
	if err != nil {
		v, outcome, result = q.unanswered(err)
	} else {
		v, outcome, result, held = q.answered(ctx, c, s, answer)
		answer.Close()
	}
	now := time.Now()
	if v == lost || v == broken {
		q.g.opts.CrashGuard.Broken(q.fingerprint, c.ID, now)
	} else {
		q.g.opts.CrashGuard.Ended(q.fingerprint, c.ID)
	}
	if q.r.Context().Err() != nil && (outcome == placement.Failed || outcome == placement.Unreachable) {
		outcome = placement.Inconclusive // the caller's leaving says nothing about the endpoint
	}
	if outcome == placement.Unreachable {
		q.g.opts.Client.CloseIdleConnections(c.Address)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		// Only a refused connection shows that the process has ended: an endpoint
		// behind a cut does not answer either.
		q.g.opts.CrashGuard.Died(c.ID, now)
	}
	c.Done(outcome, now)
	q.attempts = append(q.attempts, attempt{c.ID, c.Rank, c.Cost, result, now.Sub(start)})
	q.g.metrics.attempt(result)
	return v, held
}

// repeatAfter is the multiple of the objective after which an idempotent request
// goes to another endpoint.
const repeatAfter = 2

func (q *request) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if q.route.Kind == catalog.Idempotent && q.sends+1 < q.route.MaxAttempts && q.route.Objective > 0 {
		return context.WithTimeout(ctx, repeatAfter*q.route.Objective)
	}
	return context.WithCancel(ctx)
}

func (q *request) outgoing(c *placement.Choice, s *stream, now time.Time) *upstream.Request {
	o := AttemptMetadata{Timeout: q.deadline.Sub(now), Endpoint: c.ID, Priority: -1, ResumeAfter: s.lastEvent}
	if q.workspace != nil {
		o.Workspace = q.workspace.Name
	}
	if q.envelope.Metered {
		o.Priority = q.priority()
	}
	id := q.envelope.ID
	return &upstream.Request{
		Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Body: q.body,
		Header:        q.g.opts.Codec.EncodeHeader(q.r.Header, o),
		IsOwnResponse: func(h http.Header) bool { return q.g.opts.Codec.IsResponseTo(h, id) },
	}
}

func (q *request) priority() int {
	if q.workspace != nil && q.workspace.Priority != nil {
		return *q.workspace.Priority
	}
	return q.route.Priority
}

func (q *request) unanswered(err error) (verdict, placement.Outcome, string) {
	var failed *upstream.Error
	if errors.As(err, &failed) && failed.Progress == upstream.NotSent {
		return notSent, placement.Unreachable, "unreached"
	}
	q.sends++
	q.mayRun = true
	return lost, placement.Failed, "no answer: " + err.Error()
}

// answered handles an answer whose header has arrived.
func (q *request) answered(ctx context.Context, c *placement.Choice, s *stream, a *upstream.Response) (verdict, placement.Outcome, string, *heldAnswer) {
	if no, moved := q.g.opts.Codec.IsRejected(a.Status, a.Header); no {
		_, _ = a.ReadAll(maxHeldAnswer) // lets the connection be used again
		if moved {
			q.g.opts.Pool.MarkGone(c.ID, time.Now())
			return rejected, placement.Inconclusive, "moved", nil
		}
		return rejected, placement.Full, "rejected " + strconv.Itoa(a.Status), nil
	}
	q.sends++
	q.mayRun = true
	success := a.Status >= 200 && a.Status < 300
	if a.HasContentEncoding() || success && !q.g.opts.Codec.IsGenuine(a.Header) {
		return lost, placement.Failed, "spoiled " + strconv.Itoa(a.Status), nil
	}
	if success && q.route.Kind == catalog.Stream {
		return q.forward(c, s, a)
	}
	body, err := a.ReadAll(maxHeldAnswer)
	if errors.Is(err, upstream.ErrTooLarge) && !s.begun {
		c.RecordFirstByte(time.Now())
		return q.passLarge(a, body)
	}
	if err != nil {
		return lost, placement.Failed, "broke off: " + err.Error(), nil
	}
	c.RecordFirstByte(time.Now())
	held := &heldAnswer{a.Status, a.Header, body}
	result := "answered " + strconv.Itoa(a.Status)
	if a.Status >= 500 {
		return errored, placement.Failed, result, held
	}
	if s.begun {
		return broken, placement.Served, result, nil // an error in the middle of a stream
	}
	q.pass(held)
	return done, placement.Served, result, nil
}

// pass sends a whole answer of an endpoint to the caller.
func (q *request) pass(h *heldAnswer) {
	q.status = h.status
	if q.status >= 500 {
		q.err = failure.New(failure.EndpointFailed, "see the answer of the endpoint", "the endpoint answered %d", h.status).WithOutcome(failure.Answered)
	}
	q.writeHeader(h.status, h.header, len(h.body))
	_, _ = q.w.Write(h.body) // fails only when the caller has left
}

// passLarge passes on an answer that is too large to be held. One that breaks off
// ends without the end of its body.
func (q *request) passLarge(a *upstream.Response, begin []byte) (verdict, placement.Outcome, string, *heldAnswer) {
	q.status = a.Status
	q.writeHeader(a.Status, a.Header, int(a.Length))
	_, err := q.w.Write(begin)
	if err == nil {
		_, err = io.Copy(q.w, a)
	}
	if err != nil {
		q.err = failure.New(failure.Truncated, "repeat the request if it may run twice", "the answer broke off: %v", err)
		q.broken = true
		return done, placement.Failed, "broke off: " + err.Error(), nil
	}
	return done, placement.Served, "answered " + strconv.Itoa(a.Status), nil
}

// writeHeader sends the header of an endpoint's answer; a negative length means
// that it is not known.
func (q *request) writeHeader(status int, header http.Header, length int) {
	out := q.w.Header()
	for name, values := range q.g.opts.Codec.FilterResponseHeader(header) {
		out[name] = values
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.Itoa(length))
	}
	q.w.WriteHeader(status)
}

// forward passes on a stream, event by event.
func (q *request) forward(c *placement.Choice, s *stream, a *upstream.Response) (verdict, placement.Outcome, string, *heldAnswer) {
	events := newEventReader(a)
	s.resumed = s.numbered
	control := http.NewResponseController(q.w)
	for {
		batch, err := events.next()
		if len(batch) > 0 {
			c.RecordFirstByte(time.Now())
			out, joinErr := s.join(batch, err == io.EOF)
			if joinErr != nil {
				return broken, placement.Failed, joinErr.Error(), nil
			}
			if len(out.bytes) > 0 {
				if !s.begun {
					s.begun = true
					q.status = a.Status
					q.writeHeader(a.Status, a.Header, -1)
				}
				q.events += out.count
				if _, werr := q.w.Write(out.bytes); werr != nil {
					return broken, placement.Inconclusive, "caller left", nil
				}
				if ferr := control.Flush(); ferr != nil {
					return broken, placement.Inconclusive, "caller left", nil
				}
			}
		}
		switch {
		case err == io.EOF:
			if !s.begun {
				s.begun = true
				q.status = a.Status
				q.writeHeader(a.Status, a.Header, 0)
			}
			return done, placement.Served, "streamed", nil
		case err != nil && !s.begun:
			return lost, placement.Failed, "broke off: " + err.Error(), nil
		case err != nil:
			return broken, placement.Failed, "broke off: " + err.Error(), nil
		}
	}
}
