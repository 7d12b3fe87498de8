package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/membudget"
	"github.com/clementinerack/clementinerack/pkg/placement"
	"github.com/clementinerack/clementinerack/pkg/upstream"
)

// String formats an attempt for the log.
func (a attempt) String() string {
	return fmt.Sprintf("%s version=%s rank=%d cost=%.0f %s %dms", a.endpoint, a.version, a.rank, a.cost, a.result, a.duration.Milliseconds())
}

// attemptStatus says how an attempt ended, which decides whether a retry is
// possible.
type attemptStatus int

const (
	// attemptDone means that the response was forwarded to the caller as far as it
	// arrived.
	attemptDone attemptStatus = iota
	// attemptNotSent means that the endpoint cannot have read the request.
	attemptNotSent
	// attemptRejected means that the endpoint declared that it did not run the
	// request.
	attemptRejected
	// attemptLost means that the endpoint may have run the request and gave no usable
	// response.
	attemptLost
	// attemptFailed means that the endpoint ran the request and responded with a 5xx
	// status. The response is kept in case no other attempt succeeds.
	attemptFailed
	// attemptBroken means that a stream was interrupted after some of its events were
	// forwarded.
	attemptBroken
)

// maxBufferedResponseBytes bounds the responses that are buffered until they are
// complete. Larger ones, and those for which the memory budget has too little left, are
// forwarded as they arrive and cannot be retried.
const maxBufferedResponseBytes = 4 << 20

// errEmptyBody means that an endpoint closed its connection after the head of a response
// whose body ends with the connection, which a sound endpoint has no reason to do.
var errEmptyBody = errors.New("the body is empty and ends with the connection")

// copyBufferBytes is the memory that a response takes while it is forwarded as it arrives. It
// is smaller than the default of net/http, because no budget bounds it.
const copyBufferBytes = 8 << 10

// maxExtraAttempts bounds the attempts beyond Route.MaxAttempts, which counts only
// those that may have run. It keeps a request from trying every endpoint of a
// service in a partitioned failure domain.
const maxExtraAttempts = 4

// streamState is the progress of a stream, across all attempts.
type streamState struct {
	started       bool   // the response header was sent to the caller
	lastEventID   string // ID of the last event that the caller has
	lastNumber    int64  // lastEventID as a number
	hasLastNumber bool
	isResuming    bool      // the next event is the first one of a resumed run
	firstEvent    time.Time // of the latest attempt, zero if it has none
	// forwardedWithoutID is true once an event without an ID was forwarded. Such a
	// stream cannot be resumed, because another run would repeat that event.
	forwardedWithoutID bool
	isEventField       func(name string) bool // Codec.IsEventField
}

// runAttempts makes attempts until the caller has a response or no further attempt
// is allowed.
func (q *request) runAttempts(ctx context.Context) {
	s := &streamState{lastEventID: q.envelope.ResumeAfter, isEventField: q.g.opts.Codec.IsEventField}
	if n, err := strconv.ParseInt(s.lastEventID, 10, 64); err == nil {
		s.lastNumber, s.hasLastNumber = n, true
	}
	var lastErrorResponse *bufferedResponse // latest 5xx of an endpoint
	defer func() { lastErrorResponse.free() }()
	for tries := 0; ; tries++ {
		if err := q.checkTraits(time.Now()); err != nil {
			q.giveUp(ctx, s, lastErrorResponse, failure.From(err))
			return
		}
		choice, err := q.g.opts.Pool.Choose(q.newPlacementRequest(), time.Now())
		if err != nil {
			q.giveUp(ctx, s, lastErrorResponse, failure.From(err))
			return
		}
		if q.reachedAttempts > 0 && !q.g.opts.RetryBudget.AllowRetry(q.service, time.Now()) {
			choice.Done(placement.Inconclusive, time.Now())
			q.giveUp(ctx, s, lastErrorResponse, failure.New(failure.Limited, "repeat later", "the retry budget of service %q is spent", q.service).WithCause(failure.CauseRetryBudget))
			return
		}
		status, errorResponse := q.tryEndpoint(ctx, choice, s)
		if status != attemptNotSent {
			q.reachedAttempts++
		}
		if errorResponse != nil {
			lastErrorResponse.free()
			lastErrorResponse = errorResponse
		}
		if status == attemptDone {
			return
		}
		q.excluded[choice.ID] = true
		if ctx.Err() != nil || s.forwardedWithoutID || !q.canRetry(status, tries) {
			q.giveUp(ctx, s, lastErrorResponse, nil)
			return
		}
	}
}

