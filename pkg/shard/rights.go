package shard

import (
	"context"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/grant"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

const (
	// maxGrantRounds bounds the rounds of read and compare-and-swap in one grant job.
	maxGrantRounds = 8
	// maxStoreCallsPerRequest bounds the calls to the store that one request waits for.
	maxStoreCallsPerRequest = 5
	// recallTimeout bounds the wait for the owners in other domains.
	recallTimeout = 500 * time.Millisecond
	// maxBudgetsPerReview bounds the budgets that one review of a shard may change, so
	// that a review does not cause a burst of calls to the store.
	maxBudgetsPerReview = 20
	// minRefillInterval is the minimum time between a call to the store for a budget
	// and its next refill or return.
	minRefillInterval = 20 * time.Second
)

// demandFor returns the demand on a budget and creates it if necessary.
func (r *replica) demandFor(b ledger.BudgetKey) *demand {
	d := r.demands[b]
	if d == nil {
		d = &demand{}
		r.demands[b] = d
	}
	return d
}

// grantView returns what the grant policy needs to know about a budget.
func (r *replica) grantView(b ledger.BudgetKey) grant.View {
	d := r.demandFor(b)
	return grant.View{Unassigned: d.unassigned, Available: r.state.Right(b).Available(), Rate: d.rate.PerSecond(r.m.now())}
}

// requestRights requests rights that cover need from the store, and runs done, if it is
// not nil, on the control goroutine when the result is known. It returns false, and does not run done,
// if the limit for unknown and exhausted budgets does not allow the call.
func (r *replica) requestRights(b ledger.BudgetKey, need ledger.Tokens, done func()) bool {
	d := r.demandFor(b)
	if !d.callInFlight && r.m.now().Before(d.exhaustedUntil) {
		if done != nil {
			done()
		}
		return true
	}
	if !d.callInFlight && !r.tryStartStoreCall(b.Workspace, d) {
		r.m.metrics.storeCallsLimited.Inc()
		return false
	}
	if done != nil {
		d.nextWaiters = append(d.nextWaiters, done)
	}
	d.need += need
	if !d.callInFlight {
		r.startGrantJob(b, d)
	}
	return true
}

// startGrantJob starts a job that requests rights for all waiting requests. No other job
// of the budget may be in flight.
func (r *replica) startGrantJob(b ledger.BudgetKey, d *demand) {
	d.callInFlight, d.lastCallAt = true, r.m.now()
	need := d.need
	d.need = 0
	d.currentWaiters, d.nextWaiters = d.nextWaiters, nil
	j := &grantJob{r: r, epoch: r.epoch, budget: b, need: need}
	r.m.background(r.m.opts.Timing.GrantTimeout, func(ctx context.Context) {
		err := j.run(ctx)
		r.m.post(func() {
			if d.exhausted = j.exhausted; j.exhausted {
				d.exhaustedUntil = r.m.now().Add(r.m.opts.Policy().ExhaustedTTL)
			}
			r.finishGrantJob(b, d, err)
		})
	})
}

// finishGrantJob records the result of a grant job and runs its waiters. It starts another job
// for requests that arrived in the meantime.
func (r *replica) finishGrantJob(b ledger.BudgetKey, d *demand, err error) {
	d.callInFlight, d.lastErr = false, err
	r.finishStoreCall(b.Workspace, d, err)
	if err != nil {
		r.m.metrics.grantErrors.WithLabelValues(string(failure.KindOf(err))).Inc()
	}
	// The job requested no rights for requests that arrived while it was in flight.
	uncovered := d.nextWaiters
	d.nextWaiters = nil
	d.runWaiters()
	d.nextWaiters = append(uncovered, d.nextWaiters...)
	if err != nil || d.exhausted || r.role != roleOwner {
		d.need = 0
		d.runWaiters()
	} else if len(d.nextWaiters) > 0 && !d.callInFlight {
		r.startGrantJob(b, d)
	}
}

// explainExhausted adds a kind and a reason to an exhausted reply if the last call for
// rights failed: the budget may have unassigned rights then.
func (d *demand) explainExhausted(reply ledger.ReserveReply) ledger.ReserveReply {
	switch kind := failure.KindOf(d.lastErr); kind {
	case "", failure.NotOwner, failure.Fenced:
		return reply
	case failure.Format:
		reply.Kind = failure.Format
	default:
		reply.Kind = failure.Unavailable
	}
	reply.Reason = "more rights on the budget could not be requested: " + failure.From(d.lastErr).Message
	return reply
}

// returnRights returns part of the rights on a budget to the store. amount runs on the
// control goroutine and computes how much; done, if not nil, receives what was returned.
func (r *replica) returnRights(b ledger.BudgetKey, amount func(ledger.Right) ledger.Tokens, done func(ledger.Tokens)) {
	d := r.demandFor(b)
	if d.callInFlight {
		if done != nil {
			done(0)
		}
		return
	}
	d.callInFlight, d.lastCallAt = true, r.m.now()
	j := &grantJob{r: r, epoch: r.epoch, budget: b, returnAmount: amount}
	r.m.background(r.m.opts.Timing.GrantTimeout, func(ctx context.Context) {
		err := j.run(ctx)
		r.m.post(func() {
			r.finishGrantJob(b, d, err)
			if done != nil {
				done(j.returned)
			}
		})
	})
}

// reviewRights refills rights before they run out and returns idle ones.
func (r *replica) reviewRights(now time.Time) {
	r.forgetUnknownBudgets(now)
	r.requestStandingShares(now)
	policy := r.m.opts.Policy()
	changed := 0
	for _, b := range r.state.Budgets() {
		if changed >= maxBudgetsPerReview {
			return
		}
		d, view := r.demandFor(b), r.grantView(b)
		if d.callInFlight || now.Sub(d.lastCallAt) < minRefillInterval {
			continue
		}
		switch {
		case policy.ShouldRefill(view):
			r.requestRights(b, 0, nil)
			changed++
		case policy.ReturnAmount(view) > 0:
			r.returnRights(b, func(ledger.Right) ledger.Tokens { return policy.ReturnAmount(r.grantView(b)) }, nil)
			changed++
		}
	}
}

// standingCheckInterval is the time between two checks for standing budgets without
// rights.
const standingCheckInterval = time.Minute

// requestStandingShares requests a standing share of each budget that requests are
// expected to draw on, so that this domain can serve its first request for the budget
// even while the store is unreachable.
func (r *replica) requestStandingShares(now time.Time) {
	if r.m.opts.StandingBudgets == nil || now.Before(r.nextStandingCheckAt) {
		return
	}
	r.nextStandingCheckAt = now.Add(standingCheckInterval)
	shards := r.m.opts.Shards()
	requested := 0
	for _, b := range r.m.opts.StandingBudgets() {
		if requested >= maxBudgetsPerReview {
			r.nextStandingCheckAt = now // continue at the next review
			return
		}
		if ledger.ShardOf(b, shards) != r.shard || r.state.Right(b).Granted > 0 || r.demandFor(b).callInFlight {
			continue
		}
		if !r.requestRights(b, 0, nil) {
			return // the limit for unknown budgets is used up
		}
		requested++
	}
}

// forgetUnknownBudgets drops the demand of budgets without a record, so that requests
// with made-up budget names do not fill the memory.
func (r *replica) forgetUnknownBudgets(now time.Time) {
	for b, d := range r.demands {
		if !d.callInFlight && !d.hasRecord && len(d.nextWaiters) == 0 && now.After(d.exhaustedUntil) && r.state.Right(b) == (ledger.Right{}) {
			delete(r.demands, b)
		}
	}
}

// recall returns idle rights on a budget to the store at the request of another domain
// that has run out of them.
func (m *Manager) recall(ctx context.Context, req recallRequest) (recallReply, error) {
	return await(ctx, m, func(answer func(recallReply, error)) {
		r, err := m.ownedReplica(req.Shard)
		if err != nil {
			answer(recallReply{}, err)
			return
		}
		policy := m.opts.Policy()
		amount := func(ledger.Right) ledger.Tokens { return policy.RecallAmount(r.grantView(req.Budget)) }
		if amount(r.state.Right(req.Budget)) <= 0 {
			answer(recallReply{}, nil)
			return
		}
		m.metrics.recalls.Inc()
		r.returnRights(req.Budget, amount, func(n ledger.Tokens) { answer(recallReply{Returned: n}, nil) })
	})
}
