package roster

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// Guards against instances that choose different leaders from the same list, a
// failure domain without one, and more of them than needed.
func TestLeaders(t *testing.T) {
	for _, tc := range []struct {
		desc    string
		domains []int // instances by failure domain
		least   int
		want    int
	}{
		{"small fleet", []int{3, 3, 1, 2}, 12, 9},
		{"large fleet", []int{20, 20, 20, 20}, 12, 12},
		{"uneven", []int{30, 1}, 4, 3},
		{"alone", []int{1}, 12, 1},
	} {
		var all []peer.Identity
		for d, n := range tc.domains {
			for i := range n {
				all = append(all, peer.Identity{Incarnation: fmt.Sprintf("i%d-%d", d, i), Domain: fmt.Sprint(d)})
			}
		}
		log := logrus.New()
		log.SetOutput(io.Discard)
		var first map[string]bool
		for i, self := range all {
			r := New(self, nil, log)
			for j, o := range all {
				if j != i {
					r.members = append(r.members, o)
				}
			}
			leaders, isSelf := r.Leaders(tc.least)
			if first == nil {
				first = leaders
			}
			if !maps.Equal(first, leaders) || isSelf != leaders[self.Incarnation] {
				t.Fatalf("%s: %s chooses %v, another one %v", tc.desc, self.Incarnation, leaders, first)
			}
		}
		if len(first) != tc.want {
			t.Errorf("%s: %d leaders", tc.desc, len(first))
		}
	}
}

// Guards against an instance without the store that does not learn which instances
// started since, and against a meeting that hides a newer list.
func TestMeet(t *testing.T) {
	id := func(incarnation, address string) peer.Identity {
		return peer.Identity{Incarnation: incarnation, Address: address}
	}
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		desc   string
		listed []peer.Identity // before the meeting
		met    peer.Identity
		after  time.Duration   // from the meeting to the next list; 0: there is none
		next   []peer.Identity // next list
		want   []string
	}{
		{"another address", []peer.Identity{id("a1", "a")}, id("b1", "b"), 0, nil, []string{"a1", "b1"}},
		{"after a restart", []peer.Identity{id("a1", "a")}, id("a2", "a"), 0, nil, []string{"a2"}},
		{"itself", nil, id("self", "s"), 0, nil, nil},
		{"the list lags", []peer.Identity{id("a1", "a")}, id("a2", "a"), time.Second, []peer.Identity{id("a1", "a")}, []string{"a2"}},
		{"the list has caught up", []peer.Identity{id("a1", "a")}, id("a2", "a"), time.Second, []peer.Identity{id("a2", "a")}, []string{"a2"}},
		{"the list is ahead", []peer.Identity{id("a1", "a")}, id("a2", "a"), time.Second, []peer.Identity{id("a3", "a")}, []string{"a3"}},
		{"the instance has ended since", []peer.Identity{id("a1", "a")}, id("a2", "a"), time.Minute, []peer.Identity{id("a3", "a")}, []string{"a3"}},
	} {
		log := logrus.New()
		log.SetOutput(io.Discard)
		r := New(id("self", "s"), nil, log)
		r.adopt(tc.listed, start)
		r.AddConnected(tc.met, start)
		if tc.after > 0 {
			r.adopt(tc.next, start.Add(tc.after))
		}
		var got []string
		for _, o := range r.Others() {
			got = append(got, o.Incarnation)
		}
		if !slices.Equal(got, tc.want) {
			t.Errorf("%s: %v, want %v", tc.desc, got, tc.want)
		}
	}
}

// Guards against incarnations that have ended and still count as instances until their
// leases end: after a restart of all instances they would be half of the list.
func TestListed(t *testing.T) {
	entry := func(revision uint64, incarnation, address string) kvstore.Item {
		value, err := peer.Marshal(peer.Identity{Incarnation: incarnation, Address: address})
		if err != nil {
			t.Fatal(err)
		}
		return kvstore.Item{Key: Prefix + incarnation, Value: value, Revision: revision}
	}
	r := New(peer.Identity{Incarnation: "self2", Address: "s"}, nil, nil)
	got, err := r.listed([]kvstore.Item{
		entry(1, "self1", "s"), entry(5, "self2", "s"), entry(6, "a2", "a"), entry(2, "a1", "a"), entry(3, "b1", "b"), entry(7, "b2", "b"),
		{Key: Prefix + "bad", Value: []byte("?"), Revision: 9},
	})
	var names []string
	for _, id := range got {
		names = append(names, id.Incarnation)
	}
	if slices.Sort(names); !slices.Equal(names, []string{"a2", "b2"}) || err == nil {
		t.Errorf("%v, error %v", names, err)
	}
}
