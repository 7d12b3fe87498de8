package shard

import (
	"context"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/grant"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

const (
	// grantRounds bounds the read-modify-swap rounds of one call for rights.
	grantRounds = 8
	// maxAsks bounds the calls to the store that one request waits for.
	maxAsks = 5
	// recallTimeout bounds the wait for the owners of other domains.
	recallTimeout = 500 * time.Millisecond
	// reviewBatch bounds the budgets that one review of a shard may change, so
	// that a review is no burst of calls to the store.
	reviewBatch = 20
	// refillPause is the least time between two refills of a budget.
	refillPause = 20 * time.Second
)

func (r *replica) demandOf(b ledger.BudgetKey) *demand {
	d := r.demand[b]
	if d == nil {
		d = &demand{}
		r.demand[b] = d
	}
	return d
}

func (r *replica) viewOf(b ledger.BudgetKey) grant.View {
	d := r.demandOf(b)
	return grant.View{Unassigned: d.unassigned, Available: r.state.Right(b).Available(), Rate: d.rate.PerSecond(r.m.now())}
}

// askFor asks the store for rights that cover need, and runs then on the control
// goroutine when it knows the result. It returns false, and does not run then,
// when the limit for unknown and empty budgets forbids the call.
func (r *replica) askFor(b ledger.BudgetKey, need ledger.Tokens, then func()) bool {
	d := r.demandOf(b)
	if !d.busy && r.m.now().Before(d.emptyUntil) {
		then()
		return true
	}
	if !d.busy && !r.mayAsk(b.Workspace, d) {
		r.m.metrics.asksLimited.Inc()
		return false
	}
	if then != nil {
		d.waiting = append(d.waiting, then)
	}
	d.need += need
	if !d.busy {
		r.startJob(b, d)
	}
	return true
}

func (r *replica) startJob(b ledger.BudgetKey, d *demand) {
	d.busy, d.askedAt = true, r.m.now()
	need := d.need
	d.need = 0
	d.served, d.waiting = d.waiting, nil
	j := &grantJob{r: r, epoch: r.epoch, budget: b, need: need}
	r.m.background(r.m.opts.Timing.GrantTimeout, func(ctx context.Context) {
		err := j.run(ctx)
		r.m.post(func() {
			if d.empty = j.unmet; j.unmet {
				d.emptyUntil = r.m.now().Add(r.m.opts.Policy().ExhaustedTTL)
			}
			r.jobDone(b, d, err)
		})
	})
}

func (r *replica) jobDone(b ledger.BudgetKey, d *demand, err error) {
	d.busy, d.fault = false, err
	r.endAsk(b.Workspace, d, err)
	if err != nil {
		r.m.metrics.grantErrors.WithLabelValues(string(failure.KindOf(err))).Inc()
	}
	// Those that came during the call are not covered by what it asked for.
	later := d.waiting
	d.waiting = nil
	d.wake()
	d.waiting = append(later, d.waiting...)
	if err != nil || d.empty || r.role != roleOwner {
		d.need = 0
		d.wake()
	} else if len(d.waiting) > 0 && !d.busy {
		r.startJob(b, d)
	}
}

// notMet names the reason for an exhausted reply when the store could not be
// asked: the caller's budget may well have room.
func (d *demand) notMet(reply ledger.ReserveReply) ledger.ReserveReply {
	switch kind := failure.KindOf(d.fault); kind {
	case "", failure.NotOwner, failure.Fenced:
		return reply
	case failure.Format:
		reply.Kind = failure.Format
	default:
		reply.Kind = failure.Unavailable
	}
	reply.Reason = "the budget could not be asked for more rights: " + failure.From(d.fault).Message
	return reply
}

// returnRights gives back part of the rights on a budget. amount is asked on the
// control goroutine; done gets what was returned.
func (r *replica) returnRights(b ledger.BudgetKey, amount func(ledger.Right) ledger.Tokens, done func(ledger.Tokens)) {
	d := r.demandOf(b)
	if d.busy {
		if done != nil {
			done(0)
		}
		return
	}
	d.busy, d.askedAt = true, r.m.now()
	j := &grantJob{r: r, epoch: r.epoch, budget: b, giveBack: amount}
	r.m.background(r.m.opts.Timing.GrantTimeout, func(ctx context.Context) {
		err := j.run(ctx)
		r.m.post(func() {
			r.jobDone(b, d, err)
			if done != nil {
				done(j.returned)
			}
		})
	})
}

// reviewRights refills rights before they run out and returns idle ones.
func (r *replica) reviewRights(now time.Time) {
	r.forgetUnknown(now)
	r.askStanding(now)
	policy := r.m.opts.Policy()
	changed := 0
	for _, b := range r.state.Budgets() {
		if changed >= reviewBatch {
			return
		}
		d, view := r.demandOf(b), r.viewOf(b)
		if d.busy || now.Sub(d.askedAt) < refillPause {
			continue
		}
		switch {
		case policy.ShouldRefill(view):
			r.askFor(b, 0, nil)
			changed++
		case policy.ReturnAmount(view) > 0:
			r.returnRights(b, func(ledger.Right) ledger.Tokens { return policy.ReturnAmount(r.viewOf(b)) }, nil)
			changed++
		}
	}
}

// standingInterval is the time between two looks for budgets without any right.
const standingInterval = time.Minute

// askStanding asks for a standing share of budgets that requests are expected to
// draw on, so that this domain can serve them when its first request comes while
// the store is out of reach.
func (r *replica) askStanding(now time.Time) {
	if r.m.opts.StandingBudgets == nil || now.Before(r.standingAt) {
		return
	}
	r.standingAt = now.Add(standingInterval)
	shards := r.m.opts.Shards()
	asked := 0
	for _, b := range r.m.opts.StandingBudgets() {
		if asked >= reviewBatch {
			r.standingAt = now // the rest at the next review
			return
		}
		if ledger.ShardOf(b, shards) != r.shard || r.state.Right(b).Granted > 0 || r.demandOf(b).busy {
			continue
		}
		if !r.askFor(b, 0, nil) {
			return // the limit for unknown budgets is used up
		}
		asked++
	}
}

// forgetUnknown drops what is kept about budgets without a record, so that
// made-up names do not fill the memory.
func (r *replica) forgetUnknown(now time.Time) {
	for b, d := range r.demand {
		if !d.busy && !d.known && len(d.waiting) == 0 && now.After(d.emptyUntil) && r.state.Right(b) == (ledger.Right{}) {
			delete(r.demand, b)
		}
	}
}

// recall returns idle rights because another domain has run out.
func (m *Manager) recall(ctx context.Context, req recallRequest) (recallReply, error) {
	return await(ctx, m, func(answer func(recallReply, error)) {
		r, err := m.owned(req.Shard)
		if err != nil {
			answer(recallReply{}, err)
			return
		}
		policy := m.opts.Policy()
		give := func(ledger.Right) ledger.Tokens { return policy.RecallAmount(r.viewOf(req.Budget)) }
		if give(r.state.Right(req.Budget)) <= 0 {
			answer(recallReply{}, nil)
			return
		}
		m.metrics.recalls.Inc()
		r.returnRights(req.Budget, give, func(n ledger.Tokens) { answer(recallReply{Returned: n}, nil) })
	})
}
