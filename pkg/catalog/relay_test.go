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

// cuttableLink carries pulls to the handler of the replica at the address "relay". Calls
// time out while cut is set.
type cuttableLink struct {
	handler peer.Handler
	cut     bool
}

func (l *cuttableLink) Handle(_ peer.Method, h peer.Handler) { l.handler = h }

func (l *cuttableLink) Call(ctx context.Context, address string, _ peer.Method, req, resp any) error {
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

// maxPropagationDelay is the strictest bound that a deployment sets on the time until a new
// configuration or a removed endpoint takes effect.
const maxPropagationDelay = 2 * time.Second

// startRelayedReplica runs a relay, which reads relaySource, and the replica r behind it,
// which reads ownSource when it has no relay. stop ends both.
func startRelayedReplica(t *testing.T, relaySource, ownSource *fakeSource) (link *cuttableLink, r *Replica, stop func()) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	link = &cuttableLink{}
	noMembers := func() []string { return nil }
	relay := NewReplica(ReplicaOptions{Source: relaySource, Peers: link, Members: noMembers, Log: log})
	relay.RegisterPeer(link)
	r = NewReplica(ReplicaOptions{Source: ownSource, Peers: link, Members: noMembers, Relays: func() []string { return []string{"relay"} }, Log: log})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { relay.Run(ctx) })
	running.Go(func() { r.Run(ctx) })
	return link, r, func() { cancel(); running.Wait() }
}

// settleDelay exceeds RelayRetryDelay, because a replica that found the relay without a
// list at first reads the endpoints itself after exactly that delay, and such a read must
// not fall on the instant at which the test starts to count reads.
const settleDelay = 3*time.Second + 100*time.Millisecond

// Guards against an instance behind a relay that reads the endpoints from the source as
// well, that receives changes late, or that keeps following a relay which does not answer
// or has lost the source.
func TestRelay(t *testing.T) {
	for _, tc := range []struct {
		desc     string
		fault    func(link *cuttableLink, relaySource *fakeSource)
		maxReads int64 // of ownSource, in the ten seconds after the fault
	}{
		{"sound", func(*cuttableLink, *fakeSource) {}, 0},
		{"the relay does not answer", func(l *cuttableLink, _ *fakeSource) { l.cut = true }, 1000},
		{"the relay has lost the source", func(_ *cuttableLink, s *fakeSource) { s.unavailable = true }, 1000},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				relaySource, ownSource := &fakeSource{}, &fakeSource{}
				setBoth := func(version, revision uint64, ids ...string) {
					for _, s := range []*fakeSource{relaySource, ownSource} {
						s.doc, s.list = &Document{Version: version}, endpointList(revision, ids...)
					}
				}
				setBoth(5, 10, "e1")
				link, r, stop := startRelayedReplica(t, relaySource, ownSource)
				time.Sleep(settleDelay)
				tc.fault(link, relaySource)
				before := ownSource.listReads.Load()
				for i := range uint64(5) {
					setBoth(6+i, 20+i, "e1", string(rune('a'+i)))
					time.Sleep(maxPropagationDelay)
					if r.Current().Version != 6+i || !sameEndpoints(r.Endpoints(), ownSource.list) {
						t.Fatalf("%s after change %d: version %d, endpoints %v", maxPropagationDelay, i, r.Current().Version, sortedIDs(r.Endpoints()))
					}
				}
				if n := ownSource.listReads.Load() - before; n > tc.maxReads {
					t.Errorf("%d reads of the endpoints", n)
				}
				stop()
			})
		})
	}
}

func sameEndpoints(a, b EndpointList) bool { return digestOf(a.Endpoints) == digestOf(b.Endpoints) }

// Guards against an instance that does not follow a relay again after its recovery.
func TestRelayReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relaySource, ownSource := &fakeSource{doc: &Document{Version: 5}, list: endpointList(10, "e1")}, &fakeSource{doc: &Document{Version: 5}, list: endpointList(10, "e1")}
		link, _, stop := startRelayedReplica(t, relaySource, ownSource)
		time.Sleep(2 * time.Second)
		link.cut = true
		time.Sleep(5 * time.Second)
		link.cut = false
		time.Sleep(6 * time.Second)
		before := ownSource.listReads.Load()
		time.Sleep(10 * time.Second)
		if n := ownSource.listReads.Load() - before; n > 0 {
			t.Errorf("%d reads of the endpoints", n)
		}
		stop()
	})
}