// canRetry reports whether the request may be sent to another endpoint after an
// attempt with the given status. tries is the number of earlier attempts.
func (q *request) canRetry(status attemptStatus, tries int) bool {
	if tries+1 >= maxExtraAttempts+q.route.MaxAttempts {
		return false
	}
	if q.mayHaveRun && (!q.route.IsRepeatable() || q.possibleRuns >= q.route.MaxAttempts) {
		return false
	}
	return status == attemptNotSent || status == attemptRejected || q.route.IsRepeatable()
}

// giveUp ends a request after its last attempt. It forwards the latest error
// response of an endpoint, or answers with an error, or leaves a stream that has begun
// incomplete. cause is used if no endpoint may have run the request; it may be nil.
func (q *request) giveUp(ctx context.Context, s *streamState, lastErrorResponse *bufferedResponse, cause *failure.Error) {
	isAborted := q.g.aborted.Err() != nil
	switch {
	case s.started:
		q.err = failure.New(failure.Truncated, "resume after the last event", "the stream broke off")
		if q.r.Context().Err() != nil {
			q.err = newCallerLeftError()
		}
		q.status = 0 // the caller gets no complete response
	case isAborted && !q.mayHaveRun:
		q.refuse(newStoppingError(), otherInstanceRetryDelay)
	case isAborted:
		q.refuse(failure.New(failure.Timeout, "check whether the request ran before repeating it", "the instance is stopping").WithOutcome(failure.Unknown).WithCause(failure.CauseStopping), 0)
	case errors.Is(ctx.Err(), context.Canceled):
		q.refuse(newCallerLeftError().WithOutcome(q.outcome()), 0)
	case ctx.Err() != nil:
		q.refuse(failure.New(failure.Timeout, "set a longer timeout", "the deadline of the request has passed").WithOutcome(q.outcome()), 0)
	case lastErrorResponse != nil:
		q.writeResponse(lastErrorResponse)
	case q.mayHaveRun:
		q.refuse(failure.New(failure.EndpointFailed, "check whether the request ran before repeating it", "no complete response arrived from the endpoint").WithOutcome(failure.Unknown), 0)
	default:
		if cause == nil {
			cause = failure.New(failure.NoEndpoint, "repeat later", "no endpoint of service %q accepted the request", q.service)
		}
		if q.wasRejected && failure.CauseOf(cause) == failure.CauseNoEndpoint {
			cause = cause.WithCause(failure.CauseLimit)
		}
		q.refuse(cause.WithOutcome(failure.NotRun), q.retryDelay(cause, time.Now()))
	}
}

// newCallerLeftError returns the error of a request whose caller has closed its connection, or
// only its sending side, which cannot be told apart.
func newCallerLeftError() *failure.Error {
	return failure.New(failure.Truncated, "keep both sides of the connection open until the response is complete", "the caller disconnected").WithCause(failure.CauseCaller)
}

// outcome returns the outcome to report for a request without a response.
func (q *request) outcome() failure.Outcome {
	if q.mayHaveRun {
		return failure.Unknown
	}
	return failure.NotRun
}

// bufferedResponse is a complete response of an endpoint.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	memory *membudget.Account // of header and body, nil if the upstream response holds it
}

// free returns the memory of a response, which may be nil.
func (r *bufferedResponse) free() {
	if r != nil {
		r.memory.Close()
	}
}

// sending is an attempt under way. Only run may execute in a goroutine of its own.
type sending struct {
	choice  *placement.Choice
	start   time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	request *upstream.Request
	done    chan struct{} // closed when run has returned

	// The results of run.
	resp   *upstream.Response
	err    error
	notice string // what the endpoint said about itself, for the log
	headAt time.Time
}

// newSending begins an attempt. Each one must be run, and then be finished or abandoned. others
// is the number of attempts under way beside it.
func (q *request) newSending(ctx context.Context, c *placement.Choice, s *streamState, others int) *sending {
	now := time.Now()
	a := &sending{choice: c, start: now, request: q.newUpstreamRequest(c, s, now), done: make(chan struct{})}
	a.ctx, a.cancel = q.newAttemptContext(ctx, others)
	a.request.OnHead = func(status int, header http.Header) { a.notice += q.applyNotice(c, status, header, time.Now()) }
	a.request.MaySend = c.MaySend
	q.g.opts.CrashGuard.RecordStart(q.fingerprint, c.ID, now)
	return a
}

// run sends the request and waits for the head of the response.
func (a *sending) run(client *upstream.Client) {
	defer close(a.done)
	a.resp, a.err = client.Do(a.ctx, a.choice.Address, a.request)
	a.headAt = time.Now()
}

