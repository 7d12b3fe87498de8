package node

import (
	"context"
	"time"

	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/quarantine"
)

// noticeMethod tells other instances about requests that crashed endpoints.
const noticeMethod peer.Method = "gateway.quarantine"

// noticeTimeout bounds the call of one instance.
const noticeTimeout = 500 * time.Millisecond

// crashGuard shares what this instance finds with the others.
type crashGuard struct {
	*quarantine.Tracker
	peers  peer.Caller
	others func() []peer.Identity
}

// Died implements gateway.CrashGuard.
func (g *crashGuard) Died(endpoint string, now time.Time) {
	notices := g.EndpointDied(endpoint, "", now)
	if len(notices) == 0 {
		return
	}
	for _, o := range g.others() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
			defer cancel()
			_ = g.peers.Call(ctx, o.Address, noticeMethod, notices, nil) // each instance also counts by itself
		}()
	}
}

func (g *crashGuard) register(reg peer.Registrar) {
	reg.Handle(noticeMethod, func(_ context.Context, _ peer.Identity, body []byte) (any, error) {
		var notices []quarantine.Notice
		if err := peer.Unmarshal(body, &notices); err != nil {
			return nil, err
		}
		for _, n := range notices {
			g.Learn(n, time.Now())
		}
		return struct{}{}, nil
	})
}
