package shard

import (
	"context"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// drainPollInterval is the interval at which Drain checks for remaining shards.
const drainPollInterval = 100 * time.Millisecond

// Drain moves all shards off this instance: it hands owned shards over to their
// backups and releases the copies that it holds as a backup. It returns nil once no
// other instance needs this one, and failure.Timeout if ctx ends first.
func (m *Manager) Drain(ctx context.Context) error {
	for {
		remaining := 0
		if err := m.do(ctx, func() { remaining = m.drainStep() }); err != nil {
			return err
		}
		if remaining == 0 {
			return nil
		}
		wait.Sleep(ctx, drainPollInterval)
		if ctx.Err() != nil {
			return failure.New(failure.Timeout, "give a longer [stop] grace, or check that another instance of the domain is alive",
				"%d shards could not be moved before the stop deadline", remaining)
		}
	}
}

// drainStep starts the next moves. It returns the number of shards that remain.
func (m *Manager) drainStep() int {
	m.draining = true
	alone := m.currentMap != nil && len(m.instanceLoads()) == 0
	remaining := 0
	for shard, r := range m.replicas {
		switch r.role {
		case roleBackup:
			r.releaseBackupCopy()
		case roleOwner:
			remaining++
			if alone {
				r.evacuate(m.currentMap.Shards[shard])
			} else {
				r.startHandover(m.currentMap.Shards[shard].Backup)
			}
		case roleHandingOver, roleFenced:
			remaining++ // a fenced state is dropped once the map shows that the next owner serves
		}
	}
	if !alone {
		m.assignShards()
	}
	return remaining + m.pendingReleases
}

// releaseBackupCopy permanently drops the backup's copy and notifies the owner, which
// can then serve without a backup even if the store is unreachable.
func (r *replica) releaseBackupCopy() {
	m := r.m
	if m.currentMap == nil {
		return
	}
	owner := m.currentMap.Shards[r.shard].Owner
	req := releaseRequest{Shard: r.shard, Epoch: r.epoch, Backup: m.opts.Self.Incarnation}
	r.dropState()
	m.pendingReleases++
	m.background(m.opts.Timing.PeerTimeout, func(ctx context.Context) {
		_ = m.opts.Peers.Call(ctx, owner.Address, MethodRelease, req, nil) // on failure the owner detects it when a mutation is refused
		m.post(func() { m.pendingReleases-- })
	})
}

// startHandover stops serving and makes the backup the owner within the epoch. It
// reports false, and does nothing, if no backup holds the state, if a call for rights
// is in flight, or if a swap of the map by this instance may still take effect: that
// swap could name another backup, and the new owner would then drop the state.
func (r *replica) startHandover(backup peer.Identity) bool {
	l := r.linkTo(backup)
	if r.role != roleOwner || l == nil || l.rejected || l.epoch != r.epoch || r.hasStoreCallInFlight() || r.m.swapInFlight || r.m.hasUncertainSwap() {
		return false
	}
	r.role, r.handoverAttempted, r.handoverMayHaveArrived = roleHandingOver, false, false
	r.handoverNumber++
	r.handoverTarget = backup
	number := r.handoverNumber
	r.whenReplicated(func(err error) {
		if err == nil && r.isCurrentHandover(number) {
			r.sendHandover(l)
		}
	})
	return true
}

// isCurrentHandover reports whether the handover with the given number is still in
// progress.
func (r *replica) isCurrentHandover(number uint64) bool {
	return r.role == roleHandingOver && r.handoverNumber == number
}

// cancelHandoverIfBackupLost resumes serving if the backup was lost before a handover
// was sent to it.
func (r *replica) cancelHandoverIfBackupLost() {
	if r.role != roleHandingOver || r.handoverAttempted {
		return
	}
	if l := r.linkTo(r.handoverTarget); l == nil || l.rejected || !r.m.opts.Members.IsLive(r.handoverTarget.Incarnation) {
		r.role = roleOwner
	}
}

// hasStoreCallInFlight reports whether a call for rights is in flight. Its result
// belongs to the state, so the shard must not be handed over meanwhile.
func (r *replica) hasStoreCallInFlight() bool {
	for _, d := range r.demands {
		if d.callInFlight {
			return true
		}
	}
	return false
}

func (r *replica) sendHandover(l *link) {
	req := handoverRequest{Shard: r.shard, Epoch: r.epoch, Session: l.session, Index: r.state.Index()}
	number := r.handoverNumber
	r.handoverAttempted = true
	l.call(MethodHandover, req, nil, func(err error) {
		if !r.isCurrentHandover(number) {
			return
		}
		switch failure.KindOf(err) {
		case "":
			r.dropState()
		case failure.Conflict, failure.Fenced, failure.NotOwner, failure.Format:
			r.role = roleOwner // a permanent refusal: the backup did not become owner
		case failure.Unavailable:
			if !r.handoverMayHaveArrived {
				r.role = roleOwner
				return
			}
			r.retryHandover(l)
		default:
			r.handoverMayHaveArrived = true
			r.retryHandover(l)
		}
	})
}

// retryHandover repeats a handover whose result is unknown. The replica must not serve
// meanwhile, because the backup may already be the owner.
func (r *replica) retryHandover(l *link) {
	m, number := r.m, r.handoverNumber
	m.background(m.opts.Timing.PeerTimeout, func(ctx context.Context) {
		wait.Sleep(ctx, linkRetryDelay)
		m.post(func() {
			if r.isCurrentHandover(number) {
				r.sendHandover(l)
			}
		})
	})
}

// evacuate empties a shard that no other instance can take over: it writes the bill
// lines, returns all unused rights, and removes the owner from the map entry. Each call
// starts the next of these steps; running requests delay all of them.
func (r *replica) evacuate(e Entry) {
	if r.m.swapInFlight || r.hasStoreCallInFlight() {
		return
	}
	if len(r.state.Running()) > 0 {
		return
	}
	if r.state.NumUnsealed() > 0 || len(r.state.Sealed()) > 0 {
		r.seal()
		return
	}
	if r.returnAllRights() {
		return
	}
	next := r.m.currentMap.Clone()
	next.Shards[r.shard] = Entry{Epoch: e.Epoch + 1, LostThrough: e.Epoch}
	r.role = roleFenced
	r.m.swapMap(next)
}

// returnAllRights starts to return all unused rights. It reports whether there were any.
func (r *replica) returnAllRights() bool {
	started := false
	for _, b := range r.state.Budgets() {
		if r.state.Right(b).Available() > 0 {
			r.returnRights(b, func(ledger.Right) ledger.Tokens { return r.state.Right(b).Available() }, nil)
			started = true
		}
	}
	return started
}
