package shard

import (
	"context"
	"time"

	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// fenceResult is what a takeover learned about the pending epoch: its state, or
// nil when the epoch is lost.
type fenceResult struct {
	state *ledger.State
}

// fenceRetry is the pause between two rounds of asking the old replicas.
const fenceRetry = 500 * time.Millisecond

// startFence asks the old owner and the old backup for the state of the pending
// epoch. This instance's own replica is asked first.
func (r *replica) startFence(e Entry) {
	if r.fencing || r.fenced != nil {
		return
	}
	m, pending := r.m, *e.Pending
	if state := r.fenceSelf(pending); state != nil {
		r.fenced = &fenceResult{state}
		return
	}
	r.fencing = true
	claimed := r.claimed
	m.background(transferLimit, func(ctx context.Context) {
		state := m.collect(ctx, r.shard, pending)
		m.post(func() { r.fenceDone(claimed, state) })
	})
}

func (r *replica) fenceDone(claimed uint64, state *ledger.State) {
	if r.claimed != claimed || !r.fencing {
		return
	}
	r.fencing = false
	r.fenced = &fenceResult{state}
	if state == nil {
		r.m.metrics.lostEpochs.Inc()
		r.m.opts.Log.WithField("shard", r.id().String()).Warn("epoch lost: no replica has its state; its rights count as spent until an operator reclaims them")
	}
	r.m.assign()
}

// fenceSelf returns the state that this instance holds of the pending epoch.
func (r *replica) fenceSelf(p Pending) *ledger.State {
	self := r.m.opts.Self
	if !same(p.Owner, self) && !same(p.Backup, self) {
		return nil
	}
	reply, err := r.m.onFence(fenceRequest{Shard: r.shard, Epoch: p.Epoch, Target: self.Incarnation})
	if err != nil || !reply.HasState {
		return nil
	}
	return r.state
}

// collect returns the state of an epoch, or nil when it is lost: both replicas
// answered that they have none, or stayed silent for FenceWait.
func (m *Manager) collect(ctx context.Context, shard int, p Pending) *ledger.State {
	var targets []peer.Identity
	for _, id := range []peer.Identity{p.Owner, p.Backup} {
		if assigned(id) && !same(id, m.opts.Self) {
			targets = append(targets, id)
		}
	}
	deadline := time.Now().Add(m.opts.Timing.FenceTimeout)
	for len(targets) > 0 && ctx.Err() == nil && time.Now().Before(deadline) {
		state, rest := m.askReplicas(ctx, shard, p.Epoch, targets)
		if state != nil {
			return state
		}
		if targets = rest; len(targets) > 0 {
			wait.Sleep(ctx, fenceRetry)
		}
	}
	return nil
}

// askReplicas asks all targets at once. It returns the first state, or the
// targets that did not answer. A state that this release cannot read counts as no
// answer.
func (m *Manager) askReplicas(ctx context.Context, shard int, epoch uint64, targets []peer.Identity) (*ledger.State, []peer.Identity) {
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
	var silent []peer.Identity
	for range targets {
		a := <-answers
		if a.state != nil {
			return a.state, nil
		}
		if a.err != nil {
			silent = append(silent, a.from)
		}
	}
	return nil, silent
}

// finishTakeover clears the pending epoch once its state, or its loss, is known.
func (r *replica) finishTakeover(e *Entry) bool {
	if r.claimed != e.Epoch {
		return false
	}
	r.startFence(*e)
	if r.fenced == nil {
		return false
	}
	if r.fenced.state == nil {
		e.LostThrough = e.Pending.Epoch
	}
	e.Pending = nil
	return true
}
