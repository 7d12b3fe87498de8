package shard

import (
	"context"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// link replicates the owner's state to one replica. It is confined to the control
// goroutine. At most one call is in flight, and mutations that are queued meanwhile are
// sent together in the next one.
type link struct {
	replica *replica
	to      peer.Identity
	epoch   uint64
	session uint64

	queue        []*ledger.Mutation
	ackedIndex   uint64
	callInFlight bool
	closed       bool
	// installed is true once the replica has the whole snapshot, synced once it has
	// acknowledged all queued mutations for the first time.
	installed bool
	synced    bool
	// maybeBackup is true once a swap that names the replica as backup may have been
	// sent. From then on the owner must not drop the link by itself, because the swap
	// may have taken effect.
	maybeBackup bool
	// rejected is true after a permanent refusal: the replica has no state of this
	// session, or it was fenced.
	rejected bool
}

const (
	// maxMutationsPerMessage keeps a message below the message size limit even if each
	// mutation carries a stored answer.
	maxMutationsPerMessage = 32
	// linkRetryDelay is the delay before a failed call is repeated.
	linkRetryDelay = 100 * time.Millisecond
)

// startJoin starts to copy the state to an instance that is to become the backup in the
// next epoch.
func (r *replica) startJoin(to peer.Identity) {
	snapshot, err := r.state.Snapshot()
	if err != nil {
		r.m.opts.Log.WithError(err).Error("shard snapshot could not be encoded")
		return
	}
	r.m.lastSession++
	l := &link{replica: r, to: to, epoch: r.epoch + 1, session: r.m.lastSession}
	r.links = append(r.links, l)
	l.install(snapshot, 0, r.state.Index())
}

// isRequired reports whether replies wait for the acknowledgements of this link. Those
// of a joining replica are not required before it has caught up once.
func (l *link) isRequired() bool { return l.maybeBackup || l.synced }

// isReady reports whether the replica can be named as backup.
func (l *link) isReady() bool { return l.synced && !l.rejected }

// install sends the snapshot from offset on, one part at a time. index is the index of
// the last mutation that the snapshot contains.
func (l *link) install(snapshot []byte, offset int, index uint64) {
	l.callInFlight = true
	part := snapshotPart(snapshot, offset, l.replica.m.opts.TransferPartBytes)
	req := installRequest{Shard: l.replica.shard, Epoch: l.epoch, Session: l.session, Part: part, Offset: offset, Total: len(snapshot)}
	l.call(MethodInstall, req, nil, func(err error) {
		if err != nil {
			l.retryUnlessRejected(err, func() { l.install(snapshot, offset, index) })
			return
		}
		if next := offset + len(part); next < len(snapshot) && !l.closed {
			l.install(snapshot, next, index)
			return
		}
		l.installed = true
		l.ackedIndex = index
		l.handleAck()
	})
}

func (l *link) enqueue(m *ledger.Mutation) {
	l.queue = append(l.queue, m)
	l.sendNextBatch()
}

// sendNextBatch sends the next queued mutations unless a call is in flight.
func (l *link) sendNextBatch() {
	if l.closed || l.callInFlight || l.rejected || !l.installed || len(l.queue) == 0 {
		return
	}
	l.callInFlight = true
	batch := l.queue[:min(len(l.queue), maxMutationsPerMessage)]
	req := replicateRequest{Shard: l.replica.shard, Epoch: l.epoch, Session: l.session, Mutations: batch}
	reply := &replicateReply{}
	l.call(MethodReplicate, req, reply, func(err error) {
		if err != nil {
			l.retryUnlessRejected(err, l.resendBatch)
			return
		}
		l.ackedIndex = max(l.ackedIndex, reply.Index)
		for len(l.queue) > 0 && l.queue[0].Index <= l.ackedIndex {
			l.queue = l.queue[1:]
		}
		l.handleAck()
	})
}

func (l *link) resendBatch() {
	l.callInFlight = false
	l.sendNextBatch()
}

// handleAck runs the waiters that the new ackedIndex allows and sends the next batch.
func (l *link) handleAck() {
	l.callInFlight = false
	if l.closed {
		return
	}
	if len(l.queue) == 0 {
		l.synced = true
	}
	l.replica.runReadyWaiters()
	l.sendNextBatch()
}

// retryUnlessRejected runs retry after a delay, unless err is a permanent refusal by the
// replica.
func (l *link) retryUnlessRejected(err error, retry func()) {
	switch failure.KindOf(err) {
	case failure.Fenced, failure.Conflict, failure.Format, failure.NotOwner:
		l.callInFlight, l.rejected = false, true
		return
	}
	m := l.replica.m
	m.background(m.opts.Timing.PeerTimeout+linkRetryDelay, func(ctx context.Context) {
		wait.Sleep(ctx, linkRetryDelay)
		m.post(func() {
			if !l.closed {
				retry()
			}
		})
	})
}

// call sends one message and runs done with its result on the control goroutine.
func (l *link) call(method peer.Method, req, resp any, done func(error)) {
	m, to := l.replica.m, l.to.Address
	m.background(m.opts.Timing.PeerTimeout, func(ctx context.Context) {
		err := m.opts.Peers.Call(ctx, to, method, req, resp)
		m.post(func() { done(err) })
	})
}