// tryEndpoint sends the request to one endpoint, and maybe to a second one if it is slow, and
// handles the response. The returned response is set only with attemptFailed.
func (q *request) tryEndpoint(ctx context.Context, c *placement.Choice, s *streamState) (attemptStatus, *bufferedResponse) {
	a := q.newSending(ctx, c, s, 0)
	if q.mayGetSecondAttempt() {
		return q.race(ctx, a, s)
	}
	a.run(q.g.opts.Client)
	return q.finish(a, s)
}

// finish handles the response to an attempt that was run, and reports the outcome to the pool,
// the crash guard and the metrics.
func (q *request) finish(a *sending, s *streamState) (attemptStatus, *bufferedResponse) {
	defer a.cancel()
	ctx, c, resp := a.ctx, a.choice, a.resp
	s.firstEvent, q.interruptedBy = time.Time{}, a.err
	var status attemptStatus
	var errorResponse *bufferedResponse
	outcome := placement.Failed
	result := ""
	if a.err != nil {
		status, outcome, result = q.handleSendError(a.err)
	} else {
		status, outcome, result, errorResponse = q.handleResponse(ctx, c, s, resp)
		resp.Close()
		a.notice += describeConnection(status, resp)
		q.g.metrics.foreignResponses.Add(float64(resp.Skipped))
	}
	now := time.Now()
	if status == attemptLost || status == attemptBroken {
		q.interrupted = true
		if ctx.Err() == nil {
			q.recordInterruption(c.Endpoint, s.firstEvent, now)
		}
		q.g.opts.CrashGuard.RecordBrokenConnection(q.fingerprint, c.ID, now)
	} else {
		q.g.opts.CrashGuard.RecordEnd(q.fingerprint, c.ID)
	}
	if q.r.Context().Err() != nil && (outcome == placement.Failed || outcome == placement.Unreachable) {
		outcome = placement.Inconclusive // the request ended because the caller disconnected
	}
	if outcome == placement.Unreachable {
		q.g.opts.Client.CloseIdleConnections(c.Address)
	}
	if outcome == placement.Full {
		q.g.opts.SecondAttempts.RecordFull(q.service, now)
	}
	if errors.Is(a.err, syscall.ECONNREFUSED) {
		// Only a refused connection shows that the process has ended. A timeout may
		// also be due to a network partition.
		q.g.opts.CrashGuard.HandleEndpointDeath(c.ID, now)
	}
	q.end(a, outcome, result+a.notice, now)
	if errors.Is(a.err, syscall.ECONNREFUSED) {
		c.MarkDied(now) // after end, which sets how long the endpoint is avoided
	}
	q.g.metrics.observeAttempt(result)
	return status, errorResponse
}

// end ends an attempt at its endpoint and records it for the log.
func (q *request) end(a *sending, outcome placement.Outcome, result string, now time.Time) {
	c := a.choice
	c.Done(outcome, now)
	q.attempts = append(q.attempts, attempt{c.ID, c.SoftwareVersion, c.Rank, c.Cost, result, now.Sub(a.start)})
}

// describeConnection returns how a response that did not serve the request arrived, for the
// log: an extra response can only arrive on a reused connection.
func describeConnection(status attemptStatus, resp *upstream.Response) string {
	text := ""
	if resp.Reused && status != attemptDone {
		text = " on a reused connection"
	}
	if resp.Skipped > 0 {
		text += " after " + strconv.Itoa(resp.Skipped) + " responses to other requests"
	}
	return text
}

// attemptTimeoutFactor is the multiple of the route's objective after which an
// attempt of an idempotent request is abandoned in favor of another endpoint.
const attemptTimeoutFactor = 2

// newAttemptContext limits the time of one attempt if another one may follow it and the others
// that are under way.
func (q *request) newAttemptContext(ctx context.Context, others int) (context.Context, context.CancelFunc) {
	if q.route.Kind == catalog.Idempotent && q.possibleRuns+others+1 < q.route.MaxAttempts && q.route.Objective > 0 {
		return context.WithTimeout(ctx, attemptTimeoutFactor*q.route.Objective)
	}
	return context.WithCancel(ctx)
}

