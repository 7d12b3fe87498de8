package lineage

import (
	"context"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// handOverMethod hands origins to an instance that writes them to the store. The answer comes
// once they are written.
const handOverMethod peer.Method = "lineage.hand-over"

// maxCollectorsAsked bounds the instances that are asked one after the other to take origins.
const maxCollectorsAsked = 2

// handOverMessage is the message of handOverMethod.
type handOverMessage struct {
	Origins []storedOrigins `cbor:"1,keyasint"`
}

// handOver is the result of a transfer of origins.
type handOver struct {
	entries    []originEntry
	generation uint64
	collector  string // address, if err is nil
	err        error
}

// collectors returns the addresses of the instances that write the origins of this one, and
// whether it writes them itself.
func (t *Tracker) collectors(p *publisher, now time.Time) (addresses []string, self bool) {
	if t.opts.Collectors == nil {
		return nil, true
	}
	addresses, self = t.opts.Collectors()
	t.mu.Lock()
	defer t.mu.Unlock()
	return addresses, self || len(addresses) == 0 || now.Before(t.collectUntil) || now.Before(p.aloneUntil)
}

// handOver starts a transfer of the origins that the collector does not have.
func (t *Tracker) handOver(ctx context.Context, p *publisher, addresses []string, now time.Time) {
	t.mu.Lock()
	t.unsaved = false
	result := handOver{generation: p.generation, entries: t.originsOf(p.services, now, func(o recordedOrigin) bool { return o.handed != p.generation })}
	t.mu.Unlock()
	if len(result.entries) == 0 {
		return
	}
	if i := slices.Index(addresses, p.collector); i > 0 {
		addresses = slices.Concat(addresses[i:], addresses[:i]) // those before it may not answer
	}
	p.handing, p.handingAt = true, now
	t.transfers.Go(func() {
		message := handOverMessage{encodeOrigins(result.entries)}
		for _, address := range addresses[:min(maxCollectorsAsked, len(addresses))] {
			callCtx, cancel := context.WithTimeout(ctx, t.opts.Timing.FlushInterval+t.opts.Timing.CallTimeout)
			result.collector, result.err = address, t.opts.Peers.Call(callCtx, address, handOverMethod, message, nil)
			cancel()
			if result.err == nil {
				break
			}
		}
		p.handed <- result // has room: one transfer runs at a time
		t.wakeUp()
	})
}

// endHandOver applies the result of a transfer. What a collector has written stays in the store
// when it ends.
func (t *Tracker) endHandOver(p *publisher) {
	var result handOver
	select {
	case result = <-p.handed:
	default:
		return
	}
	p.handing = false
	t.metrics.observeWrite("transfer", result.err)
	t.mu.Lock()
	defer t.mu.Unlock()
	if result.err != nil {
		t.unsaved = true
		p.writeAlone(t.opts.Timing, time.Now())
		return
	}
	p.collector = result.collector
	for _, e := range result.entries {
		origins := t.streams[e.id]
		if i := slices.IndexFunc(origins, func(o recordedOrigin) bool { return o.Origin == e.Origin }); i >= 0 {
			origins[i].handed = result.generation
		}
	}
}

// endWaitForCollector has this instance write its origins if a transfer takes too long.
func (t *Tracker) endWaitForCollector(p *publisher) {
	now := time.Now()
	if !p.handing || now.Before(p.aloneUntil) || now.Sub(p.handingAt) < t.opts.Timing.FlushInterval+t.opts.Timing.CallTimeout/2 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsaved = true
	p.writeAlone(t.opts.Timing, now)
}

// writeAlone has this instance write its origins itself for a while.
func (p *publisher) writeAlone(timing Timing, now time.Time) {
	p.aloneUntil, p.at = now.Add(4*timing.RetryDelay), time.Time{}
	p.collector = ""
}

// RegisterPeer registers the handler of calls of other instances.
func (t *Tracker) RegisterPeer(reg peer.Registrar) {
	reg.Handle(handOverMethod, func(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
		var m handOverMessage
		if err := peer.Unmarshal(body, &m); err != nil {
			return nil, err
		}
		return struct{}{}, t.collect(ctx, m.Origins)
	})
}

// collect records origins of another instance and waits until they are written.
func (t *Tracker) collect(ctx context.Context, groups []storedOrigins) error {
	latest, since := t.opts.ListConfirmed()
	now := time.Now()
	t.mu.Lock()
	for _, g := range groups {
		g.forEach(func(id streamID, origin Origin) { t.remember(id, origin, now) })
	}
	k := t.knowledge(latest, since, now)
	if slices.ContainsFunc(groups, func(g storedOrigins) bool { return len(t.possible(g.Service, k, now)) < 2 }) {
		t.mu.Unlock()
		return failure.New(failure.Unavailable, "hand the origins to another instance", "this instance does not know that the service has several versions")
	}
	t.unsaved, t.collectUntil = true, now.Add(t.opts.Timing.Retention)
	if t.write == nil {
		t.write = &storeCall{done: make(chan struct{})}
	}
	write := t.write
	t.mu.Unlock()
	t.wakeUp()
	return write.wait(ctx)
}
