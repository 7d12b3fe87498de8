package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

const (
	settleTimeout = 2 * time.Second // of one call
	settleFirst   = 20 * time.Millisecond
	settleMost    = 5 * time.Second // between calls, so that an owner that returns is found soon
	// maxPendingSettles bounds the settlements of an outage: at 15 requests/s
	// it covers 9 minutes. New requests are refused beyond it.
	maxPendingSettles = 8192
)

// verdict is what the owner said about a settlement.
type verdict int

const (
	pending    verdict = iota
	confirmed          // recorded
	stale              // another attempt had replaced this one
	mayHaveRun         // recorded, but another attempt may have run
	norecord           // the owner has no record of the request
	abandoned          // refused for good, or the instance stopped
)

// settlement is a report that is repeated until its owner answers.
type settlement struct {
	req     ledger.SettleRequest
	done    chan struct{}
	verdict verdict // valid once done is closed
}

// settleQueue repeats settlements in the background.
type settleQueue struct {
	ledger  Ledger
	metrics *metrics
	log     logrus.FieldLogger
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu      sync.Mutex
	pending int
	idle    chan struct{} // closed when nothing is pending; nil while nobody waits
	closed  bool
}

func newSettleQueue(l Ledger, m *metrics, log logrus.FieldLogger) *settleQueue {
	ctx, stop := context.WithCancel(context.Background())
	return &settleQueue{ledger: l, metrics: m, log: log, ctx: ctx, stop: stop}
}

// full reports whether new requests must wait for the owners.
func (q *settleQueue) full() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pending >= maxPendingSettles
}

// submit repeats req until the owner answers, then calls after, which may be nil.
func (q *settleQueue) submit(req ledger.SettleRequest, after func(verdict)) *settlement {
	s := &settlement{req: req, done: make(chan struct{})}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		s.verdict = abandoned
		close(s.done)
		return s
	}
	q.pending++
	q.metrics.pending.Inc()
	q.wg.Add(1)
	go q.run(s, after)
	return s
}

func (q *settleQueue) run(s *settlement, after func(verdict)) {
	defer q.wg.Done()
	v := q.repeat(s.req)
	if after != nil {
		after(v)
	}
	s.verdict = v
	close(s.done)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending--
	q.metrics.pending.Dec()
	if q.pending == 0 && q.idle != nil {
		close(q.idle)
		q.idle = nil
	}
}

func (q *settleQueue) repeat(req ledger.SettleRequest) verdict {
	wait := newBackoff(settleFirst, settleMost)
	for {
		v := q.once(req)
		if v != pending {
			return v
		}
		if sleep(q.ctx, wait.NextBackOff()) != nil {
			q.metrics.dropped.Inc()
			return abandoned
		}
	}
}

func (q *settleQueue) once(req ledger.SettleRequest) verdict {
	ctx, cancel := context.WithTimeout(q.ctx, settleTimeout)
	defer cancel()
	reply, err := q.ledger.Settle(ctx, req)
	switch {
	case err == nil && reply.Stale:
		return stale
	case err == nil && reply.MayHaveRun:
		return mayHaveRun
	case err == nil:
		return confirmed
	case failure.Is(err, failure.NotFound):
		return norecord
	case failure.Is(err, failure.Invalid), failure.Is(err, failure.Format):
		q.metrics.dropped.Inc()
		q.log.WithError(err).WithField("request", req.ID).Error("owner refused a settlement")
		return abandoned
	}
	return pending
}

// wait returns when nothing is pending, or with the error of ctx.
func (q *settleQueue) wait(ctx context.Context) error {
	q.mu.Lock()
	if q.pending == 0 {
		q.mu.Unlock()
		return nil
	}
	if q.idle == nil {
		q.idle = make(chan struct{})
	}
	idle := q.idle
	q.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (q *settleQueue) close() {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	q.stop()
	q.wg.Wait()
}

func newBackoff(first, most time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = first, most
	return b
}

var errInterrupted = errors.New("interrupted while waiting")

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errInterrupted
	}
}
