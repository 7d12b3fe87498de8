package shard

import (
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/grant"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// role is what a replica does for its shard.
type role int

const (
	// roleNone: holds no state.
	roleNone role = iota
	// roleBackup: applies the owner's mutations.
	roleBackup
	// roleOwner: serves the shard.
	roleOwner
	// roleHandingOver: was owner, waits for the backup to become owner.
	roleHandingOver
	// roleFenced: refuses its epoch, keeps the state for the next owner.
	roleFenced
)

// replica is this instance's part in one shard. It belongs to the control
// goroutine.
type replica struct {
	m     *Manager
	shard int
	role  role
	// epoch that the state is valid for. For a backup that is not named yet it
	// is the epoch in which it will be named.
	epoch   uint64
	session uint64
	state   *ledger.State
	// incoming is the part of a snapshot that has arrived so far.
	incoming incoming
	// snapshot is the encoded state of a fenced replica.
	snapshot []byte

	// Owner only.
	links   []*link
	waiters []waiter
	demand  map[ledger.BudgetKey]*demand
	sealing bool
	sealAt  time.Time
	review  time.Time
	// standingAt is the time of the next look for budgets without any right.
	standingAt time.Time
	// handover numbers the handovers of this replica, so that results of an
	// earlier one are ignored. handoverTo is the backup that is to become owner.
	handover   uint64
	handoverTo peer.Identity
	// handoverCalled is true once a handover was sent, handoverSent when one may
	// have reached the backup.
	handoverCalled bool
	handoverSent   bool

	// Takeover: the epoch that this instance claimed, and what it learned about
	// the epoch before.
	claimed uint64
	fencing bool
	fenced  *fenceResult
	// evicted is when the map showed another owner instead of this instance.
	evicted time.Time
}

// waiter runs when the state up to index is held by all links, or with an error
// when the replica stops being the owner.
type waiter struct {
	index uint64
	fn    func(error)
}

// demand is what the owner knows about the use of one budget.
type demand struct {
	rate       grant.Rate
	unassigned ledger.Tokens
	busy       bool
	// waiting wait for the next call to the store, served for the running one.
	waiting    []func()
	served     []func()
	need       ledger.Tokens
	emptyUntil time.Time
	// known is true once the store has shown a record of the budget, and empty
	// while the last call for rights was not met.
	known, empty bool
	// fault is why the last call for rights failed, or nil.
	fault error
	// limit bounds the call under way, if it is for an unknown or empty budget.
	limit *askLimit
	// askedAt is the time of the last call to the store for this budget.
	askedAt time.Time
}

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

func (r *replica) errNotOwner() error {
	return failure.New(failure.NotOwner, "read the shard map again and retry", "instance %s does not own shard %s", r.m.opts.Self.Instance, r.id())
}

// serve makes the replica the owner with the given state.
func (r *replica) serve(state *ledger.State, epoch uint64) {
	r.role, r.state, r.epoch = roleOwner, state, epoch
	r.fencing, r.fenced = false, nil
	r.links, r.demand = nil, map[ledger.BudgetKey]*demand{}
	r.sealAt = r.m.now() // bill lines of the previous owner are written first
	r.review = r.m.now().Add(r.m.opts.Timing.ReviewInterval)
}

// fence stops the replica from serving or acknowledging. The state is kept for
// the owner of a later epoch.
func (r *replica) fence() {
	r.role, r.snapshot = roleFenced, nil
	r.dropLinks()
	r.failWaiters(r.errNotOwner())
}

// drop forgets the state.
func (r *replica) drop() {
	r.role, r.state, r.snapshot = roleNone, nil, nil
	r.dropLinks()
	r.failWaiters(r.errNotOwner())
}

func (r *replica) failWaiters(err error) {
	waiters := r.waiters
	r.waiters = nil
	for _, w := range waiters {
		w.fn(err)
	}
	for _, d := range r.demand {
		d.wake()
	}
}

// wake runs the requests that wait for the call under way.
func (d *demand) wake() {
	all := append(d.served, d.waiting...)
	d.served, d.waiting = nil, nil
	for _, fn := range all {
		fn()
	}
}

// maxBacklog bounds the replies that wait for the backup. Without it they, and the
// mutations behind them, grow with each call while the backup is silent and the
// store is down. A healthy shard has a few dozen.
const maxBacklog = 1024

// errBacklog returns an error while too many replies wait for the backup. The
// caller changes nothing then.
func (r *replica) errBacklog() error {
	if len(r.waiters) < maxBacklog {
		return nil
	}
	return failure.New(failure.Unavailable, "retry later", "the backup of shard %s has not answered %d calls", r.id(), len(r.waiters))
}

// commit applies a mutation and queues it for the links.
func (r *replica) commit(mutation *ledger.Mutation) {
	if mutation == nil {
		return
	}
	r.state.Commit(mutation)
	for _, l := range r.links {
		l.enqueue(mutation)
	}
}

// whenHeld runs fn once all links hold the current state.
func (r *replica) whenHeld(fn func(error)) {
	index := r.state.Index()
	if r.held() >= index {
		fn(nil)
		return
	}
	r.waiters = append(r.waiters, waiter{index, fn})
}

// held returns the index up to which all required links have acknowledged.
func (r *replica) held() uint64 {
	held := r.state.Index()
	for _, l := range r.links {
		if l.required() {
			held = min(held, l.acked)
		}
	}
	return held
}

func (r *replica) releaseWaiters() {
	held := r.held()
	n := 0
	for n < len(r.waiters) && r.waiters[n].index <= held {
		n++
	}
	ready := r.waiters[:n]
	r.waiters = r.waiters[n:]
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

// dropLink removes the link to an instance; waiters may become ready by it.
func (r *replica) dropLink(id peer.Identity) {
	for i, l := range r.links {
		if same(l.to, id) {
			l.closed = true
			r.links = append(r.links[:i:i], r.links[i+1:]...)
			r.releaseWaiters()
			return
		}
	}
}

func (r *replica) linkTo(id peer.Identity) *link {
	for _, l := range r.links {
		if same(l.to, id) {
			return l
		}
	}
	return nil
}

// housekeeping runs at each tick.
func (r *replica) housekeeping(now time.Time) {
	r.cancelHandover()
	if r.role != roleOwner {
		return
	}
	r.expire(now)
	if !now.Before(r.sealAt) {
		r.sealAt = now.Add(r.m.opts.Timing.SealInterval)
		r.seal()
	}
	if !now.Before(r.review) {
		r.review = now.Add(r.m.opts.Timing.ReviewInterval)
		r.reviewRights(now)
	}
}

// expireBatch bounds the records that one tick drops, so that a tick stays short.
const expireBatch = 1000

func (r *replica) expire(now time.Time) {
	for _, mutation := range r.state.PlanExpire(now, now.Add(-r.m.opts.Timing.AbandonTimeout), expireBatch) {
		r.commit(mutation)
	}
}
