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
	settleTimeout         = 2 * time.Second // of one call
	initialSettleInterval = 20 * time.Millisecond
	maxSettleInterval     = 5 * time.Second // between calls; bounds how late an owner's return is noticed
	// maxPendingSettles bounds the settlements that wait during an outage. At 15
	// requests/s it covers 9 minutes. New requests are refused beyond it.
	maxPendingSettles = 8192
)

// settleResult is the state of a settlement according to its owner.
type settleResult int

const (
	settlePending    settleResult = iota
	settleConfirmed               // the owner recorded it
	settleStale                   // another attempt has replaced this one
	settleMayHaveRun              // the owner recorded it, but another attempt may have run
	settleNoRecord                // the owner has no record of the request
	settleAbandoned               // the owner rejected it permanently, or the instance stopped
)

// settlement is the report of an attempt's end, which is repeated until the
// owner answers.
type settlement struct {
	req    ledger.SettleRequest
	done   chan struct{}
	result settleResult // valid once done is closed
}

// settleQueue sends settlements in the background and retries them.
type settleQueue struct {
	ledger  Ledger
	metrics *metrics
	log     logrus.FieldLogger
	ctx     context.Context
	stop    context.CancelFunc
	wg      sync.WaitGroup

	mu      sync.Mutex
	pending int
	idle    chan struct{} // closed when nothing is pending; nil without a waiter
	closed  bool
}

func newSettleQueue(ledger Ledger, m *metrics, log logrus.FieldLogger) *settleQueue {
	ctx, stop := context.WithCancel(context.Background())
	return &settleQueue{ledger: ledger, metrics: m, log: log, ctx: ctx, stop: stop}
}

// isFull reports whether new requests must be refused because too many
// settlements are pending.
func (q *settleQueue) isFull() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pending >= maxPendingSettles
}

// submit sends req in the background until the owner answers, then calls
// onResult, which may be nil.
func (q *settleQueue) submit(req ledger.SettleRequest, onResult func(settleResult)) *settlement {
	s := &settlement{req: req, done: make(chan struct{})}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		s.result = settleAbandoned
		close(s.done)
		return s
	}
	q.pending++
	q.metrics.pending.Inc()
	q.wg.Add(1)
	go q.run(s, onResult)
	return s
}

func (q *settleQueue) run(s *settlement, onResult func(settleResult)) {
	defer q.wg.Done()
	result := q.settleWithRetry(s.req)
	if onResult != nil {
		onResult(result)
	}
	s.result = result
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

func (q *settleQueue) settleWithRetry(req ledger.SettleRequest) settleResult {
	wait := newBackoff(initialSettleInterval, maxSettleInterval)
	for {
		result := q.settleOnce(req)
		if result != settlePending {
			return result
		}
		if sleep(q.ctx, wait.NextBackOff()) != nil {
			q.metrics.dropped.Inc()
			return settleAbandoned
		}
	}
}

func (q *settleQueue) settleOnce(req ledger.SettleRequest) settleResult {
	ctx, cancel := context.WithTimeout(q.ctx, settleTimeout)
	defer cancel()
	reply, err := q.ledger.Settle(ctx, req)
	switch {
	case err == nil && reply.Stale:
		return settleStale
	case err == nil && reply.MayHaveRun:
		return settleMayHaveRun
	case err == nil:
		return settleConfirmed
	case failure.Is(err, failure.NotFound):
		return settleNoRecord
	case failure.Is(err, failure.Invalid), failure.Is(err, failure.Format):
		q.metrics.dropped.Inc()
		q.log.WithError(err).WithField("request", req.ID).Error("owner refused a settlement")
		return settleAbandoned
	}
	return settlePending
}

// waitIdle waits until no settlement is pending. It returns the error of ctx if
// ctx ends first.
func (q *settleQueue) waitIdle(ctx context.Context) error {
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

func newBackoff(initialInterval, maxInterval time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialInterval, maxInterval
	return b
}

var errInterrupted = errors.New("the context ended during the wait")

// sleep waits for d. It returns errInterrupted if ctx ends first.
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
