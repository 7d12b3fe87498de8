package shard

import (
	"context"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// transferLimit bounds one takeover with all parts of its state. Each part has
// the deadline of a call between instances.
const transferLimit = 5 * time.Minute

// partOf returns the part of a snapshot that begins at offset.
func partOf(snapshot []byte, offset, size int) []byte {
	return snapshot[offset:min(offset+size, len(snapshot))]
}

// incoming collects the parts of a snapshot in order.
type incoming struct {
	epoch, session uint64
	data           []byte
}

// add takes a part and reports whether the snapshot is complete. A part that has
// arrived before changes nothing. A gap fails with failure.Conflict.
func (in *incoming) add(req installRequest) (bool, error) {
	if in.epoch != req.Epoch || in.session != req.Session {
		if req.Epoch < in.epoch || req.Epoch == in.epoch && req.Session < in.session {
			return false, failure.New(failure.Fenced, "begin a new transfer", "a newer transfer of shard %d is under way", req.Shard)
		}
		*in = incoming{epoch: req.Epoch, session: req.Session}
	}
	switch {
	case req.Offset > len(in.data):
		return false, failure.New(failure.Conflict, "send the parts in order", "part at %d follows %d bytes", req.Offset, len(in.data))
	case req.Offset == len(in.data):
		in.data = append(in.data, req.Part...)
	}
	return len(in.data) == req.Total, nil
}

// statePart returns the part of a fenced replica's state at offset. The state no
// longer changes, so it is encoded once.
func (r *replica) statePart(offset int) (fenceReply, error) {
	if r.snapshot == nil {
		snapshot, err := r.state.Snapshot()
		if err != nil {
			return fenceReply{}, err
		}
		r.snapshot = snapshot
	}
	if offset < 0 || offset > len(r.snapshot) {
		return fenceReply{}, failure.New(failure.Invalid, "begin at offset 0", "offset %d is outside of the state of shard %s", offset, r.id())
	}
	return fenceReply{HasState: true, Part: partOf(r.snapshot, offset, r.m.opts.TransferPartBytes), Total: len(r.snapshot)}, nil
}

// fetchState fences an epoch at one replica and reads its state. It returns nil
// without an error when the replica answers that it has none.
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