// newUpstreamRequest returns the request for the chosen endpoint, with the remaining
// time and the event after which a stream is resumed.
func (q *request) newUpstreamRequest(c *placement.Choice, s *streamState, now time.Time) *upstream.Request {
	meta := AttemptMetadata{Timeout: q.deadline.Sub(now), Endpoint: c.ID, Priority: -1, ResumeAfter: s.lastEventID}
	if q.workspace != nil {
		meta.Workspace = q.workspace.Name
	}
	if q.envelope.Metered {
		meta.Priority = q.priority()
	}
	id := q.envelope.ID
	return &upstream.Request{
		ID: id, Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host, Body: q.body, Domain: c.Domain,
		Header:        q.g.opts.Codec.EncodeHeader(q.r.Header, meta),
		IsOwnResponse: func(h http.Header, reused bool) bool { return q.g.opts.Codec.IsResponseTo(h, id, reused) },
	}
}

// priority returns the priority of the workspace, or else of the route.
func (q *request) priority() int {
	if q.workspace != nil && q.workspace.Priority != nil {
		return *q.workspace.Priority
	}
	return q.route.Priority
}

// handleSendError evaluates an attempt that ended without a response header.
func (q *request) handleSendError(err error) (attemptStatus, placement.Outcome, string) {
	if errors.Is(err, upstream.ErrWithdrawn) {
		return attemptNotSent, placement.Inconclusive, "withdrawn"
	}
	if isNotSent(err) {
		return attemptNotSent, placement.Unreachable, "unreached"
	}
	q.possibleRuns++
	q.mayHaveRun = true
	return attemptLost, placement.Failed, "no answer: " + err.Error()
}

// handleResponse evaluates a response whose header has arrived, and forwards it
// unless another attempt may replace it.
func (q *request) handleResponse(ctx context.Context, c *placement.Choice, s *streamState, resp *upstream.Response) (attemptStatus, placement.Outcome, string, *bufferedResponse) {
	if rejected, moved := q.g.opts.Codec.IsRejected(resp.Status, resp.Header); rejected {
		q.wasRejected = true
		resp.MarkRefused()
		if !resp.EndsWithConnection {
			_ = resp.Discard() // makes the connection reusable, or fails and has it closed
		}
		if moved {
			q.g.opts.Pool.MarkMoved(c.ID, time.Now())
			return attemptRejected, placement.Inconclusive, "moved", nil
		}
		return attemptRejected, placement.Full, "rejected " + strconv.Itoa(resp.Status), nil
	}
	q.possibleRuns++
	q.mayHaveRun = true
	success := resp.Status >= 200 && resp.Status < 300
	if resp.HasContentEncoding() || success && !q.g.opts.Codec.IsGenuine(resp.Header) {
		return attemptLost, placement.Failed, "spoiled " + strconv.Itoa(resp.Status), nil
	}
	if !q.route.IsRepeatable() && q.g.opts.Codec.MeansNotRun(resp.Status) {
		return attemptLost, placement.Failed, "unclear " + strconv.Itoa(resp.Status), nil // the endpoint may have run it
	}
	canContinue := !s.started || resp.Status == q.status
	if success && canContinue && q.route.Kind == catalog.Stream && isEventStream(resp.Header) {
		return q.forwardStream(c, s, resp)
	}
	body, err := resp.ReadAll(maxBufferedResponseBytes)
	if errors.Is(err, upstream.ErrTooLarge) && !s.started {
		c.RecordFirstByte(time.Now())
		return q.forwardLargeResponse(resp, body)
	}
	if err == nil && success && len(body) == 0 && resp.EndsWithConnection {
		err = errEmptyBody
	}
	if err != nil {
		q.interruptedBy = err
		return attemptLost, placement.Failed, "broke off: " + err.Error(), nil
	}
	now := time.Now()
	c.RecordFirstByte(now)
	if success {
		q.recordSurvival(now)
	}
	buffered := &bufferedResponse{status: resp.Status, header: resp.Header, body: body}
	result := "answered " + strconv.Itoa(resp.Status)
	if resp.Status >= 500 {
		buffered.memory = resp.Memory()
		resp.KeepMemory()
		return attemptFailed, placement.Failed, result, buffered
	}
	if s.started {
		return attemptBroken, placement.Served, result, nil // a response of another kind cannot continue a stream
	}
	q.writeResponse(buffered)
	return attemptDone, placement.Served, result, nil
}

// isEventStream reports whether a body consists of events, which it does unless it has
// another content type.
func isEventStream(header http.Header) bool {
	contentType, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return contentType == "" || strings.EqualFold(strings.TrimSpace(contentType), "text/event-stream")
}

// writeResponse sends a buffered response of an endpoint to the caller.
func (q *request) writeResponse(resp *bufferedResponse) {
	q.status = resp.status
	if q.status >= 500 {
		q.err = failure.New(failure.EndpointFailed, "see the response of the endpoint", "the endpoint responded with status %d", resp.status).WithOutcome(failure.Answered)
	}
	q.writeHeader(resp.status, resp.header, len(resp.body))
	_, _ = q.w.Write(resp.body) // fails only if the caller has disconnected
	q.w.Complete()
}

