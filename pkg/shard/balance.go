package shard

import (
	"cmp"
	"slices"

	"github.com/clementinerack/clementinerack/pkg/peer"
)

// instanceLoad is the number of shards that an instance owns and backs up.
type instanceLoad struct {
	id             peer.Identity
	owned, backups int
}

// effectiveOwner returns the instance that serves a shard according to the state of
// this instance. After a handover within the epoch it differs from the owner in the map.
// Counting by the map would hand over a second shard before the map contains the first
// handover, and the receiver would then hand both back.
func (m *Manager) effectiveOwner(shard int, e Entry) peer.Identity {
	r, self := m.replicas[shard], m.opts.Self
	switch {
	case r == nil:
	case r.role == roleOwner:
		return self
	case isSameIncarnation(e.Owner, self) && (r.role == roleHandingOver || r.role == roleNone && r.epoch == e.Epoch):
		return e.Backup
	}
	return e.Owner
}

// instanceLoads returns the load of each live instance that is not draining, sorted by
// incarnation.
func (m *Manager) instanceLoads() []instanceLoad {
	var out []instanceLoad
	for _, id := range m.opts.Members.Live() {
		if m.opts.Members.IsDraining(id.Incarnation) || (m.draining && isSameIncarnation(id, m.opts.Self)) {
			continue
		}
		l := instanceLoad{id: id}
		for shard, e := range m.currentMap.Shards {
			if isSameIncarnation(m.effectiveOwner(shard, e), id) {
				l.owned++
			}
			if isSameIncarnation(e.Backup, id) {
				l.backups++
			}
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b instanceLoad) int { return cmp.Compare(a.id.Incarnation, b.id.Incarnation) })
	return out
}

func findLoad(loads []instanceLoad, id peer.Identity) *instanceLoad {
	for i := range loads {
		if isSameIncarnation(loads[i].id, id) {
			return &loads[i]
		}
	}
	return nil
}

// leastLoaded returns the instance with the lowest measure, or nil if there is none
// besides exclude. Ties are broken by the shard number, so that owners that choose at
// the same time for different shards spread their choices.
func leastLoaded(loads []instanceLoad, exclude peer.Identity, shard int, measure func(instanceLoad) int) *instanceLoad {
	var best *instanceLoad
	for i := range loads {
		l := &loads[(i+shard)%len(loads)]
		if isSameIncarnation(l.id, exclude) {
			continue
		}
		if best == nil || measure(*l) < measure(*best) {
			best = l
		}
	}
	return best
}

func ownedCount(l instanceLoad) int  { return l.owned }
func backupCount(l instanceLoad) int { return l.backups }

// minImbalance is the smallest difference in load, in shards, at which a shard is
// moved. A smaller value would move shards back and forth.
const minImbalance = 2

// startJoinIfNeeded starts to copy the state to a new backup if the shard has none, if
// the backup is not live or is draining, or if another instance has at least
// minImbalance fewer backups.
func (m *Manager) startJoinIfNeeded(r *replica, e *Entry, loads []instanceLoad) {
	target := leastLoaded(loads, m.opts.Self, r.shard, backupCount)
	if target == nil || isSameIncarnation(target.id, e.Backup) {
		return
	}
	current := findLoad(loads, e.Backup)
	if current != nil && (current.backups-target.backups < minImbalance || r.shard != m.firstShardBackedBy(e.Backup)) {
		return
	}
	r.startJoin(target.id)
}

// firstShardBackedBy returns the lowest shard with the given backup. Only that shard is
// moved: all owners see the same imbalance and would otherwise move their shards at
// the same time, back and forth.
func (m *Manager) firstShardBackedBy(backup peer.Identity) int {
	return slices.IndexFunc(m.currentMap.Shards, func(e Entry) bool { return isSameIncarnation(e.Backup, backup) })
}

// handOverIfImbalanced hands a shard over to its backup if the backup owns at least
// minImbalance fewer shards.
func (m *Manager) handOverIfImbalanced(r *replica, e *Entry, loads []instanceLoad) {
	self, backup := findLoad(loads, m.opts.Self), findLoad(loads, e.Backup)
	if self == nil || backup == nil || self.owned-backup.owned < minImbalance || r.shard != m.firstShardToHandOver(e.Backup, loads) {
		return
	}
	r.startHandover(e.Backup)
}

// firstShardToHandOver returns the lowest shard with the given backup whose owner has
// at least minImbalance more shards than that backup.
func (m *Manager) firstShardToHandOver(backup peer.Identity, loads []instanceLoad) int {
	to := findLoad(loads, backup)
	return slices.IndexFunc(m.currentMap.Shards, func(e Entry) bool {
		from := findLoad(loads, e.Owner)
		return isSameIncarnation(e.Backup, backup) && from != nil && from.owned-to.owned >= minImbalance
	})
}
