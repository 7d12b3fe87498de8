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

const (
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
}

// NewWitnesses returns the witnesses of a ledger.
func NewWitnesses(ledger *Ledger, peers peer.Caller, addresses func() []string) *Witnesses {
	return &Witnesses{ledger: ledger, peers: peers, addresses: addresses}
}

// RegisterPeer registers the handler of KnownMethod.
func (w *Witnesses) RegisterPeer(reg peer.Registrar) {
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
			known = latest(known, decodeStates(reply.States, era))
		})
	}
	wg.Wait()
	return known
}

// decodeStates returns the states of eras before the given one.
func decodeStates(states []KnownState, era uint64) (known [Shards]ShardState) {
	for _, s := range states {
		if s.Shard >= 0 && s.Shard < Shards && kvstore.EraOf(s.Revision) < era {
			known[s.Shard] = ShardState{s.Revision, s.Record}
		}
	}
	return known
}
