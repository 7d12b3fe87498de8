package catalog

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// relayLink carries pulls to the handler of a replica until it is cut.
type relayLink struct {
	handler peer.Handler
	cut     bool
}

func (l *relayLink) Handle(_ peer.Method, h peer.Handler) { l.handler = h }

func (l *relayLink) Call(ctx context.Context, address string, _ peer.Method, req, resp any) error {
	if l.cut || address != "relay" {
		<-ctx.Done()
		return failure.New(failure.Uncertain, "", "no answer")
	}
	body, err := peer.Marshal(req)
	if err != nil {
		return err
	}
	out, err := l.handler(ctx, peer.Identity{}, body)
	if err != nil {
		return err
	}
	if body, err = peer.Marshal(out); err != nil {
		return err
	}
	return peer.Unmarshal(body, resp)
}

// propagation is the shortest bound on a new configuration or a leaving endpoint that
// a deployment sets.
const propagation = 2 * time.Second

// startBehindRelay runs a replica of relays and one of own that has the first one as its
// relay. stop ends both.
func startBehindRelay(t *testing.T, relays, own *source) (link *relayLink, r *Replica, stop func()) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	link = &relayLink{}
	nobody := func() []string { return nil }
	relay := NewReplica(ReplicaOptions{Source: relays, Peers: link, Members: nobody, Log: log})
	relay.RegisterPeer(link)
	r = NewReplica(ReplicaOptions{Source: own, Peers: link, Members: nobody, Relays: func() []string { return []string{"relay"} }, Log: log})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { relay.Run(ctx) })
	running.Go(func() { r.Run(ctx) })
	return link, r, func() { cancel(); running.Wait() }
}

// Guards against an instance behind a relay that reads the endpoints too, that learns
// of changes late, or that keeps to a relay which is silent or has lost the source.
func TestRelay(t *testing.T) {
	for _, tc := range []struct {
		desc  string
		fault func(link *relayLink, relays *source)
		reads int64 // most reads of the own source in the ten seconds after the fault
	}{
		{"sound", func(*relayLink, *source) {}, 0},
		{"the relay is silent", func(l *relayLink, _ *source) { l.cut = true }, 1000},
		{"the relay has lost the source", func(_ *relayLink, s *source) { s.away = true }, 1000},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				relays, own := &source{}, &source{}
				put := func(version, revision uint64, ids ...string) {
					for _, s := range []*source{relays, own} {
						s.doc, s.list = &Document{Version: version}, endpoints(revision, ids...)
					}
				}
				put(5, 10, "e1")
				link, r, stop := startBehindRelay(t, relays, own)
				time.Sleep(3 * time.Second)
				tc.fault(link, relays)
				before := own.lists.Load()
				for i := range uint64(5) {
					put(6+i, 20+i, "e1", string(rune('a'+i)))
					time.Sleep(propagation)
					if r.Current().Version != 6+i || !sameIDs(r.Endpoints(), own.list) {
						t.Fatalf("%s after change %d: version %d, endpoints %v", propagation, i, r.Current().Version, ids(r.Endpoints()))
					}
				}
				if n := own.lists.Load() - before; n > tc.reads {
					t.Errorf("%d reads of the endpoints", n)
				}
				stop()
			})
		})
	}
}

func sameIDs(a, b EndpointList) bool { return digestOf(a.Endpoints) == digestOf(b.Endpoints) }

// Guards against an instance that does not follow a relay again once that one is back.
func TestRelayReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relays, own := &source{doc: &Document{Version: 5}, list: endpoints(10, "e1")}, &source{doc: &Document{Version: 5}, list: endpoints(10, "e1")}
		link, _, stop := startBehindRelay(t, relays, own)
		time.Sleep(2 * time.Second)
		link.cut = true
		time.Sleep(5 * time.Second)
		link.cut = false
		time.Sleep(6 * time.Second)
		before := own.lists.Load()
		time.Sleep(10 * time.Second)
		if n := own.lists.Load() - before; n > 0 {
			t.Errorf("%d reads of the endpoints", n)
		}
		stop()
	})
}
