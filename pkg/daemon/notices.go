package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
	"github.com/clementinerack/clementinerack/pkg/relay"
	"github.com/clementinerack/clementinerack/pkg/routing"
)

// Methods of best-effort notices between instances.
const (
	methodQuarantine peer.Method = "notice.quarantine"
	methodDraining   peer.Method = "notice.draining"
)

// noticeTimeout bounds the delivery of one notice to one instance. Notices are not
// repeated: losing one costs at most one more crash of an endpoint, or one request that
// a draining endpoint refuses.
const noticeTimeout = time.Second

// quarantineNotices is the message of methodQuarantine.
type quarantineNotices struct {
	Notices []quarantine.Notice `cbor:"1,keyasint"`
}

// drainingNotice is the message of methodDraining.
type drainingNotice struct {
	Endpoint string `cbor:"1,keyasint"`
}

// handleEndpointDeath counts a death that the prober detected and notifies other
// instances of the requests that ran on the endpoint.
func (d *Daemon) handleEndpointDeath(endpoint, incarnation string) {
	if notices := d.tracker.RecordEndpointDeath(endpoint, incarnation, time.Now()); len(notices) > 0 {
		d.broadcastDeaths(notices)
	}
}

// probePool is the routing pool that the prober updates. It also passes the observed
// incarnations to the relay, which uses them to detect that an endpoint restarted
// during an attempt.
type probePool struct {
	*routing.Pool
	relay *relay.Client
}

// Observe implements probe.Pool.
func (p probePool) Observe(endpoint string, load routing.Load) {
	p.relay.RecordIncarnation(endpoint, load.Incarnation)
	p.Pool.Observe(endpoint, load)
}

// registerNoticeHandlers registers the handlers of the notice methods.
func (d *Daemon) registerNoticeHandlers(reg peer.Registrar) {
	reg.Handle(methodQuarantine, func(_ context.Context, _ peer.Identity, body []byte) (any, error) {
		var msg quarantineNotices
		if err := peer.Unmarshal(body, &msg); err != nil {
			return nil, err
		}
		for _, notice := range msg.Notices {
			d.tracker.ApplyNotice(notice, time.Now())
		}
		return struct{}{}, nil
	})
	reg.Handle(methodDraining, func(_ context.Context, _ peer.Identity, body []byte) (any, error) {
		var notice drainingNotice
		if err := peer.Unmarshal(body, &notice); err != nil {
			return nil, err
		}
		d.pool.Drain(notice.Endpoint, routing.DrainSourceEndpoint)
		return struct{}{}, nil
	})
}

// broadcastDeaths sends the notices of an endpoint's death to the live instances of all
// domains. It does not block.
func (d *Daemon) broadcastDeaths(notices []quarantine.Notice) {
	d.log.WithField("notices", len(notices)).Warn("an endpoint died; the requests that ran there are suspect")
	d.broadcast(methodQuarantine, quarantineNotices{notices}, d.liveInstances())
}

// handleEndpointDraining stops new work to an endpoint that reported that it is
// draining, and notifies the other instances of this domain the first time.
func (d *Daemon) handleEndpointDraining(endpoint string) {
	if d.isEndpointDraining(endpoint) {
		return
	}
	d.pool.Drain(endpoint, routing.DrainSourceEndpoint)
	d.broadcast(methodDraining, drainingNotice{endpoint}, d.members.Live())
}

// isEndpointDraining reports whether the endpoint is already drained at its own request.
func (d *Daemon) isEndpointDraining(endpoint string) bool {
	return slices.ContainsFunc(d.pool.View(), func(v routing.EndpointView) bool {
		return v.Endpoint.ID == endpoint && slices.Contains(v.Drains, routing.DrainSourceEndpoint)
	})
}

// liveInstances returns the live instances of all domains that are not draining. Of
// other domains it has only those that exchange heartbeats with this instance.
func (d *Daemon) liveInstances() []peer.Identity {
	var all []peer.Identity
	for _, domain := range d.domains() {
		all = append(all, d.members.LiveIn(domain)...)
	}
	return all
}

// broadcast sends a message to each recipient other than this instance. It neither waits
// for the answers nor reports errors.
func (d *Daemon) broadcast(method peer.Method, msg any, recipients []peer.Identity) {
	for _, recipient := range recipients {
		if recipient.Incarnation == d.self.Incarnation {
			continue
		}
		d.goroutines.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
			defer cancel()
			_ = d.transport.Call(ctx, recipient.Address, method, msg, nil) // best effort, see noticeTimeout
		})
	}
}
