package rights

import (
	"context"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// KnownMethod asks another instance which states of the shard records it knows from eras
// before a given one.
const KnownMethod peer.Method = "rights.known"

// KnownRequest is the body of a KnownMethod call.
type KnownRequest struct {
	Era uint64 `cbor:"1,keyasint"`
	// Known holds the revisions of the states that the caller knows, by shard.
	Known [Shards]uint64 `cbor:"2,keyasint"`
}

// KnownReply is the answer to a KnownRequest. It holds the states that are later than those
// of the caller.
type KnownReply struct {
	States []KnownState `cbor:"1,keyasint,omitempty"`
}

// KnownState is a state of a shard record.
type KnownState struct {
	Shard    int         `cbor:"1,keyasint"`
	Revision uint64      `cbor:"2,keyasint"`
	Record   shardRecord `cbor:"3,keyasint"`
}

// AnnounceMethod tells another instance states of shard records that the caller has written.
const AnnounceMethod peer.Method = "rights.announce"

// Announcement is the body of an AnnounceMethod call.
type Announcement struct {
	States []KnownState `cbor:"1,keyasint"`
}

const (
	// announcedWitnesses is the number of instances that are told each state. With two, the
	// state is known unless three certain instances end at the same time.
	announcedWitnesses = 2
	// announceTimeout bounds the time for which rights wait for a witness.
	announceTimeout = 60 * time.Millisecond
	// knownTimeout bounds one KnownMethod call.
	knownTimeout = 300 * time.Millisecond
	// maxKnownCalls bounds the calls at the same time.
	maxKnownCalls = 64
)

// Witnesses asks other instances what they know of the sums in the store.
type Witnesses struct {
	ledger *Ledger
	peers  peer.Caller
	// addresses returns the addresses of all instances that may know something.
	addresses func() []string
	// nearby returns the addresses of up to n instances that announcements go to, in
	// different failure domains if possible.
	nearby func(n int) []string
}

// NewWitnesses returns the witnesses of a ledger.
func NewWitnesses(ledger *Ledger, peers peer.Caller, addresses func() []string, nearby func(n int) []string) *Witnesses {
	return &Witnesses{ledger: ledger, peers: peers, addresses: addresses, nearby: nearby}
}

// RegisterPeer registers the handlers of KnownMethod and AnnounceMethod.
func (w *Witnesses) RegisterPeer(reg peer.Registrar) {
	reg.Handle(AnnounceMethod, func(_ context.Context, _ peer.Identity, body []byte) (any, error) {
		var message Announcement
		if err := peer.Unmarshal(body, &message); err != nil {
			return nil, err
		}
		w.ledger.Witness(message.States)
		return struct{}{}, nil
	})
	reg.Handle(KnownMethod, func(_ context.Context, _ peer.Identity, body []byte) (any, error) {
		var req KnownRequest
		if err := peer.Unmarshal(body, &req); err != nil {
			return nil, err
		}
		var reply KnownReply
		for i, s := range w.ledger.Known(req.Era) {
			if s.Revision > req.Known[i] {
				reply.States = append(reply.States, KnownState{i, s.Revision, s.shardRecord})
			}
		}
		return reply, nil
	})
}

// Evidence implements the type Evidence. An instance that does not answer adds what is
// missing when it enters the era itself.
func (w *Witnesses) Evidence(ctx context.Context, era uint64) [Shards]ShardState {
	known := w.ledger.Known(era)
	req := KnownRequest{Era: era}
	for i, s := range known {
		req.Known[i] = s.Revision
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxKnownCalls)
	for _, address := range w.addresses() {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			callCtx, cancel := context.WithTimeout(ctx, knownTimeout)
			defer cancel()
			var reply KnownReply
			if w.peers.Call(callCtx, address, KnownMethod, req, &reply) != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for i, s := range indexStates(reply.States) {
				if kvstore.EraOf(s.Revision) < era && s.Revision > known[i].Revision {
					known[i] = s
				}
			}
		})
	}
	wg.Wait()
	return known
}

// Announce tells other instances states that this one has written. It returns as soon as one
// of them has answered, and after announceTimeout at the latest: the instances that read the
// store learn the states as well, but only within their next round.
func (w *Witnesses) Announce(ctx context.Context, states []KnownState) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceTimeout)
	addresses := w.nearby(announcedWitnesses)
	answered := make(chan struct{}, len(addresses))
	var wg sync.WaitGroup
	for _, address := range addresses {
		wg.Go(func() {
			var reply struct{}
			if w.peers.Call(ctx, address, AnnounceMethod, Announcement{states}, &reply) == nil {
				answered <- struct{}{}
			}
		})
	}
	finished := make(chan struct{})
	go func() { wg.Wait(); cancel(); close(finished) }()
	select {
	case <-answered:
	case <-finished:
	}
}

// indexStates returns the states by shard.
func indexStates(states []KnownState) (known [Shards]ShardState) {
	for _, s := range states {
		if s.Shard >= 0 && s.Shard < Shards {
			known[s.Shard] = ShardState{s.Revision, s.Record}
		}
	}
	return known
}
