package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/hedge"
	"github.com/clementinerack/clementinerack/pkg/placement"
	"github.com/clementinerack/clementinerack/pkg/upstream"
)

// mayGetSecondAttempt reports whether the request may get a second attempt while the first one
// has no answer. Streams and requests to engines may not: if the first attempt won, its engine
// would work on the request for long after a second one had begun.
func (q *request) mayGetSecondAttempt() bool {
	if q.route.Kind != catalog.Idempotent || q.envelope.Metered || q.reachedAttempts > 0 || q.possibleRuns+2 > q.route.MaxAttempts {
		return false
	}
	s := q.catalog.Service(q.service)
	return q.route.Objective > 0 && (s == nil || s.Engine == nil) && q.g.opts.SecondAttempts.Enabled(q.service)
}

// race runs an attempt and, if it is slow, a second one beside it. It handles the response whose
// head arrives first, and the other one if that does not serve the caller. The status is that of
// the attempt that ended last.
func (q *request) race(ctx context.Context, first *sending, s *streamState) (attemptStatus, *bufferedResponse) {
	target := hedge.Target{Route: q.route.Name, Service: q.service}
	decider := q.g.opts.SecondAttempts
	decider.RecordRequest(q.service)
	delay, denial := decider.Delay(target, q.route.Objective, first.start)
	go first.run(q.g.opts.Client)
	defer func() {
		if took, ok := first.answerTime(); ok && q.r.Context().Err() == nil {
			decider.RecordAnswer(target, took, time.Now())
		}
	}()

	var second *sending
	if denial == hedge.None && first.outlasts(delay) {
		second, denial = q.beginSecond(ctx, first, s)
	}
	if second == nil {
		<-first.done
		if denial != hedge.None && first.headAt.Sub(first.start) > delay {
			q.g.metrics.secondAttemptsDenied.WithLabelValues(string(denial)).Inc()
			q.secondAttempt = "denied: " + string(denial)
		}
		return q.finish(first, s)
	}
	go second.run(q.g.opts.Client)
	winner, rival := first, second
	select {
	case <-first.done:
	case <-second.done:
		winner, rival = second, first
	}
	q.cancelRival = rival.cancel
	status, errorResponse := q.finish(winner, s)
	q.cancelRival = nil
	if status == attemptDone {
		q.abandon(rival)
		q.recordSecondAttempt(winner == second, true)
		return status, errorResponse
	}
	<-rival.done
	status, rivalResponse := q.finish(rival, s)
	if rivalResponse != nil {
		errorResponse.free()
		errorResponse = rivalResponse
	}
	q.recordSecondAttempt(rival == second, status == attemptDone)
	return status, errorResponse
}

// outlasts waits until the attempt has a response or an error, or the delay has passed, and
// reports whether the delay has.
func (a *sending) outlasts(delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-a.done:
		return false
	case <-timer.C:
		return true
	}
}

// answerTime returns how long the answer to an attempt that was run took, or how long it had
// taken when the attempt was cancelled. It reports false for failures, which may be fast.
func (a *sending) answerTime() (time.Duration, bool) {
	answered := a.err == nil && a.resp.Status < http.StatusInternalServerError
	return a.headAt.Sub(a.start), answered || errors.Is(a.err, context.Canceled)
}

// beginSecond begins a second attempt beside the first one, unless it is denied.
func (q *request) beginSecond(ctx context.Context, first *sending, s *streamState) (*sending, hedge.Denial) {
	now := time.Now()
	if ctx.Err() != nil {
		return nil, hedge.Deadline
	}
	if denial := q.g.opts.SecondAttempts.Check(q.service, now); denial != hedge.None {
		return nil, denial
	}
	if q.g.opts.CrashGuard.Check(q.fingerprint, now) != nil || q.checkTraits(now) != nil {
		return nil, hedge.Crashes
	}
	q.excluded[first.choice.ID] = true
	choice, err := q.g.opts.Pool.Choose(q.newPlacementRequest(), now)
	if err != nil {
		return nil, hedge.NoEndpoint
	}
	if !q.g.opts.RetryBudget.AllowSecondAttempt(q.service, now) {
		choice.Done(placement.Inconclusive, now)
		return nil, hedge.RetryBudget
	}
	q.g.opts.SecondAttempts.Take(q.service)
	q.excluded[choice.ID] = true
	q.reachedAttempts++
	return q.newSending(ctx, choice, s, 1), hedge.None
}

// abandon ends an attempt whose response is no longer needed, by closing its connection. That is
// no fault of its endpoint.
func (q *request) abandon(a *sending) {
	a.cancel()
	<-a.done
	if a.resp != nil {
		a.resp.Close()
	}
	if a.resp != nil || !isNotSent(a.err) {
		q.possibleRuns++
	}
	q.g.opts.CrashGuard.RecordEnd(q.fingerprint, a.choice.ID)
	q.end(a, placement.Inconclusive, "cancelled"+a.notice, time.Now())
	q.g.metrics.observeAttempt("cancelled")
}

// recordSecondAttempt records how a second attempt ended: its response served the caller, or
// that to the first one did, or none did.
func (q *request) recordSecondAttempt(secondLast, served bool) {
	switch {
	case !served:
		q.secondAttempt = "failed"
	case secondLast:
		q.secondAttempt = "won"
	default:
		q.secondAttempt = "lost"
	}
	q.g.metrics.secondAttempts.WithLabelValues(q.secondAttempt).Inc()
}

// isNotSent reports whether err means that no byte of the request was sent.
func isNotSent(err error) bool {
	var sendErr *upstream.Error
	return errors.Is(err, upstream.ErrWithdrawn) || errors.As(err, &sendErr) && sendErr.Progress == upstream.NotSent
}
