package peertest

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// TestFaults guards against switches that report a wrong outcome of a call.
func TestFaults(t *testing.T) {
	cases := []struct {
		desc  string
		fault func(n *Network)
		kind  failure.Kind
		runs  int // of the handler, once everything was delivered
	}{
		{"healthy", func(*Network) {}, "", 1},
		{"cut", func(n *Network) { n.Cut("a", "b") }, failure.Unavailable, 0},
		{"cut and healed", func(n *Network) { n.Cut("a", "b"); n.Heal("b", "a") }, "", 1},
		{"silent", func(n *Network) { n.Silence("a", "b") }, failure.Uncertain, 0},
		{"answers silent", func(n *Network) { n.SilenceOneWay("b", "a") }, failure.Uncertain, 1},
		{"callee stopped", func(n *Network) { n.Stop("b") }, failure.Unavailable, 0},
		{"caller stopped", func(n *Network) { n.Stop("a") }, failure.Unavailable, 0},
		{"callee paused", func(n *Network) { n.Pause("b") }, failure.Uncertain, 1},
		{"answer lost", func(n *Network) { n.LoseAnswers("a", "b", 1) }, failure.Uncertain, 1},
		{"duplicated", func(n *Network) { n.Duplicate("a", "b", 1) }, "", 2},
		{"delayed", func(n *Network) { n.Delay("a", "b", time.Second) }, "", 1},
		{"delayed past the deadline", func(n *Network) { n.Delay("a", "b", time.Minute) }, failure.Uncertain, 1},
		{"held", func(n *Network) { n.Hold("a", "b") }, failure.Uncertain, 1},
		{"answer held", func(n *Network) { n.HoldNext("b", "a", 1) }, failure.Uncertain, 1},
		{"refused by the handler", func(n *Network) { n.node("b").Handle("m", refuse) }, failure.Fenced, 0},
		{"unknown method", func(n *Network) { n.StartNode(peer.Identity{Address: "b"}) }, failure.Invalid, 0},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, runs := NewNetwork(), 0
				a, b := n.StartNode(peer.Identity{Address: "a"}), n.StartNode(peer.Identity{Address: "b"})
				b.Handle("m", func(context.Context, peer.Identity, []byte) (any, error) { runs++; return runs, nil })
				c.fault(n)
				var got int
				err := a.Call(t.Context(), "b", "m", "request", &got)
				if failure.KindOf(err) != c.kind || err == nil && got != 1 {
					t.Errorf("got %d, %v, want kind %q", got, err, c.kind)
				}
				n.Resume("b")
				n.Release("a", "b")
				n.Release("b", "a")
				time.Sleep(2 * time.Minute)
				synctest.Wait()
				if runs != c.runs {
					t.Errorf("the handler ran %d times, want %d", runs, c.runs)
				}
			})
		})
	}
}

func refuse(context.Context, peer.Identity, []byte) (any, error) {
	return nil, failure.New(failure.Fenced, "", "a newer epoch exists")
}

// TestCloseEndsBubble guards against a fault that leaves goroutines behind.
func TestCloseEndsBubble(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNetwork()
		defer n.Close()
		a, b := n.StartNode(peer.Identity{Address: "a"}), n.StartNode(peer.Identity{Address: "b"})
		b.Handle("m", func(context.Context, peer.Identity, []byte) (any, error) { return nil, nil })
		n.Hold("a", "b")
		n.Delay("a", "b", time.Hour)
		n.Pause("b")
		go func() { _ = a.Call(context.Background(), "b", "m", nil, nil) }()
		synctest.Wait()
	})
}

// TestHoldNextReorders guards against a held call that blocks the later ones.
func TestHoldNextReorders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNetwork()
		a, b := n.StartNode(peer.Identity{Address: "a"}), n.StartNode(peer.Identity{Address: "b"})
		var order []string
		b.Handle("m", func(_ context.Context, _ peer.Identity, body []byte) (any, error) {
			var s string
			err := peer.Unmarshal(body, &s)
			order = append(order, s)
			return nil, err
		})
		n.HoldNext("a", "b", 1)
		go func() { _ = a.Call(t.Context(), "b", "m", "first", nil) }()
		synctest.Wait()
		if err := a.Call(t.Context(), "b", "m", "second", nil); err != nil {
			t.Error(err)
		}
		n.Release("a", "b")
		synctest.Wait()
		if len(order) != 2 || order[0] != "second" {
			t.Errorf("delivered in order %v", order)
		}
		if c := n.Stats()["m"]; c.Requests != 2 || c.Answers != 2 || c.RequestBytes != 13 {
			t.Errorf("counted %+v", c)
		}
	})
}
