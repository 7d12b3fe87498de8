package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/ledger"
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
