package config

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// FetchMethod is the call by which an instance gets a newer document.
const FetchMethod peer.Method = "config.fetch"

type fetchRequest struct {
	// Have is the generation of the asking instance.
	Have uint64 `cbor:"1,keyasint"`
}

type fetchReply struct {
	// Document is the stored form, or empty when there is nothing newer.
	Document []byte `cbor:"1,keyasint"`
}

// RegisterPeer serves config.fetch.
func (r *Replica) RegisterPeer(reg peer.Registrar) { reg.Handle(FetchMethod, r.serveFetch) }

func (r *Replica) serveFetch(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var req fetchRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, failure.New(failure.Format, "run the same release on all instances", "config.fetch request cannot be decoded: %v", err)
	}
	now := r.Current()
	if now == nil || now.Generation <= req.Have {
		return fetchReply{}, nil
	}
	data, err := Encode(now)
	return fetchReply{Document: data}, err
}

// HandleAnnouncement notes that the peer at address has the given generation. A newer one is
// fetched in the background while Run runs.
func (r *Replica) HandleAnnouncement(generation uint64, address string) {
	if generation <= r.Generation() || r.opts.Peers == nil {
		return
	}
	r.heardMu.Lock()
	// The latest announcement wins, so that one silent peer cannot hide others.
	r.heard = announcement{generation, address}
	r.heardMu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Replica) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
			_ = r.fetchHeard(ctx) // counted; the next heartbeat starts another attempt
		}
	}
}

// fetchHeard fetches the announced document if it is newer than the one in force.
func (r *Replica) fetchHeard(ctx context.Context) error {
	r.heardMu.Lock()
	from := r.heard
	r.heardMu.Unlock()
	if from.generation <= r.Generation() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.opts.FetchTimeout)
	defer cancel()
	var reply fetchReply
	err := r.opts.Peers.Call(ctx, from.address, FetchMethod, fetchRequest{Have: r.Generation()}, &reply)
	if err == nil && len(reply.Document) > 0 {
		var d *Document
		if d, err = Decode(reply.Document); err == nil {
			r.Offer(d)
		}
	}
	if err != nil {
		r.metrics.fetchFailures.Inc()
	}
	return err
}
