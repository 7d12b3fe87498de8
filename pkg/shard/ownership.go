package shard

import (
	"time"

	"github.com/clementinerack/clementinerack/pkg/peer"
)

// startupClaimDelay is how long a new instance waits before it claims a shard whose
// owner it has received no heartbeat from. It is longer than the heartbeat timeout.
const startupClaimDelay = 5 * time.Second

// evictionClaimDelay is how long an instance does not claim a shard after another
// instance has taken the shard over from it. Two instances that reach the store but not
// each other would otherwise take the shard from each other as fast as the store
// answers. The delay equals the heartbeat timeout, before which the loss of the other
// instance is not detected anyway.
const evictionClaimDelay = 3 * time.Second

// assignShards computes the changes to the shard map that this instance has to make and
// writes them in one swap.
func (m *Manager) assignShards() {
	if m.currentMap == nil || m.swapInFlight {
		return
	}
	loads := m.instanceLoads()
	next := m.currentMap.Clone()
	changed := false
	for shard := range next.Shards {
		if m.assignShard(shard, &next.Shards[shard], loads) {
			changed = true
		}
	}
	if changed || m.hasUncertainSwap() {
		m.swapMap(next)
	}
}

// hasUncertainSwap reports whether an earlier swap with an unknown result may still
// take effect. Another swap at the same version rules that out, even one that changes
// nothing.
func (m *Manager) hasUncertainSwap() bool {
	return m.swapUncertain && m.uncertainVersion == m.mapVersion
}

// assignShard makes the change to the entry of a shard that is up to this instance. It
// reports whether it changed the entry.
func (m *Manager) assignShard(shard int, e *Entry, loads []instanceLoad) bool {
	r := m.replica(shard)
	self := m.opts.Self
	switch {
	case isSameIncarnation(e.Owner, self) && e.Pending != nil:
		return r.finishTakeover(e)
	case isSameIncarnation(e.Owner, self) && r.role == roleOwner:
		return m.updateBackup(r, e, loads)
	case isSameIncarnation(e.Owner, self):
		return r.mayHaveHandedOver(*e) && m.claimShard(r, e, loads)
	case r.role == roleOwner:
		// The previous owner handed the shard over within its epoch.
		*e = Entry{Epoch: e.Epoch + 1, Owner: self, LostThrough: e.LostThrough}
		return true
	case m.shouldKeepOwner(*e):
		return false
	case !isSameIncarnation(m.takeoverCandidate(shard, *e, loads), self):
		return false
	}
	return m.claimShard(r, e, loads)
}

// mayHaveHandedOver reports whether this instance handed over, or may have handed over,
// the shard within the epoch to a backup that was lost before it wrote the map.
func (r *replica) mayHaveHandedOver(e Entry) bool {
	handedOver := r.role == roleNone || (r.role == roleHandingOver && r.handoverMayHaveArrived)
	return handedOver && r.epoch == e.Epoch && isAssigned(e.Backup) && !r.m.opts.Members.IsLive(e.Backup.Incarnation)
}

// shouldKeepOwner reports whether the shard stays with its owner. A draining owner
// without a live backup cannot hand over, so another instance fences it.
func (m *Manager) shouldKeepOwner(e Entry) bool {
	if !isAssigned(e.Owner) || !m.opts.Members.IsLive(e.Owner.Incarnation) {
		return false
	}
	return !m.opts.Members.IsDraining(e.Owner.Incarnation) || m.opts.Members.IsLive(e.Backup.Incarnation)
}

// takeoverCandidate returns the instance that takes over a shard without a live owner:
// the backup, which holds the state, or else the least loaded instance.
func (m *Manager) takeoverCandidate(shard int, e Entry, loads []instanceLoad) peer.Identity {
	holder := e.Backup
	if e.Pending != nil {
		holder = e.Pending.Backup
	}
	if findLoad(loads, holder) != nil {
		return holder
	}
	if l := leastLoaded(loads, peer.Identity{}, shard, ownedCount); l != nil {
		return l.id
	}
	return peer.Identity{}
}

// claimShard makes this instance the owner of the entry in a new epoch. It reports false
// while a claim delay has not elapsed.
func (m *Manager) claimShard(r *replica, e *Entry, loads []instanceLoad) bool {
	unowned := !isAssigned(e.Owner)
	if !unowned && (time.Since(m.startedAt) < startupClaimDelay || time.Since(r.evictedAt) < evictionClaimDelay) {
		return false
	}
	pending := e.Pending
	if pending == nil && !unowned {
		pending = &Pending{Epoch: e.Epoch, Owner: e.Owner, Backup: e.Backup}
	}
	*e = Entry{Epoch: e.Epoch + 1, Owner: m.opts.Self, Pending: pending, LostThrough: e.LostThrough}
	r.claimedEpoch, r.fenceInFlight, r.fenceResult = e.Epoch, false, nil
	if l := findLoad(loads, m.opts.Self); l != nil {
		l.owned++
	}
	m.metrics.takeovers.Inc()
	return true
}

// updateBackup removes a backup that is lost, names one that has caught up, and moves
// shards to instances that have fewer. It reports whether it changed the entry.
func (m *Manager) updateBackup(r *replica, e *Entry, loads []instanceLoad) bool {
	self := m.opts.Self
	if isAssigned(e.Backup) && m.isBackupLost(r, e.Backup) {
		*e = Entry{Epoch: e.Epoch + 1, Owner: self, LostThrough: e.LostThrough}
		return true
	}
	joining := r.joiningLink(e.Backup)
	if joining == nil {
		m.startJoinIfNeeded(r, e, loads)
		m.handOverIfImbalanced(r, e, loads)
		return false
	}
	if joining.epoch != e.Epoch+1 || m.hasJoinFailed(joining) {
		return r.abandonJoin(joining, e)
	}
	if !joining.isReady() {
		return false
	}
	joining.maybeBackup = true
	*e = Entry{Epoch: e.Epoch + 1, Owner: self, Backup: joining.to, LostThrough: e.LostThrough}
	return true
}

// abandonJoin drops a joining replica. If a swap that names it as backup may have been
// sent, only a newer epoch rules out that it is the backup. It reports whether it
// changed the entry.
func (r *replica) abandonJoin(joining *link, e *Entry) bool {
	if !joining.maybeBackup {
		r.dropLink(joining.to)
		return false
	}
	*e = Entry{Epoch: e.Epoch + 1, Owner: r.m.opts.Self, LostThrough: e.LostThrough}
	return true
}

func (m *Manager) isBackupLost(r *replica, backup peer.Identity) bool {
	l := r.linkTo(backup)
	return l == nil || l.rejected || !m.opts.Members.IsLive(backup.Incarnation)
}

func (m *Manager) hasJoinFailed(l *link) bool {
	return l.rejected || !m.opts.Members.IsLive(l.to.Incarnation) || m.opts.Members.IsDraining(l.to.Incarnation)
}

// joiningLink returns the link to a replica that is not the named backup, or nil.
func (r *replica) joiningLink(backup peer.Identity) *link {
	for _, l := range r.links {
		if !isSameIncarnation(l.to, backup) {
			return l
		}
	}
	return nil
}
