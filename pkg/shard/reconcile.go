package shard

import (
	"slices"

	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// reconcile adjusts the replica to its entry in a newer shard map.
func (r *replica) reconcile(e Entry) {
	self := r.m.opts.Self
	switch {
	case isSameIncarnation(e.Owner, self):
		r.reconcileOwner(e)
	case r.role == roleOwner || r.role == roleHandingOver:
		if e.Epoch > r.epoch {
			r.fence()
			r.dropUnlessPending(e)
		}
	case r.role == roleFenced:
		r.dropUnlessPending(e)
	case r.role == roleBackup:
		if e.Epoch >= r.epoch && !isSameIncarnation(e.Backup, self) {
			r.dropUnlessPending(e)
		}
	}
}

// dropUnlessPending deletes the state unless the owner in the map may still fetch
// it.
func (r *replica) dropUnlessPending(e Entry) {
	if e.Pending == nil && (e.Epoch > r.epoch || r.role == roleBackup) {
		r.dropState()
	}
}

// reconcileOwner handles an entry that names this instance as owner.
func (r *replica) reconcileOwner(e Entry) {
	switch {
	case e.Pending != nil:
		if r.claimedEpoch == e.Epoch {
			r.startFencing(e)
		}
	case r.role == roleOwner:
		r.advanceEpoch(e)
	case r.claimedEpoch == e.Epoch && r.fenceResult != nil:
		r.startEpoch(e, r.fenceResult.state)
	case r.claimedEpoch == e.Epoch && e.Epoch > r.epoch && r.role == roleNone:
		r.startEpoch(e, nil)
	}
}

// startEpoch starts to serve the shard in a new epoch. A nil state means an empty one.
func (r *replica) startEpoch(e Entry, state *ledger.State) {
	if state == nil {
		state = ledger.NewState(r.id(), e.Epoch-1, r.m.opts.Retention)
	}
	r.becomeOwner(state, e.Epoch)
	r.commit(r.state.PlanEpoch(e.Epoch, e.LostThrough, r.m.now()))
}

// advanceEpoch moves a serving owner to the epoch in the map and drops the links to
// replicas that the map does not name.
func (r *replica) advanceEpoch(e Entry) {
	if e.Epoch <= r.epoch {
		return
	}
	r.epoch = e.Epoch
	for _, l := range slices.Clone(r.links) {
		named := isSameIncarnation(l.to, e.Backup)
		l.maybeBackup = named
		if !named {
			r.dropLink(l.to)
		}
	}
	if isAssigned(e.Backup) && r.linkTo(e.Backup) == nil {
		r.m.opts.Log.WithField("shard", r.id().String()).Info("the backup in the shard map has already released the shard")
	}
	r.commit(r.state.PlanEpoch(e.Epoch, e.LostThrough, r.m.now()))
	r.runReadyWaiters()
}
