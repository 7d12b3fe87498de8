package config

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// FetchMethod is the peer method that returns a newer document.
const FetchMethod peer.Method = "config.fetch"

type fetchRequest struct {
	// Have is the generation that the requesting instance has.
	Have uint64 `cbor:"1,keyasint"`
}

type fetchReply struct {
	// Document is a newer document in its stored form, or empty if there is none.
	Document []byte `cbor:"1,keyasint"`
}

// RegisterPeer registers the handler of FetchMethod.
func (r *Replica) RegisterPeer(reg peer.Registrar) { reg.Handle(FetchMethod, r.serveFetch) }

func (r *Replica) serveFetch(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var req fetchRequest
	if err := cbor.Unmarshal(body, &req); err != nil {
		return nil, failure.New(failure.Format, "run the same release on all instances", "config.fetch request cannot be decoded: %v", err)
	}
	current := r.Current()
	if current == nil || current.Generation <= req.Have {
		return fetchReply{}, nil
	}
	data, err := Encode(current)
	return fetchReply{Document: data}, err
}

// HandleDocumentAnnouncement processes the generation that the peer at address reports.
// Run fetches a newer one than the current document from that peer in the background.
func (r *Replica) HandleDocumentAnnouncement(generation uint64, address string) {
	if generation <= r.Generation() || r.opts.Peers == nil {
		return
	}
	r.announcedMu.Lock()
	// The latest announcement replaces earlier ones, so that a peer that does not
	// answer cannot block the others.
	r.announced = announcement{generation, address}
	r.announcedMu.Unlock()
	select {
	case r.fetchSignal <- struct{}{}:
	default:
	}
}

func (r *Replica) fetchLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.fetchSignal:
			_ = r.fetchAnnounced(ctx) // the error is counted, and the next heartbeat starts another attempt
		}
	}
}

// fetchAnnounced fetches the announced document if it is newer than the current
// one.
func (r *Replica) fetchAnnounced(ctx context.Context) error {
	r.announcedMu.Lock()
	latest := r.announced
	r.announcedMu.Unlock()
	if latest.generation <= r.Generation() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.opts.FetchTimeout)
	defer cancel()
	var reply fetchReply
	err := r.opts.Peers.Call(ctx, latest.address, FetchMethod, fetchRequest{Have: r.Generation()}, &reply)
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
