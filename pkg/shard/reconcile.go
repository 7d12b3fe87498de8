package shard

import (
	"slices"

	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// reconcile brings the replica in line with a newer shard map.
func (r *replica) reconcile(e Entry) {
	self := r.m.opts.Self
	switch {
	case same(e.Owner, self):
		r.reconcileOwner(e)
	case r.role == roleOwner || r.role == roleHandingOver:
		if e.Epoch > r.epoch {
			r.fence()
			r.dropUnlessPending(e)
		}
	case r.role == roleFenced:
		r.dropUnlessPending(e)
	case r.role == roleBackup:
		if e.Epoch >= r.epoch && !same(e.Backup, self) {
			r.dropUnlessPending(e)
		}
	}
}

// dropUnlessPending forgets the state once an epoch serves that does not need it.
func (r *replica) dropUnlessPending(e Entry) {
	if e.Pending == nil && (e.Epoch > r.epoch || r.role == roleBackup) {
		r.drop()
	}
}

func (r *replica) reconcileOwner(e Entry) {
	switch {
	case e.Pending != nil:
		if r.claimed == e.Epoch {
			r.startFence(e)
		}
	case r.role == roleOwner:
		r.enterEpoch(e)
	case r.claimed == e.Epoch && r.fenced != nil:
		r.begin(e, r.fenced.state)
	case r.claimed == e.Epoch && e.Epoch > r.epoch && r.role == roleNone:
		r.begin(e, nil)
	}
}

// begin serves the shard in a new epoch. Without a state it starts empty.
func (r *replica) begin(e Entry, state *ledger.State) {
	if state == nil {
		state = ledger.NewState(r.id(), e.Epoch-1, r.m.opts.Retention)
	}
	r.serve(state, e.Epoch)
	r.commit(r.state.PlanEpoch(e.Epoch, e.LostThrough, r.m.now()))
}

// enterEpoch moves a serving owner to the epoch of the map.
func (r *replica) enterEpoch(e Entry) {
	if e.Epoch <= r.epoch {
		return
	}
	r.epoch = e.Epoch
	for _, l := range slices.Clone(r.links) {
		named := same(l.to, e.Backup)
		l.naming = named
		if !named {
			r.dropLink(l.to)
		}
	}
	if assigned(e.Backup) && r.linkTo(e.Backup) == nil {
		r.m.opts.Log.WithField("shard", r.id().String()).Info("backup released the shard while it was being named")
	}
	r.commit(r.state.PlanEpoch(e.Epoch, e.LostThrough, r.m.now()))
	r.releaseWaiters()
}
