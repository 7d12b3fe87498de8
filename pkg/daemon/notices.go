package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/entry"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
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

// sharedQuarantine tells other instances of the endpoint deaths seen here.
type sharedQuarantine struct {
	*quarantine.Tracker
	announce func([]quarantine.Notice)
}

var _ entry.Quarantine = (*sharedQuarantine)(nil)

// EndpointDied counts the death here and announces it.
func (q *sharedQuarantine) EndpointDied(endpoint, incarnation string, now time.Time) []quarantine.Notice {
	notices := q.Tracker.EndpointDied(endpoint, incarnation, now)
	if len(notices) > 0 {
		q.announce(notices)
	}
	return notices
}

func (q *sharedQuarantine) died(endpoint, incarnation string) {
	q.EndpointDied(endpoint, incarnation, time.Now())
}

func (d *Daemon) registerNotices(reg peer.Registrar) {
	reg.Handle(methodQuarantine, func(_ context.Context, _ peer.Identity, body []byte) (any, error) {
		var n quarantineNotice
		if err := peer.Unmarshal(body, &n); err != nil {
			return nil, err
		}
		for _, notice := range n.Notices {
			d.tracker.Learn(notice, time.Now())
		}
		return struct{}{}, nil
	})
	reg.Handle(methodDraining, func(_ context.Context, _ peer.Identity, body []byte) (any, error) {
		var n drainingNotice
		if err := peer.Unmarshal(body, &n); err != nil {
			return nil, err
		}
		d.pool.Drain(n.Endpoint, routing.SourceEndpoint)
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
	d.pool.Drain(endpoint, routing.SourceEndpoint)
	d.broadcast(methodDraining, drainingNotice{endpoint}, d.members.Live())
}

func (d *Daemon) isDraining(endpoint string) bool {
	return slices.ContainsFunc(d.pool.View(), func(v routing.EndpointView) bool {
		return v.Endpoint.ID == endpoint && slices.Contains(v.Drains, routing.SourceEndpoint)
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
