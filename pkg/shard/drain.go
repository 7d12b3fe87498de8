package shard

import (
	"context"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// drainPoll is the interval at which Drain looks for shards that are left.
const drainPoll = 100 * time.Millisecond

// Drain moves all shards to other instances: owned ones to their backups, and
// copies held as a backup are released. It returns when no other instance needs
// this one any more, or when ctx ends.
func (m *Manager) Drain(ctx context.Context) error {
	for {
		left := 0
		if err := m.do(ctx, func() { left = m.drainStep() }); err != nil {
			return err
		}
		if left == 0 {
			return nil
		}
		wait.Sleep(ctx, drainPoll)
		if ctx.Err() != nil {
			return failure.New(failure.Timeout, "give a longer [stop] grace, or check that another instance of the domain is alive",
				"%d shards could not be moved before the stop deadline", left)
		}
	}
}

func (m *Manager) drainStep() int {
	m.draining = true
	alone := m.current != nil && len(m.loads()) == 0
	left := 0
	for shard, r := range m.replicas {
		switch r.role {
		case roleBackup:
			r.release()
		case roleOwner:
			left++
			if alone {
				r.evacuate(m.current.Shards[shard])
			} else {
				r.startHandover(m.current.Shards[shard].Backup)
			}
		case roleHandingOver, roleFenced:
			left++ // a fenced state is dropped when the map shows that its next owner serves
		}
	}
	if !alone {
		m.assign()
	}
	return left + m.releasing
}

// release drops the copy of a backup for good and tells the owner, who may then
// go on alone without the store.
func (r *replica) release() {
	m := r.m
	if m.current == nil {
		return
	}
	owner := m.current.Shards[r.shard].Owner
	req := releaseRequest{Shard: r.shard, Epoch: r.epoch, Backup: m.opts.Self.Incarnation}
	r.drop()
	m.releasing++
	m.background(m.opts.Timing.PeerTimeout, func(ctx context.Context) {
		_ = m.opts.Peers.Call(ctx, owner.Address, MethodRelease, req, nil) // the owner also notices by the refused messages
		m.post(func() { m.releasing-- })
	})
}

// startHandover stops serving and makes the backup the owner within the epoch.
// It reports false when there is no backup that holds the state, and while a swap
// of the map by this instance may still take effect: that swap could name another
// backup, and the state of the one that took over would be dropped.
func (r *replica) startHandover(backup peer.Identity) bool {
	l := r.linkTo(backup)
	if r.role != roleOwner || l == nil || l.gone || l.epoch != r.epoch || r.busy() || r.m.swapping || r.m.unresolved() {
		return false
	}
	r.role, r.handoverCalled, r.handoverSent = roleHandingOver, false, false
	r.handover++
	r.handoverTo = backup
	current := r.handover
	r.whenHeld(func(err error) {
		if err == nil && r.handingOver(current) {
			r.sendHandover(l)
		}
	})
	return true
}

func (r *replica) handingOver(handover uint64) bool {
	return r.role == roleHandingOver && r.handover == handover
}

// cancelHandover goes back to serving when the backup is gone before a handover
// was sent to it.
func (r *replica) cancelHandover() {
	if r.role != roleHandingOver || r.handoverCalled {
		return
	}
	if l := r.linkTo(r.handoverTo); l == nil || l.gone || !r.m.opts.Members.IsLive(r.handoverTo.Incarnation) {
		r.role = roleOwner
	}
}

// busy reports whether a call to the store is running whose result belongs into
// the state that is handed over.
func (r *replica) busy() bool {
	for _, d := range r.demand {
		if d.busy {
			return true
		}
	}
	return false
}

func (r *replica) sendHandover(l *link) {
	req := handoverRequest{Shard: r.shard, Epoch: r.epoch, Session: l.session, Index: r.state.Index()}
	current := r.handover
	r.handoverCalled = true
	l.call(MethodHandover, req, nil, func(err error) {
		if !r.handingOver(current) {
			return
		}
		switch failure.KindOf(err) {
		case "":
			r.drop()
		case failure.Conflict, failure.Fenced, failure.NotOwner, failure.Format:
			r.role = roleOwner // refused for good, so the backup did not become owner
		case failure.Unavailable:
			if !r.handoverSent {
				r.role = roleOwner
				return
			}
			r.retryHandover(l)
		default:
			r.handoverSent = true
			r.retryHandover(l)
		}
	})
}

// retryHandover repeats a handover whose result is unknown. The replica must not
// serve meanwhile, because the backup may be the owner already.
func (r *replica) retryHandover(l *link) {
	m, current := r.m, r.handover
	m.background(m.opts.Timing.PeerTimeout, func(ctx context.Context) {
		wait.Sleep(ctx, linkRetry)
		m.post(func() {
			if r.handingOver(current) {
				r.sendHandover(l)
			}
		})
	})
}

// evacuate empties a shard that no other instance can take: bills are written,
// all unused rights are returned, and the entry loses its owner.
func (r *replica) evacuate(e Entry) {
	if r.m.swapping || r.busy() {
		return
	}
	if len(r.state.Running()) > 0 {
		return
	}
	if r.state.NumUnsealed() > 0 || len(r.state.Sealed()) > 0 {
		r.seal()
		return
	}
	if r.returnAll() {
		return
	}
	next := r.m.current.Clone()
	next.Shards[r.shard] = Entry{Epoch: e.Epoch + 1, LostThrough: e.Epoch}
	r.role = roleFenced
	r.m.swap(next)
}

// returnAll starts to return unused rights. It reports whether any were left.
func (r *replica) returnAll() bool {
	started := false
	for _, b := range r.state.Budgets() {
		if r.state.Right(b).Available() > 0 {
			r.returnRights(b, func(ledger.Right) ledger.Tokens { return r.state.Right(b).Available() }, nil)
			started = true
		}
	}
	return started
}
