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

// Guards against instances that choose different leaders from the same list, against a
// failure domain without a leader, and against more leaders than needed.
func TestLeaders(t *testing.T) {
	for _, tc := range []struct {
		desc    string
		domains []int // instances by failure domain
		target  int
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
			leaders, isLeader := r.Leaders(tc.target)
			if first == nil {
				first = leaders
			}
			if !maps.Equal(first, leaders) || isLeader != leaders[self.Incarnation] {
				t.Fatalf("%s: %s chooses %v, another one %v", tc.desc, self.Incarnation, leaders, first)
			}
		}
		if len(first) != tc.want {
			t.Errorf("%s: %d leaders", tc.desc, len(first))
		}
	}
}

// Guards against an instance that cannot reach the store and does not learn which
// instances have started since, and against a connection that overrides a newer list.
func TestAddConnected(t *testing.T) {
	identity := func(incarnation, address string) peer.Identity {
		return peer.Identity{Incarnation: incarnation, Address: address}
	}
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		desc      string
		listed    []peer.Identity // before the connection
		connected peer.Identity
		listDelay time.Duration   // from the connection to the next list; 0 means no next list
		nextList  []peer.Identity // next list
		want      []string
	}{
		{"another address", []peer.Identity{identity("a1", "a")}, identity("b1", "b"), 0, nil, []string{"a1", "b1"}},
		{"after a restart", []peer.Identity{identity("a1", "a")}, identity("a2", "a"), 0, nil, []string{"a2"}},
		{"itself", nil, identity("self", "s"), 0, nil, nil},
		{"the list lags", []peer.Identity{identity("a1", "a")}, identity("a2", "a"), time.Second, []peer.Identity{identity("a1", "a")}, []string{"a2"}},
		{"the list has caught up", []peer.Identity{identity("a1", "a")}, identity("a2", "a"), time.Second, []peer.Identity{identity("a2", "a")}, []string{"a2"}},
		{"the list is ahead", []peer.Identity{identity("a1", "a")}, identity("a2", "a"), time.Second, []peer.Identity{identity("a3", "a")}, []string{"a3"}},
		{"the instance has ended since", []peer.Identity{identity("a1", "a")}, identity("a2", "a"), time.Minute, []peer.Identity{identity("a3", "a")}, []string{"a3"}},
	} {
		log := logrus.New()
		log.SetOutput(io.Discard)
		r := New(identity("self", "s"), nil, log)
		r.applyList(tc.listed, start)
		r.AddConnected(tc.connected, start)
		if tc.listDelay > 0 {
			r.applyList(tc.nextList, start.Add(tc.listDelay))
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

// Guards against incarnations that have ended but still count as instances until their
// leases expire: after a restart of all instances they would be half of the list.
func TestDecodeMembers(t *testing.T) {
	entry := func(revision uint64, incarnation, address string) kvstore.Item {
		value, err := peer.Marshal(peer.Identity{Incarnation: incarnation, Address: address})
		if err != nil {
			t.Fatal(err)
		}
		return kvstore.Item{Key: Prefix + incarnation, Value: value, Revision: revision}
	}
	r := New(peer.Identity{Incarnation: "self2", Address: "s"}, nil, nil)
	got, err := r.decodeMembers([]kvstore.Item{
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
