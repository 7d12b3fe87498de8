package shard

import (
	"time"

	"github.com/clementinerack/clementinerack/pkg/peer"
)

// startupGrace is how long a new instance listens before it takes a shard from
// an owner that it has not heard of: longer than the heartbeat silence limit.
const startupGrace = 5 * time.Second

// claimPause is how long an instance leaves a shard to the one that took it away.
// Two instances that hear the store but not each other would otherwise take the
// shard from each other as fast as the store answers. The death of the other one
// is not noticed sooner than after this silence limit.
const claimPause = 3 * time.Second

// assign decides on all shards of the domain and writes the changes that are
// this instance's to make in one swap.
func (m *Manager) assign() {
	if m.current == nil || m.swapping {
		return
	}
	load := m.loads()
	next := m.current.Clone()
	changed := false
	for shard := range next.Shards {
		if m.assignShard(shard, &next.Shards[shard], load) {
			changed = true
		}
	}
	if changed || m.unresolved() {
		m.swap(next)
	}
}

// unresolved reports whether an earlier swap without a known result may still
// take effect. Another swap at the same version settles that, also one that
// changes nothing.
func (m *Manager) unresolved() bool { return m.unsure && m.unsureAt == m.version }

// assignShard changes the entry as far as it is this instance's turn.
func (m *Manager) assignShard(shard int, e *Entry, loads []load) bool {
	r := m.replica(shard)
	self := m.opts.Self
	switch {
	case same(e.Owner, self) && e.Pending != nil:
		return r.finishTakeover(e)
	case same(e.Owner, self) && r.role == roleOwner:
		return m.assignBackup(r, e, loads)
	case same(e.Owner, self):
		return r.handedOver(*e) && m.claim(r, e, loads)
	case r.role == roleOwner:
		// The previous owner handed the shard over within its epoch.
		*e = Entry{Epoch: e.Epoch + 1, Owner: self, LostThrough: e.LostThrough}
		return true
	case m.ownerStays(*e):
		return false
	case !same(m.candidate(shard, *e, loads), self):
		return false
	}
	return m.claim(r, e, loads)
}

// handedOver reports whether this instance gave, or may have given, the shard away
// within the epoch to a backup that died before it wrote the map.
func (r *replica) handedOver(e Entry) bool {
	given := r.role == roleNone || (r.role == roleHandingOver && r.handoverSent)
	return given && r.epoch == e.Epoch && assigned(e.Backup) && !r.m.opts.Members.IsLive(e.Backup.Incarnation)
}

// ownerStays reports whether the shard is left to its owner. A stopping owner
// without a live backup cannot hand over by itself, so another instance fences it.
func (m *Manager) ownerStays(e Entry) bool {
	if !assigned(e.Owner) || !m.opts.Members.IsLive(e.Owner.Incarnation) {
		return false
	}
	return !m.opts.Members.IsDraining(e.Owner.Incarnation) || m.opts.Members.IsLive(e.Backup.Incarnation)
}

// candidate returns the instance that takes over a shard without live owner: the
// backup, which holds the state, or else the least loaded instance.
func (m *Manager) candidate(shard int, e Entry, loads []load) peer.Identity {
	holder := e.Backup
	if e.Pending != nil {
		holder = e.Pending.Backup
	}
	if find(loads, holder) != nil {
		return holder
	}
	if l := least(loads, peer.Identity{}, shard, byOwned); l != nil {
		return l.id
	}
	return peer.Identity{}
}

func (m *Manager) claim(r *replica, e *Entry, loads []load) bool {
	fresh := !assigned(e.Owner)
	if !fresh && (time.Since(m.base) < startupGrace || time.Since(r.evicted) < claimPause) {
		return false
	}
	pending := e.Pending
	if pending == nil && !fresh {
		pending = &Pending{Epoch: e.Epoch, Owner: e.Owner, Backup: e.Backup}
	}
	*e = Entry{Epoch: e.Epoch + 1, Owner: m.opts.Self, Pending: pending, LostThrough: e.LostThrough}
	r.claimed, r.fencing, r.fenced = e.Epoch, false, nil
	if l := find(loads, m.opts.Self); l != nil {
		l.owned++
	}
	m.metrics.takeovers.Inc()
	return true
}

// assignBackup replaces a backup that is gone, names one that has caught up,
// and moves shards towards instances that have fewer.
func (m *Manager) assignBackup(r *replica, e *Entry, loads []load) bool {
	self := m.opts.Self
	if assigned(e.Backup) && m.backupGone(r, e.Backup) {
		*e = Entry{Epoch: e.Epoch + 1, Owner: self, LostThrough: e.LostThrough}
		return true
	}
	joiner := r.joiner(e.Backup)
	if joiner == nil {
		m.startJoin(r, e, loads)
		m.balance(r, e, loads)
		return false
	}
	if joiner.epoch != e.Epoch+1 || m.joinFailed(joiner) {
		return r.abandonJoin(joiner, e)
	}
	if !joiner.ready() {
		return false
	}
	joiner.naming = true
	*e = Entry{Epoch: e.Epoch + 1, Owner: self, Backup: joiner.to, LostThrough: e.LostThrough}
	return true
}

// abandonJoin drops a joining replica. If a swap that names it may have been
// sent, only a newer epoch makes sure that it is not the backup.
func (r *replica) abandonJoin(joiner *link, e *Entry) bool {
	if !joiner.naming {
		r.dropLink(joiner.to)
		return false
	}
	*e = Entry{Epoch: e.Epoch + 1, Owner: r.m.opts.Self, LostThrough: e.LostThrough}
	return true
}

func (m *Manager) backupGone(r *replica, backup peer.Identity) bool {
	l := r.linkTo(backup)
	return l == nil || l.gone || !m.opts.Members.IsLive(backup.Incarnation)
}

func (m *Manager) joinFailed(l *link) bool {
	return l.gone || !m.opts.Members.IsLive(l.to.Incarnation) || m.opts.Members.IsDraining(l.to.Incarnation)
}

// joiner returns the link to a replica that is not the named backup.
func (r *replica) joiner(backup peer.Identity) *link {
	for _, l := range r.links {
		if !same(l.to, backup) {
			return l
		}
	}
	return nil
}
