package shard

import (
	"cmp"
	"slices"

	"github.com/clementinerack/clementinerack/pkg/peer"
)

// load counts the shards of an instance in the map.
type load struct {
	id             peer.Identity
	owned, backups int
}

// ownerOf returns who serves a shard as far as this instance knows. After a
// handover within the epoch that is not the owner of the map; counting by the map
// would hand over a second shard before the first one shows, and the receiver
// would hand both back.
func (m *Manager) ownerOf(shard int, e Entry) peer.Identity {
	r, self := m.replicas[shard], m.opts.Self
	switch {
	case r == nil:
	case r.role == roleOwner:
		return self
	case same(e.Owner, self) && (r.role == roleHandingOver || r.role == roleNone && r.epoch == e.Epoch):
		return e.Backup
	}
	return e.Owner
}

// loads returns the load of the live instances that are not stopping.
func (m *Manager) loads() []load {
	var out []load
	for _, id := range m.opts.Members.Live() {
		if m.opts.Members.IsDraining(id.Incarnation) || (m.draining && same(id, m.opts.Self)) {
			continue
		}
		l := load{id: id}
		for shard, e := range m.current.Shards {
			if same(m.ownerOf(shard, e), id) {
				l.owned++
			}
			if same(e.Backup, id) {
				l.backups++
			}
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b load) int { return cmp.Compare(a.id.Incarnation, b.id.Incarnation) })
	return out
}

func find(loads []load, id peer.Identity) *load {
	for i := range loads {
		if same(loads[i].id, id) {
			return &loads[i]
		}
	}
	return nil
}

// least returns the live instance with the fewest shards by the given measure.
// Among equals the shard number decides, so that owners that choose at the same
// time for different shards spread their choices.
func least(loads []load, exclude peer.Identity, shard int, measure func(load) int) *load {
	var best *load
	for i := range loads {
		l := &loads[(i+shard)%len(loads)]
		if same(l.id, exclude) {
			continue
		}
		if best == nil || measure(*l) < measure(*best) {
			best = l
		}
	}
	return best
}

func byOwned(l load) int   { return l.owned }
func byBackups(l load) int { return l.backups }

// imbalance is the difference in load from which a shard is moved. A smaller one
// would move shards back and forth.
const imbalance = 2

// startJoin copies the state to a new backup when there is none, when the
// backup is stopping, or when another instance has clearly fewer backups.
func (m *Manager) startJoin(r *replica, e *Entry, loads []load) {
	target := least(loads, m.opts.Self, r.shard, byBackups)
	if target == nil || same(target.id, e.Backup) {
		return
	}
	current := find(loads, e.Backup)
	if current != nil && (current.backups-target.backups < imbalance || r.shard != m.firstBackedBy(e.Backup)) {
		return
	}
	r.join(target.id)
}

// firstBackedBy returns the lowest shard with the given backup. Only this one is
// moved, because all owners see the same imbalance and would otherwise move
// theirs together, back and forth.
func (m *Manager) firstBackedBy(backup peer.Identity) int {
	return slices.IndexFunc(m.current.Shards, func(e Entry) bool { return same(e.Backup, backup) })
}

// balance hands a shard to its backup when that one owns clearly fewer.
func (m *Manager) balance(r *replica, e *Entry, loads []load) {
	self, backup := find(loads, m.opts.Self), find(loads, e.Backup)
	if self == nil || backup == nil || self.owned-backup.owned < imbalance || r.shard != m.firstToHand(e.Backup, loads) {
		return
	}
	r.startHandover(e.Backup)
}

// firstToHand returns the lowest shard with the given backup whose owner has
// clearly more shards than that backup.
func (m *Manager) firstToHand(backup peer.Identity, loads []load) int {
	to := find(loads, backup)
	return slices.IndexFunc(m.current.Shards, func(e Entry) bool {
		from := find(loads, e.Owner)
		return same(e.Backup, backup) && from != nil && from.owned-to.owned >= imbalance
	})
}
