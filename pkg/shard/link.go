package shard

import (
	"context"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// link sends the owner's mutations to one replica. It belongs to the control
// goroutine; one call is in flight at a time, so mutations that arrive meanwhile
// travel together.
type link struct {
	r       *replica
	to      peer.Identity
	epoch   uint64
	session uint64

	queue   []*ledger.Mutation
	acked   uint64
	sending bool
	closed  bool
	// installed is true once the snapshot has arrived, synced once the replica
	// has had all mutations for the first time.
	installed bool
	synced    bool
	// naming is true from the moment a swap that names the replica as backup
	// may have been sent. From then on it must not be dropped on the owner's own
	// account, because the swap may have taken effect.
	naming bool
	// gone is true when the replica refused for good: it has no state of this
	// session, or it was fenced.
	gone bool
}

const (
	// linkBatch bounds the mutations of one message to stay below the size
	// limit of a message even when each one carries a stored answer.
	linkBatch = 32
	// linkRetry is the pause before a failed call is repeated.
	linkRetry = 100 * time.Millisecond
)

// join starts to copy the state to an instance that shall become the backup in
// the next epoch.
func (r *replica) join(to peer.Identity) {
	snapshot, err := r.state.Snapshot()
	if err != nil {
		r.m.opts.Log.WithError(err).Error("shard snapshot could not be encoded")
		return
	}
	r.m.sessions++
	l := &link{r: r, to: to, epoch: r.epoch + 1, session: r.m.sessions}
	r.links = append(r.links, l)
	l.install(snapshot, 0, r.state.Index())
}

// required reports whether waiters need the acknowledgement of this link. A
// joining replica is not required before it has caught up once.
func (l *link) required() bool { return l.naming || l.synced }

// ready reports whether the replica may be named as backup.
func (l *link) ready() bool { return l.synced && !l.gone }

// install sends the snapshot from offset on, one part at a time.
func (l *link) install(snapshot []byte, offset int, index uint64) {
	l.sending = true
	part := partOf(snapshot, offset, l.r.m.opts.TransferPartBytes)
	req := installRequest{Shard: l.r.shard, Epoch: l.epoch, Session: l.session, Part: part, Offset: offset, Total: len(snapshot)}
	l.call(MethodInstall, req, nil, func(err error) {
		if err != nil {
			l.failed(err, func() { l.install(snapshot, offset, index) })
			return
		}
		if next := offset + len(part); next < len(snapshot) && !l.closed {
			l.install(snapshot, next, index)
			return
		}
		l.installed = true
		l.acked = index
		l.progress()
	})
}

func (l *link) enqueue(m *ledger.Mutation) {
	l.queue = append(l.queue, m)
	l.pump()
}

func (l *link) pump() {
	if l.closed || l.sending || l.gone || !l.installed || len(l.queue) == 0 {
		return
	}
	l.sending = true
	batch := l.queue[:min(len(l.queue), linkBatch)]
	req := replicateRequest{Shard: l.r.shard, Epoch: l.epoch, Session: l.session, Mutations: batch}
	reply := &replicateReply{}
	l.call(MethodReplicate, req, reply, func(err error) {
		if err != nil {
			l.failed(err, l.retryPump)
			return
		}
		l.acked = max(l.acked, reply.Index)
		for len(l.queue) > 0 && l.queue[0].Index <= l.acked {
			l.queue = l.queue[1:]
		}
		l.progress()
	})
}

func (l *link) retryPump() {
	l.sending = false
	l.pump()
}

func (l *link) progress() {
	l.sending = false
	if l.closed {
		return
	}
	if len(l.queue) == 0 {
		l.synced = true
	}
	l.r.releaseWaiters()
	l.pump()
}

// failed repeats the call later, unless the replica refused for good.
func (l *link) failed(err error, again func()) {
	switch failure.KindOf(err) {
	case failure.Fenced, failure.Conflict, failure.Format, failure.NotOwner:
		l.sending, l.gone = false, true
		return
	}
	m := l.r.m
	m.background(m.opts.Timing.PeerTimeout+linkRetry, func(ctx context.Context) {
		wait.Sleep(ctx, linkRetry)
		m.post(func() {
			if !l.closed {
				again()
			}
		})
	})
}

// call sends one message and posts its result to the control goroutine.
func (l *link) call(method peer.Method, req, resp any, done func(error)) {
	m, to := l.r.m, l.to.Address
	m.background(m.opts.Timing.PeerTimeout, func(ctx context.Context) {
		err := m.opts.Peers.Call(ctx, to, method, req, resp)
		m.post(func() { done(err) })
	})
}
