package node

import (
	"context"
	"time"

	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
)

// noticeMethod notifies other instances of requests that ran on an endpoint that died.
const noticeMethod peer.Method = "gateway.quarantine"

// noticeTimeout bounds the notification of one instance.
const noticeTimeout = 500 * time.Millisecond

// crashGuard refuses requests that crash endpoints: equal ones by its quarantine.Tracker,
// of whose deaths it notifies the other instances, and those with a part in common by its
// culpritFinder.
type crashGuard struct {
	*quarantine.Tracker
	*culpritFinder
}

// CheckTraits implements gateway.CrashGuard. The Tracker, which has such a method too, gets
// no traits here: the culpritFinder attributes the deaths of the whole fleet.
func (g *crashGuard) CheckTraits(traits []quarantine.Trait, now time.Time) error {
	return g.culpritFinder.CheckTraits(traits, now)
}

// RecordSurvival implements gateway.CrashGuard. The Tracker uses the same Survivals.
func (g *crashGuard) RecordSurvival(traits []quarantine.Trait, now time.Time) {
	g.culpritFinder.RecordSurvival(traits, now)
}

// HandleEndpointDeath implements gateway.CrashGuard. It does not wait for the notifications.
func (g *crashGuard) HandleEndpointDeath(endpoint string, now time.Time) {
	notices := g.RecordEndpointDeath(endpoint, "", now)
	if len(notices) == 0 {
		return
	}
	g.log.WithField("endpoint", endpoint).WithField("requests", len(notices)).Info("endpoint died under requests")
	for _, other := range g.roster.Others() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
			defer cancel()
			_ = g.peers.Call(ctx, other.Address, noticeMethod, notices, nil) // best effort: each instance also counts the deaths that it sees
		}()
	}
}

// registerPeer registers the handler of noticeMethod.
func (g *crashGuard) registerPeer(reg peer.Registrar) {
	g.culpritFinder.registerPeer(reg)
	reg.Handle(noticeMethod, func(_ context.Context, from peer.Identity, body []byte) (any, error) {
		var notices []quarantine.Notice
		if err := peer.Unmarshal(body, &notices); err != nil {
			return nil, err
		}
		if len(notices) > 0 {
			g.log.WithField("endpoint", notices[0].Endpoint).WithField("requests", len(notices)).WithField("from", from.Instance).Info("another instance reports a dead endpoint")
		}
		for _, notice := range notices {
			g.ApplyNotice(notice, time.Now())
		}
		return struct{}{}, nil
	})
}
