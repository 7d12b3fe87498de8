package shard

import (
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/grant"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// role is the state of a replica in the replication protocol of its shard.
type role int

const (
	// roleNone holds no state.
	roleNone role = iota
	// roleBackup applies the owner's mutations.
	roleBackup
	// roleOwner serves the shard.
	roleOwner
	// roleHandingOver has stopped serving and waits for the backup to become owner.
	roleHandingOver
	// roleFenced refuses messages of its epoch and keeps the state for the next owner.
	roleFenced
)

// replica is this instance's replica of one shard. It is confined to the control
// goroutine.
type replica struct {
	m     *Manager
	shard int
	role  role
	// epoch is the epoch of the state. For a backup that the shard map does not name yet,
	// it is the epoch in which the map will name it.
	epoch   uint64
	session uint64
	state   *ledger.State
	// incoming holds the parts of a snapshot that have arrived so far.
	incoming snapshotBuffer
	// encodedState caches the encoded state of a fenced replica.
	encodedState []byte

	// The fields below, up to handoverMayHaveArrived, are used by the owner only.
	links              []*link
	replicationWaiters []waiter
	demands            map[ledger.BudgetKey]*demand
	sealInFlight       bool
	nextSealAt         time.Time
	nextReviewAt       time.Time
	// nextStandingCheckAt is the time of the next check for standing budgets without
	// rights.
	nextStandingCheckAt time.Time
	// handoverNumber counts the handovers of this replica, so that results of an
	// earlier one are ignored. handoverTarget is the backup that is to become owner.
	handoverNumber uint64
	handoverTarget peer.Identity
	// handoverAttempted is true once a handover message was sent,
	// handoverMayHaveArrived once one may have reached the backup.
	handoverAttempted      bool
	handoverMayHaveArrived bool

	// claimedEpoch is the epoch that this instance claimed in a takeover. fenceResult
	// is the result of fencing the pending epoch, or nil until it is known.
	claimedEpoch  uint64
	fenceInFlight bool
	fenceResult   *fenceResult
	// evictedAt is when a map replaced this instance as owner by another one.
	evictedAt time.Time
}

// waiter is a callback that runs once all required links have acknowledged index, or
// with an error if the replica stops being the owner first.
type waiter struct {
	index uint64
	fn    func(error)
}

// demand is the owner's view of one budget: its recent use, the call for rights in
// flight, and the requests that wait for rights.
type demand struct {
	rate         grant.Rate
	unassigned   ledger.Tokens
	callInFlight bool
	// nextWaiters wait for the next call to the store, currentWaiters for the one in
	// flight.
	nextWaiters    []func()
	currentWaiters []func()
	need           ledger.Tokens
	exhaustedUntil time.Time
	// hasRecord is true if the last read of the store found a record of the budget.
	// exhausted is true if the last call for rights could not be met in full.
	hasRecord, exhausted bool
	// lastErr is the error of the last call for rights, or nil.
	lastErr error
	// limiter allowed the call in flight, if it is for an unknown or exhausted budget.
	limiter *missLimiter
	// lastCallAt is the time of the last call to the store for this budget.
	lastCallAt time.Time
}

// replica returns the replica of a shard and creates it if necessary.
func (m *Manager) replica(shard int) *replica {
	r := m.replicas[shard]
	if r == nil {
		r = &replica{m: m, shard: shard}
		m.replicas[shard] = r
	}
	return r
}

func (r *replica) id() ledger.ShardID {
	return ledger.ShardID{Domain: r.m.opts.Self.Domain, Shard: r.shard}
}

func (r *replica) notOwnerError() error {
	return failure.New(failure.NotOwner, "read the shard map again and retry", "instance %s does not own shard %s", r.m.opts.Self.Instance, r.id())
}

// becomeOwner makes the replica the owner with the given state.
func (r *replica) becomeOwner(state *ledger.State, epoch uint64) {
	r.role, r.state, r.epoch = roleOwner, state, epoch
	r.fenceInFlight, r.fenceResult = false, nil
	r.links, r.demands = nil, map[ledger.BudgetKey]*demand{}
	r.nextSealAt = r.m.now() // writes the bill lines that the previous owner left
	r.nextReviewAt = r.m.now().Add(r.m.opts.Timing.ReviewInterval)
}

// fence stops the replica from serving and acknowledging. The state is kept for the
// owner of a later epoch.
func (r *replica) fence() {
	r.role, r.encodedState = roleFenced, nil
	r.dropLinks()
	r.failWaiters(r.notOwnerError())
}

// dropState deletes the state and gives the replica no role.
func (r *replica) dropState() {
	r.role, r.state, r.encodedState = roleNone, nil, nil
	r.dropLinks()
	r.failWaiters(r.notOwnerError())
}

// failWaiters ends all waiters with err and runs the requests that wait for rights,
// which then fail because the replica is not the owner.
func (r *replica) failWaiters(err error) {
	waiters := r.replicationWaiters
	r.replicationWaiters = nil
	for _, w := range waiters {
		w.fn(err)
	}
	for _, d := range r.demands {
		d.runWaiters()
	}
}

// runWaiters runs the requests that wait for the call in flight or the next one.
func (d *demand) runWaiters() {
	waiters := append(d.currentWaiters, d.nextWaiters...)
	d.currentWaiters, d.nextWaiters = nil, nil
	for _, fn := range waiters {
		fn()
	}
}

// maxReplicationWaiters bounds the replies that wait for the backup. Without a bound
// they and their mutations would accumulate with each call while the backup does not
// answer and the store is down. A healthy shard has a few dozen.
const maxReplicationWaiters = 1024

// checkBacklog returns failure.Unavailable while too many replies wait for the backup.
// The caller must then change nothing.
func (r *replica) checkBacklog() error {
	if len(r.replicationWaiters) < maxReplicationWaiters {
		return nil
	}
	return failure.New(failure.Unavailable, "retry later", "the backup of shard %s has not answered %d calls", r.id(), len(r.replicationWaiters))
}

// commit applies a mutation and queues it on all links. A nil mutation is ignored.
func (r *replica) commit(mutation *ledger.Mutation) {
	if mutation == nil {
		return
	}
	r.state.Commit(mutation)
	for _, l := range r.links {
		l.enqueue(mutation)
	}
}

// whenReplicated runs fn once all required links have acknowledged the current state, or
// with an error if the replica stops being the owner first.
func (r *replica) whenReplicated(fn func(error)) {
	index := r.state.Index()
	if r.replicatedIndex() >= index {
		fn(nil)
		return
	}
	r.replicationWaiters = append(r.replicationWaiters, waiter{index, fn})
}

// replicatedIndex returns the index up to which all required links have acknowledged.
func (r *replica) replicatedIndex() uint64 {
	index := r.state.Index()
	for _, l := range r.links {
		if l.isRequired() {
			index = min(index, l.ackedIndex)
		}
	}
	return index
}

// runReadyWaiters runs the waiters whose index has been acknowledged.
func (r *replica) runReadyWaiters() {
	index := r.replicatedIndex()
	n := 0
	for n < len(r.replicationWaiters) && r.replicationWaiters[n].index <= index {
		n++
	}
	ready := r.replicationWaiters[:n]
	r.replicationWaiters = r.replicationWaiters[n:]
	for _, w := range ready {
		w.fn(nil)
	}
}

func (r *replica) dropLinks() {
	for _, l := range r.links {
		l.closed = true
	}
	r.links = nil
}

// dropLink removes the link to an instance and runs the waiters that waited only for
// that link.
func (r *replica) dropLink(id peer.Identity) {
	for i, l := range r.links {
		if isSameIncarnation(l.to, id) {
			l.closed = true
			r.links = append(r.links[:i:i], r.links[i+1:]...)
			r.runReadyWaiters()
			return
		}
	}
}

func (r *replica) linkTo(id peer.Identity) *link {
	for _, l := range r.links {
		if isSameIncarnation(l.to, id) {
			return l
		}
	}
	return nil
}

// runPeriodicTasks runs the tasks of the replica that are due at a tick.
func (r *replica) runPeriodicTasks(now time.Time) {
	r.cancelHandoverIfBackupLost()
	if r.role != roleOwner {
		return
	}
	r.expireRecords(now)
	if !now.Before(r.nextSealAt) {
		r.nextSealAt = now.Add(r.m.opts.Timing.SealInterval)
		r.seal()
	}
	if !now.Before(r.nextReviewAt) {
		r.nextReviewAt = now.Add(r.m.opts.Timing.ReviewInterval)
		r.reviewRights(now)
	}
}

// maxExpiredPerTick bounds the records that one tick drops, so that a tick does not
// block the control goroutine for long.
const maxExpiredPerTick = 1000

func (r *replica) expireRecords(now time.Time) {
	for _, mutation := range r.state.PlanExpire(now, now.Add(-r.m.opts.Timing.AbandonTimeout), maxExpiredPerTick) {
		r.commit(mutation)
	}
}
