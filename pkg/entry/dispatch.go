package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/relay"
	"github.com/clementinerack/clementinerack/pkg/routing"
)

const (
	// maxAttempts bounds the endpoints that are tried for one request.
	maxAttempts = 3
	// markDownInterval is how long an endpoint that died gets no new work. By its
	// end the next health reports, which come about once a second, show the state
	// of the endpoint.
	markDownInterval = 2 * time.Second
	// attachedWindow is how long after its last call a repeat counts as attached.
	// It is longer than the interval between the calls of an attached repeat.
	attachedWindow = attachPollTimeout + time.Second
)

// dispatch is the state of an admitted request at its dispatcher.
type dispatch struct {
	server *Server
	job    *job
	entry  *requestEntry
	// maySend is true once bytes of a request that is not repeatable may be
	// written. From then on its caller cannot cancel it.
	maySend            atomic.Bool
	callerDisconnected bool // the caller has disconnected, but the attempt goes on
	attemptCount       int
	endpointID         string          // of the latest attempt
	exclude            map[string]bool // ids of the endpoints that were tried
	// lastSent is the result of the latest attempt of which bytes may have been
	// written, or nil.
	lastSent *relay.Result
}

// dispatch sends an admitted request to endpoints and settles it. It returns nil
// when the answer is complete.
func (s *Server) dispatch(ctx context.Context, j *job, e *requestEntry) *failure.Error {
	d := &dispatch{server: s, job: j, entry: e, exclude: map[string]bool{}}
	workCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.deadline)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) && !d.shouldOutliveCaller() {
			cancel()
		}
	})
	defer stop()
	s.retries.RecordAttempt()
	err := d.finish(d.runAttempts(workCtx))
	e.answer.finish(err)
	return err
}

// shouldOutliveCaller reports whether the attempt goes on after the caller
// disconnects. It does if the call cannot be undone, so that a repeat gets its
// result, or if a repeat is reading the answer.
func (d *dispatch) shouldOutliveCaller() bool {
	return d.maySend.Load() || d.job.callerKnowsID && d.entry.answer.hasReaderSince(d.server.now().Add(-attachedWindow))
}

// runAttempts tries endpoints until one gives a complete answer or no further
// attempt is allowed. An error means that no endpoint could be acquired.
func (d *dispatch) runAttempts(ctx context.Context) (relay.Result, error) {
	for {
		res, err := d.runAttempt(ctx)
		if err != nil {
			return res, err
		}
		if res.Outcome != relay.NotSent {
			d.lastSent = &res
		}
		if !d.shouldRetry(ctx, res) {
			return res, nil
		}
		d.server.metrics.retries.WithLabelValues(d.job.service.Name).Inc()
	}
}

// shouldRetry reports whether another endpoint may be tried: only while nothing
// has been sent to the caller, and for a call that is not repeatable only if none
// of its bytes can have been written.
func (d *dispatch) shouldRetry(ctx context.Context, res relay.Result) bool {
	safe := d.job.repeatable || res.Outcome == relay.NotSent
	return res.Outcome != relay.Complete && safe && !d.job.responder.headerSent && res.EndpointAtFault &&
		d.attemptCount < maxAttempts && ctx.Err() == nil &&
		d.server.checkQuarantine(d.job) == nil && d.server.retries.AllowRetry(d.server.now())
}

func (d *dispatch) runAttempt(ctx context.Context) (relay.Result, error) {
	fingerprint, tracker := d.job.fingerprint, d.server.opts.Quarantine
	slot, err := d.server.opts.Router.Acquire(ctx, routing.Request{
		Service: d.job.service.Name, Priority: d.job.priority, Workspace: d.job.workspace.Name, Affinity: d.job.affinity,
		Exclude: d.exclude, Isolate: tracker.IsSuspect(fingerprint, d.server.now()), Deadline: d.job.deadline,
	})
	if err != nil {
		return relay.Result{}, err
	}
	endpoint, startedAt := slot.Endpoint, d.server.now()
	d.attemptCount++
	d.exclude[endpoint.ID] = true
	tracker.RecordStart(fingerprint, endpoint.ID, startedAt)
	tracker.RecordTraits(fingerprint, endpoint.ID, d.job.traits)
	res := d.send(ctx, endpoint)
	now := d.server.now()
	if res.Outcome == relay.Unknown {
		tracker.RecordBrokenConnection(fingerprint, endpoint.ID, now)
	} else {
		tracker.RecordEnd(fingerprint, endpoint.ID) // the endpoint still answered afterwards, or never received the request
	}
	if res.Outcome == relay.Complete {
		tracker.RecordSurvival(d.job.allTraits(), now)
	}
	if res.EndpointDied {
		if notices := tracker.RecordEndpointDeath(endpoint.ID, res.Incarnation, now); len(notices) > 0 {
			d.server.opts.Notify(notices)
		}
		d.server.opts.Router.MarkDown(endpoint.ID, now.Add(markDownInterval))
	}
	slot.Release(routing.Result{Duration: now.Sub(startedAt), Failed: res.Outcome != relay.Complete})
	return res, nil
}

func (d *dispatch) send(ctx context.Context, ep config.Endpoint) relay.Result {
	if d.job.isModel() {
		return d.sendModel(ctx, ep)
	}
	return d.sendApp(ctx, ep)
}

// finish settles the request and returns the error to report to its caller.
func (d *dispatch) finish(res relay.Result, err error) *failure.Error {
	callerErr := res.Err
	if err != nil {
		callerErr = failure.From(err)
	}
	if res.Outcome != relay.Complete && d.lastSent == nil {
		return d.server.settleNotRun(d.job, d.entry, callerErr)
	}
	if res.Outcome != relay.Complete {
		res = *d.lastSent // an earlier attempt may have run, although the last one was not sent
		callerErr = res.Err
	}
	switch res.Outcome {
	case relay.Complete:
		d.server.settle(d.entry, ledger.EndComplete, d.computeCharge(res), d.storedAnswer())
		return nil
	case relay.Partial:
		d.server.settle(d.entry, ledger.EndPartial, d.computeCharge(res), nil)
	default:
		d.server.settle(d.entry, ledger.EndUnknown, 0, nil)
	}
	return callerErr.WithOutcome(failure.Unknown)
}

// computeCharge returns the tokens to charge for a complete or partial attempt.
func (d *dispatch) computeCharge(res relay.Result) ledger.Tokens {
	if !d.job.isModel() {
		return d.job.amount
	}
	cost := res.Usage.Total()
	if cost > d.job.amount {
		d.server.metrics.overReported.WithLabelValues(d.job.service.Name).Inc()
	}
	return cost
}

func (d *dispatch) storedAnswer() *ledger.StoredAnswer {
	if !d.job.callerKnowsID {
		return nil
	}
	return d.entry.answer.storedAnswer()
}
