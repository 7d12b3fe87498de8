package shard

import (
	"context"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// transferTimeout bounds the transfer of all parts of a state in a takeover. Each part
// is also bounded by Timing.PeerTimeout.
const transferTimeout = 5 * time.Minute

// snapshotPart returns up to size bytes of a snapshot, beginning at offset.
func snapshotPart(snapshot []byte, offset, size int) []byte {
	return snapshot[offset:min(offset+size, len(snapshot))]
}

// snapshotBuffer collects the parts of a snapshot in order.
type snapshotBuffer struct {
	epoch, session uint64
	data           []byte
}

// add appends a part and reports whether the snapshot is complete. A part that has
// arrived before changes nothing. It fails with failure.Conflict if parts are missing
// before this one, and with failure.Fenced if a newer transfer has begun.
func (in *snapshotBuffer) add(req installRequest) (bool, error) {
	if in.epoch != req.Epoch || in.session != req.Session {
		if req.Epoch < in.epoch || req.Epoch == in.epoch && req.Session < in.session {
			return false, failure.New(failure.Fenced, "begin a new transfer", "a newer transfer of shard %d is in progress", req.Shard)
		}
		*in = snapshotBuffer{epoch: req.Epoch, session: req.Session}
	}
	switch {
	case req.Offset > len(in.data):
		return false, failure.New(failure.Conflict, "send the parts in order", "part of shard %d begins at offset %d, but only %d bytes have arrived", req.Shard, req.Offset, len(in.data))
	case req.Offset == len(in.data):
		in.data = append(in.data, req.Part...)
	}
	return len(in.data) == req.Total, nil
}

// fencedStatePart returns the part of a fenced replica's state that begins at offset.
// The state no longer changes, so it is encoded only once.
func (r *replica) fencedStatePart(offset int) (fenceReply, error) {
	if r.encodedState == nil {
		snapshot, err := r.state.Snapshot()
		if err != nil {
			return fenceReply{}, err
		}
		r.encodedState = snapshot
	}
	if offset < 0 || offset > len(r.encodedState) {
		return fenceReply{}, failure.New(failure.Invalid, "begin at offset 0", "offset %d is outside of the state of shard %s", offset, r.id())
	}
	return fenceReply{HasState: true, Part: snapshotPart(r.encodedState, offset, r.m.opts.TransferPartBytes), Total: len(r.encodedState)}, nil
}

// fetchState fences an epoch at one replica and fetches its state. It returns nil
// without an error if the replica answers that it has none.
func (m *Manager) fetchState(ctx context.Context, shard int, epoch uint64, from peer.Identity) (*ledger.State, error) {
	var data []byte
	for {
		req := fenceRequest{Shard: shard, Epoch: epoch, Target: from.Incarnation, Offset: len(data)}
		var reply fenceReply
		callCtx, cancel := context.WithTimeout(ctx, m.opts.Timing.PeerTimeout)
		err := m.opts.Peers.Call(callCtx, from.Address, MethodFence, req, &reply)
		cancel()
		if err != nil {
			return nil, err
		}
		if !reply.HasState {
			return nil, nil
		}
		data = append(data, reply.Part...)
		if len(data) >= reply.Total {
			return ledger.Restore(data, m.opts.Retention)
		}
	}
}
