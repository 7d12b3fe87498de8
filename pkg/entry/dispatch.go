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
	// maxAttempts bounds the endpoints that one request may try.
	maxAttempts = 3
	// downTime keeps new work from an endpoint that died until the next health
	// reports, which come about once a second, show its state.
	downTime = 2 * time.Second
	// attachedRecently is a little more than the interval at which attached
	// repeats call.
	attachedRecently = attachPoll + time.Second
)

// dispatch is the state of an admitted request at its dispatcher.
type dispatch struct {
	s *Server
	j *job
	e *entry
	// sending is true once the bytes of a request that is not repeatable may
	// leave; from then on its caller cannot cancel it.
	sending    atomic.Bool
	callerGone bool
	tries      int
	exclude    map[string]bool
	// ran is the latest attempt of which bytes may have left, or nil.
	ran *relay.Result
}

// dispatch sends an admitted request to endpoints and settles its end. It
// returns nil when the answer is whole.
func (s *Server) dispatch(ctx context.Context, j *job, e *entry) *failure.Error {
	d := &dispatch{s: s, j: j, e: e, exclude: map[string]bool{}}
	work, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.deadline)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) && !d.outlivesCaller() {
			cancel()
		}
	})
	defer stop()
	s.retries.RecordAttempt()
	err := d.end(d.attempts(work))
	e.answer.finish(err)
	return err
}

// outlivesCaller reports whether the work goes on when the caller leaves: its
// result is kept for a repeat, because it cannot be undone or is being read.
func (d *dispatch) outlivesCaller() bool {
	return d.sending.Load() || d.j.known && d.e.answer.attached(d.s.now().Add(-attachedRecently))
}

// attempts tries endpoints until one gives a whole answer or no other may be
// tried. An error means that no endpoint could be chosen.
func (d *dispatch) attempts(ctx context.Context) (relay.Result, error) {
	for {
		res, err := d.attempt(ctx)
		if err != nil {
			return res, err
		}
		if res.Outcome != relay.NotSent {
			d.ran = &res
		}
		if !d.mayRetry(ctx, res) {
			return res, nil
		}
		d.s.metrics.retries.WithLabelValues(d.j.service.Name).Inc()
	}
}

// mayRetry allows another endpoint only while nothing has reached the caller,
// and for a call that is not repeatable only when no byte can have left.
func (d *dispatch) mayRetry(ctx context.Context, res relay.Result) bool {
	safe := d.j.repeatable || res.Outcome == relay.NotSent
	return res.Outcome != relay.Complete && safe && !d.j.out.begun && res.EndpointAtFault &&
		d.tries < maxAttempts && ctx.Err() == nil &&
		d.s.opts.Quarantine.Check(d.j.fingerprint, d.s.now()) == nil && d.s.retries.AllowRetry(d.s.now())
}

func (d *dispatch) attempt(ctx context.Context) (relay.Result, error) {
	fp, tracker := d.j.fingerprint, d.s.opts.Quarantine
	slot, err := d.s.opts.Router.Acquire(ctx, routing.Request{
		Service: d.j.service.Name, Priority: d.j.priority, Affinity: d.j.affinity,
		Exclude: d.exclude, Isolate: tracker.Suspect(fp, d.s.now()), Deadline: d.j.deadline,
	})
	if err != nil {
		return relay.Result{}, err
	}
	ep, began := slot.Endpoint, d.s.now()
	d.tries++
	d.exclude[ep.ID] = true
	tracker.Started(fp, ep.ID, began)
	res := d.send(ctx, ep)
	now := d.s.now()
	if res.Outcome == relay.Unknown {
		tracker.Broken(fp, ep.ID, now)
	} else {
		tracker.Ended(fp, ep.ID) // the endpoint answered after it, or never got it
	}
	if res.EndpointDied {
		if notices := tracker.EndpointDied(ep.ID, res.Incarnation, now); len(notices) > 0 {
			d.s.opts.Notify(notices)
		}
		d.s.opts.Router.MarkDown(ep.ID, now.Add(downTime))
	}
	slot.Release(routing.Result{Duration: now.Sub(began), Failed: res.Outcome != relay.Complete})
	return res, nil
}

func (d *dispatch) send(ctx context.Context, ep config.Endpoint) relay.Result {
	if d.j.model() {
		return d.sendModel(ctx, ep)
	}
	return d.sendApp(ctx, ep)
}

// end settles the request and returns what its caller is told.
func (d *dispatch) end(res relay.Result, err error) *failure.Error {
	told := res.Err
	if err != nil {
		told = failure.From(err)
	}
	if res.Outcome != relay.Complete && d.ran == nil {
		return d.s.settleNotRun(d.j, d.e, told)
	}
	if res.Outcome != relay.Complete {
		res = *d.ran // an earlier attempt may have run although the last one was not sent
		told = res.Err
	}
	switch res.Outcome {
	case relay.Complete:
		d.s.settle(d.e, ledger.EndComplete, d.charge(res), d.kept())
		return nil
	case relay.Partial:
		d.s.settle(d.e, ledger.EndPartial, d.charge(res), nil)
	default:
		d.s.settle(d.e, ledger.EndUnknown, 0, nil)
	}
	return told.WithOutcome(failure.Unknown)
}

func (d *dispatch) charge(res relay.Result) ledger.Tokens {
	if !d.j.model() {
		return d.j.amount
	}
	cost := res.Usage.Total()
	if cost > d.j.amount {
		d.s.metrics.overReported.WithLabelValues(d.j.service.Name).Inc()
	}
	return cost
}

func (d *dispatch) kept() *ledger.StoredAnswer {
	if !d.j.known {
		return nil
	}
	return d.e.answer.stored()
}
