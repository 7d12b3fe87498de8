package shard

import (
	"context"
	"time"

	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// fenceResult is the result of fencing a pending epoch.
type fenceResult struct {
	state *ledger.State // nil if the epoch is lost
}

// fenceRetryDelay is the delay between two rounds of requests to the old replicas.
const fenceRetryDelay = 500 * time.Millisecond

// startFencing fences the pending epoch and fetches its state from the old owner or the
// old backup. This instance's own replica is tried first.
func (r *replica) startFencing(e Entry) {
	if r.fenceInFlight || r.fenceResult != nil {
		return
	}
	m, pending := r.m, *e.Pending
	if state := r.fenceLocal(pending); state != nil {
		r.fenceResult = &fenceResult{state}
		return
	}
	r.fenceInFlight = true
	claimed := r.claimedEpoch
	m.background(transferTimeout, func(ctx context.Context) {
		state := m.fetchPendingState(ctx, r.shard, pending)
		m.post(func() { r.finishFencing(claimed, state) })
	})
}

// finishFencing stores the result of a fencing, unless the replica has claimed another
// epoch since.
func (r *replica) finishFencing(claimed uint64, state *ledger.State) {
	if r.claimedEpoch != claimed || !r.fenceInFlight {
		return
	}
	r.fenceInFlight = false
	r.fenceResult = &fenceResult{state}
	if state == nil {
		r.m.metrics.lostEpochs.Inc()
		r.m.opts.Log.WithField("shard", r.id().String()).Warn("epoch lost: no replica has its state; its rights count as spent until an operator reclaims them")
	}
	r.m.assignShards()
}

// fenceLocal fences the pending epoch at this instance's own replica and returns its
// state, or nil if it has none.
func (r *replica) fenceLocal(p Pending) *ledger.State {
	self := r.m.opts.Self
	if !isSameIncarnation(p.Owner, self) && !isSameIncarnation(p.Backup, self) {
		return nil
	}
	reply, err := r.m.onFence(fenceRequest{Shard: r.shard, Epoch: p.Epoch, Target: self.Incarnation})
	if err != nil || !reply.HasState {
		return nil
	}
	return r.state
}

// fetchPendingState returns the state of an epoch, or nil if the epoch is lost: every
// replica answered that it has no state, or gave no answer within FenceTimeout.
func (m *Manager) fetchPendingState(ctx context.Context, shard int, p Pending) *ledger.State {
	var targets []peer.Identity
	for _, id := range []peer.Identity{p.Owner, p.Backup} {
		if isAssigned(id) && !isSameIncarnation(id, m.opts.Self) {
			targets = append(targets, id)
		}
	}
	deadline := time.Now().Add(m.opts.Timing.FenceTimeout)
	for len(targets) > 0 && ctx.Err() == nil && time.Now().Before(deadline) {
		state, unanswered := m.fetchFromReplicas(ctx, shard, p.Epoch, targets)
		if state != nil {
			return state
		}
		if targets = unanswered; len(targets) > 0 {
			wait.Sleep(ctx, fenceRetryDelay)
		}
	}
	return nil
}

// fetchFromReplicas fetches the state from all targets in parallel. It returns the first
// state that arrives, or the targets that did not answer. A state that this release
// cannot decode counts as no answer.
func (m *Manager) fetchFromReplicas(ctx context.Context, shard int, epoch uint64, targets []peer.Identity) (*ledger.State, []peer.Identity) {
	type answer struct {
		from  peer.Identity
		state *ledger.State
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, len(targets))
	for _, to := range targets {
		go func() {
			state, err := m.fetchState(ctx, shard, epoch, to)
			answers <- answer{to, state, err}
		}()
	}
	var unanswered []peer.Identity
	for range targets {
		a := <-answers
		if a.state != nil {
			return a.state, nil
		}
		if a.err != nil {
			unanswered = append(unanswered, a.from)
		}
	}
	return nil, unanswered
}

// finishTakeover clears the pending epoch in the entry once its state, or its loss, is
// known. It reports whether it changed the entry.
func (r *replica) finishTakeover(e *Entry) bool {
	if r.claimedEpoch != e.Epoch {
		return false
	}
	r.startFencing(*e)
	if r.fenceResult == nil {
		return false
	}
	if r.fenceResult.state == nil {
		e.LostThrough = e.Pending.Epoch
	}
	e.Pending = nil
	return true
}
