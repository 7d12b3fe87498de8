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

// Methods of notices between instances.
const (
	methodQuarantine peer.Method = "notice.quarantine"
	methodDraining   peer.Method = "notice.draining"
)

// noticeTimeout bounds one notice. A lost notice costs at most one more crash of
// an endpoint, or one refused request at a draining one.
const noticeTimeout = time.Second

type quarantineNotice struct {
	Notices []quarantine.Notice `cbor:"1,keyasint"`
}

type drainingNotice struct {
	Endpoint string `cbor:"1,keyasint"`
}

// endpointDied counts a death that the prober saw and announces it.
func (d *Daemon) endpointDied(endpoint, incarnation string) {
	if notices := d.tracker.EndpointDied(endpoint, incarnation, time.Now()); len(notices) > 0 {
		d.announceDeaths(notices)
	}
}

// observedPool passes the incarnations that the prober sees to the relay, which
// recognizes by them that an endpoint restarted during an attempt.
type observedPool struct {
	*routing.Pool
	relay *relay.Client
}

// Observe implements probe.Pool.
func (p observedPool) Observe(endpoint string, load routing.Load) {
	p.relay.RecordIncarnation(endpoint, load.Incarnation)
	p.Pool.Observe(endpoint, load)
}

func (d *Daemon) registerNotices(reg peer.Registrar) {
	reg.Handle(methodQuarantine, func(_ context.Context, _ peer.Identity, body []byte) (any, error) {
		var n quarantineNotice
		if err := peer.Unmarshal(body, &n); err != nil {
			return nil, err
		}
		for _, notice := range n.Notices {
			d.tracker.ApplyNotice(notice, time.Now())
		}
		return struct{}{}, nil
	})
	reg.Handle(methodDraining, func(_ context.Context, _ peer.Identity, body []byte) (any, error) {
		var n drainingNotice
		if err := peer.Unmarshal(body, &n); err != nil {
			return nil, err
		}
		d.pool.Drain(n.Endpoint, routing.DrainSourceEndpoint)
		return struct{}{}, nil
	})
}

func (d *Daemon) announceDeaths(notices []quarantine.Notice) {
	d.log.WithField("notices", len(notices)).Warn("an endpoint died; the requests that ran there are suspect")
	d.broadcast(methodQuarantine, quarantineNotice{notices}, d.everyone())
}

// endpointDraining stops new work for an endpoint that asked for it.
func (d *Daemon) endpointDraining(endpoint string) {
	if d.isDraining(endpoint) {
		return
	}
	d.pool.Drain(endpoint, routing.DrainSourceEndpoint)
	d.broadcast(methodDraining, drainingNotice{endpoint}, d.members.Live())
}

func (d *Daemon) isDraining(endpoint string) bool {
	return slices.ContainsFunc(d.pool.View(), func(v routing.EndpointView) bool {
		return v.Endpoint.ID == endpoint && slices.Contains(v.Drains, routing.DrainSourceEndpoint)
	})
}

// everyone returns the known live instances of all domains.
func (d *Daemon) everyone() []peer.Identity {
	var all []peer.Identity
	for _, domain := range d.domains() {
		all = append(all, d.members.LiveIn(domain)...)
	}
	return all
}

// broadcast sends one message to others and does not wait for the answers.
func (d *Daemon) broadcast(method peer.Method, msg any, to []peer.Identity) {
	for _, id := range to {
		if id.Incarnation == d.self.Incarnation {
			continue
		}
		d.loops.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
			defer cancel()
			_ = d.transport.Call(ctx, id.Address, method, msg, nil) // best effort, see noticeTimeout
		})
	}
}