// forwardLargeResponse forwards a response that was too large to be buffered as it
// arrives. head is the part of the body that was already read. If the response
// is interrupted, the one to the caller is not completed.
func (q *request) forwardLargeResponse(resp *upstream.Response, head []byte) (attemptStatus, placement.Outcome, string, *bufferedResponse) {
	q.status = resp.Status
	q.writeHeader(resp.Status, resp.Header, int(resp.Length))
	_, err := q.w.Write(head)
	resp.Memory().Free(head)
	if err == nil {
		_, err = io.CopyBuffer(struct{ io.Writer }{q.w}, resp, make([]byte, copyBufferBytes))
	}
	if err != nil {
		q.err = failure.New(failure.Truncated, "repeat the request if it may run twice", "the response was interrupted: %v", err)
		return attemptDone, placement.Failed, "broke off: " + err.Error(), nil
	}
	q.w.Complete()
	return attemptDone, placement.Served, "answered " + strconv.Itoa(resp.Status), nil
}

// writeHeader sends the status and header of an endpoint's response to the caller.
// length is the length of the body in bytes, negative if it is not known.
func (q *request) writeHeader(status int, header http.Header, length int) {
	if q.cancelRival != nil {
		q.cancelRival() // before a caller that reads slowly holds this answer up
	}
	out := q.w.Header()
	for name, values := range q.g.opts.Codec.FilterResponseHeader(header) {
		out[name] = values
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.Itoa(length))
	}
	q.w.WriteHeader(status)
}

// forwardStream forwards the events of a stream as they arrive and skips those that
// the caller already has.
func (q *request) forwardStream(c *placement.Choice, s *streamState, resp *upstream.Response) (attemptStatus, placement.Outcome, string, *bufferedResponse) {
	events := newEventReader(resp, resp.Memory())
	s.isResuming = s.hasLastNumber
	control := http.NewResponseController(q.w)
	survived, recorded := false, false
	for {
		batch, err := events.next()
		if len(batch) > 0 {
			now := time.Now()
			c.RecordFirstByte(now)
			if s.firstEvent.IsZero() && hasFields(batch) {
				s.firstEvent = now
			}
			if !survived && !s.firstEvent.IsZero() && now.Sub(s.firstEvent) > crashDelay {
				survived = true
				q.recordSurvival(now)
			}
			out, sequenceErr := s.skipDelivered(batch)
			if !recorded && hasFields(out.bytes) {
				recorded = true
				q.recordOrigin(c.Endpoint, now)
			}
			if len(out.bytes) > 0 {
				if !s.started {
					s.started = true
					q.status = resp.Status
					q.writeHeader(resp.Status, resp.Header, -1)
				}
				q.deliveredEvents += out.count
				if _, werr := q.w.Write(out.bytes); werr != nil {
					return attemptBroken, placement.Inconclusive, "caller left", nil
				}
				if ferr := control.Flush(); ferr != nil {
					return attemptBroken, placement.Inconclusive, "caller left", nil
				}
			}
			if sequenceErr != nil {
				return attemptBroken, placement.Failed, sequenceErr.Error(), nil
			}
		}
		if err == io.EOF && resp.EndsWithConnection && s.firstEvent.IsZero() {
			err = errEmptyBody
		}
		switch {
		case err == io.EOF:
			if !s.started {
				s.started = true
				q.status = resp.Status
				q.writeHeader(resp.Status, resp.Header, 0)
			}
			if !s.firstEvent.IsZero() {
				q.recordSurvival(time.Now())
			}
			q.w.Complete()
			return attemptDone, placement.Served, "streamed" + streamEnd(resp, events), nil
		case err != nil && !s.started:
			q.interruptedBy = err
			return attemptLost, placement.Failed, "broke off: " + err.Error() + streamEnd(resp, events), nil
		case err != nil:
			q.interruptedBy = err
			return attemptBroken, placement.Failed, "broke off: " + err.Error() + streamEnd(resp, events), nil
		}
	}
}

// streamEnd describes the end of a stream for the log if it was not the end of the
// framing after a complete event.
func streamEnd(resp *upstream.Response, events *eventReader) string {
	text := ""
	if resp.EndsWithConnection {
		text = ": body ends with the connection"
	}
	if n := events.incompleteBytes(); n > 0 {
		text += ": " + strconv.Itoa(n) + " bytes of an incomplete event"
	}
	return text
}
