package shard

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// Register registers the handlers of calls from other instances.
func (m *Manager) Register(reg peer.Registrar) {
	handle(reg, MethodReserve, m.Reserve)
	handle(reg, MethodSettle, m.Settle)
	handle(reg, MethodLookup, func(ctx context.Context, req lookupRequest) (ledger.RequestStatus, error) {
		return m.Lookup(ctx, req.ID)
	})
	handle(reg, MethodRecall, m.recall)
	handleControl(reg, m, MethodInstall, m.onInstall)
	handleControl(reg, m, MethodReplicate, m.onReplicate)
	handleControl(reg, m, MethodFence, m.onFence)
	handleControl(reg, m, MethodRelease, m.onRelease)
	handleControl(reg, m, MethodHandover, m.onHandover)
	handle(reg, MethodMapFetch, m.onMapFetch)
}

// handle registers a handler that receives the decoded request.
func handle[Q, A any](reg peer.Registrar, method peer.Method, fn func(context.Context, Q) (A, error)) {
	reg.Handle(method, func(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
		var req Q
		if err := cbor.Unmarshal(body, &req); err != nil {
			return nil, failure.New(failure.Format, "run the same release on all instances", "message %s cannot be decoded: %v", method, err)
		}
		return fn(ctx, req)
	})
}

// handleControl registers a handler that runs on the control goroutine.
func handleControl[Q, A any](reg peer.Registrar, m *Manager, method peer.Method, fn func(Q) (A, error)) {
	handle(reg, method, func(ctx context.Context, req Q) (A, error) {
		return await(ctx, m, func(answer func(A, error)) { answer(fn(req)) })
	})
}

func fencedError(r *replica, epoch uint64) error {
	return failure.New(failure.Fenced, "read the shard map again", "shard %s refuses messages of epoch %d", r.id(), epoch)
}

// onInstall takes one part of a snapshot and becomes a backup with the last one.
func (m *Manager) onInstall(req installRequest) (replicateReply, error) {
	r := m.replica(req.Shard)
	older := req.Epoch < r.epoch || (req.Epoch == r.epoch && req.Session <= r.session)
	serving := r.role == roleOwner || r.role == roleHandingOver
	if older || serving || req.Epoch < m.mapEpoch(req.Shard) {
		return replicateReply{}, fencedError(r, req.Epoch)
	}
	complete, err := r.incoming.add(req)
	if err != nil || !complete {
		return replicateReply{}, err
	}
	state, err := ledger.Restore(r.incoming.data, m.opts.Retention)
	r.incoming = snapshotBuffer{}
	if err != nil {
		return replicateReply{}, err
	}
	r.role, r.state, r.epoch, r.session = roleBackup, state, req.Epoch, req.Session
	return replicateReply{Index: state.Index()}, nil
}

// mapEpoch returns the epoch of a shard in the newest known map.
func (m *Manager) mapEpoch(shard int) uint64 {
	if m.currentMap == nil || shard < 0 || shard >= len(m.currentMap.Shards) {
		return 0
	}
	return m.currentMap.Shards[shard].Epoch
}

// onReplicate applies mutations of the owner to the backup.
func (m *Manager) onReplicate(req replicateRequest) (replicateReply, error) {
	r := m.replica(req.Shard)
	if r.role != roleBackup || r.epoch != req.Epoch || r.session != req.Session {
		return replicateReply{}, fencedError(r, req.Epoch)
	}
	for _, mutation := range req.Mutations {
		if err := r.state.Apply(mutation); err != nil {
			return replicateReply{}, err
		}
	}
	return replicateReply{Index: r.state.Index()}, nil
}

// onFence fences an epoch and returns its state to the next owner. After that, this
// replica neither serves the epoch nor acknowledges its mutations.
func (m *Manager) onFence(req fenceRequest) (fenceReply, error) {
	r := m.replica(req.Shard)
	if req.Target != m.opts.Self.Incarnation {
		return fenceReply{}, nil
	}
	if r.role == roleHandingOver && r.handoverAttempted {
		return fenceReply{}, failure.New(failure.Unavailable, "ask the backup or repeat the call", "shard %s is being handed over", r.id())
	}
	switch r.role {
	case roleOwner, roleHandingOver:
		if req.Epoch < r.epoch {
			return fenceReply{}, nil
		}
		r.epoch = req.Epoch
		r.fence()
	case roleBackup:
		if req.Epoch != r.epoch {
			return fenceReply{}, nil
		}
		r.fence()
	case roleFenced:
		if req.Epoch != r.epoch {
			return fenceReply{}, nil
		}
	default:
		return fenceReply{}, nil
	}
	return r.fencedStatePart(req.Offset)
}

// onRelease lets the owner serve without its backup, which has dropped its copy and
// therefore can never return it to a next owner.
func (m *Manager) onRelease(req releaseRequest) (replicateReply, error) {
	r := m.replica(req.Shard)
	if r.role != roleOwner && r.role != roleHandingOver {
		return replicateReply{}, r.notOwnerError()
	}
	l := r.linkTo(peer.Identity{Incarnation: req.Backup})
	if l != nil && l.epoch == req.Epoch {
		r.dropLink(l.to)
	}
	return replicateReply{}, nil
}

// onHandover makes the backup the owner within the same epoch.
func (m *Manager) onHandover(req handoverRequest) (replicateReply, error) {
	r := m.replica(req.Shard)
	if r.role == roleOwner && r.epoch == req.Epoch && r.session == req.Session {
		return replicateReply{Index: r.state.Index()}, nil
	}
	if r.role != roleBackup || r.epoch != req.Epoch || r.session != req.Session {
		return replicateReply{}, fencedError(r, req.Epoch)
	}
	if r.state.Index() != req.Index {
		return replicateReply{}, failure.New(failure.Conflict, "send the missing mutations first",
			"shard %s is at index %d, the handover is at %d", r.id(), r.state.Index(), req.Index)
	}
	r.becomeOwner(r.state, r.epoch)
	m.metrics.handovers.Inc()
	return replicateReply{Index: req.Index}, nil
}

// onMapFetch returns the newest known shard map of this instance's domain.
func (m *Manager) onMapFetch(_ context.Context, req mapFetchRequest) (mapFetchReply, error) {
	current, version := m.MapView()
	if current == nil || req.Domain != m.opts.Self.Domain {
		return mapFetchReply{}, nil
	}
	data, err := current.Encode()
	return mapFetchReply{Version: version, Map: data}, err
}
