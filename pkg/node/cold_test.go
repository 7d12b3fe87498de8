package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/placement"
)

// coldFleet is a fleet of pools without a network. Instances of an even number list those of
// views[0], the others those of views[1].
type coldFleet struct {
	pools    []*placement.Pool
	arrivals map[string][]time.Time // by endpoint, from the time that instances know it cold
	list     catalog.EndpointList
}

var coldEpoch = time.Unix(1_700_000_000, 0)

// newColdFleet returns n instances, of which those in views are established, and warm endpoints.
func newColdFleet(n, endpoints int, bound placement.ColdBound, views [2][]int, joinedAt time.Time) *coldFleet {
	f := &coldFleet{arrivals: map[string][]time.Time{}}
	ids := make([]peer.Identity, n)
	for i := range ids {
		ids[i] = peer.Identity{Instance: fmt.Sprintf("i%d", i), Domain: fmt.Sprintf("z%d", i%3)}
	}
	for i := range endpoints {
		f.list.Endpoints = append(f.list.Endpoints, catalog.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "s", Address: "a", Domain: fmt.Sprintf("z%d", i%3), Started: 1})
	}
	for i, self := range ids {
		view := views[i%2]
		shares := &limitShares{self: self, established: func(now time.Time) (others []peer.Identity, isSelf bool) {
			for _, j := range view {
				if j != i {
					others = append(others, ids[j])
				}
			}
			return others, slices.Contains(view, i) && !now.Before(joinedAt)
		}}
		pool := placement.New(self.Domain, uint64(i+1), shares.of)
		pool.SetColdBounds(map[string]placement.ColdBound{"s": bound})
		pool.Update(f.list, coldEpoch)
		f.pools = append(f.pools, pool)
	}
	return f
}

// setCold gives the endpoints a cold period at all instances.
func (f *coldFleet) setCold(period catalog.ColdPeriod, now time.Time, endpoints ...int) {
	f.list.Endpoints = slices.Clone(f.list.Endpoints)
	for _, i := range endpoints {
		f.list.Endpoints[i].Cold = period
	}
	for _, p := range f.pools {
		p.Update(f.list, now)
	}
}

// send lets each instance send up to burst requests and returns how many it could.
func (f *coldFleet) send(burst int, now time.Time) (served int) {
	for _, p := range f.pools {
		for range burst {
			c, err := p.Choose(placement.Request{Service: "s"}, now)
			if err != nil {
				break
			}
			served++
			f.arrivals[c.ID] = append(f.arrivals[c.ID], now)
			c.Done(placement.Served, now)
		}
	}
	return served
}

// mostInSecond returns the largest number of requests that an endpoint got in a second.
func (f *coldFleet) mostInSecond() (most int) {
	for _, arrivals := range f.arrivals {
		for i, first := range arrivals {
			n, _ := slices.BinarySearchFunc(arrivals[i:], first.Add(time.Second), time.Time.Compare)
			most = max(most, n)
		}
	}
	return most
}

func coldBoundOf(b placement.ColdBound) int { return int(b.PerSecond*b.Overrun + b.Tolerance) }

// Guards against more requests to a cold endpoint than its bound from all instances together, also if two groups of them disagree about the members.
func TestColdBoundHoldsForAllInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "instances")
		endpoints := rapid.IntRange(1, 4).Draw(t, "endpoints")
		bound := placement.ColdBound{Start: 3 * time.Second, PerSecond: rapid.Float64Range(0.2, 60).Draw(t, "perSecond"),
			Overrun: rapid.Float64Range(1, 3).Draw(t, "overrun"), Tolerance: rapid.Float64Range(0, 10).Draw(t, "tolerance")}
		members := rapid.SliceOfNDistinct(rapid.IntRange(0, n-1), 0, n, rapid.ID[int])
		views := [2][]int{members.Draw(t, "first view"), members.Draw(t, "second view")}
		if rapid.Bool().Draw(t, "agree") {
			views[1] = views[0]
		}
		f := newColdFleet(n, endpoints, bound, views, coldEpoch.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "joined"))*time.Millisecond))
		all := make([]int, endpoints)
		for i := range all {
			all[i] = i
		}
		coldSince := time.Duration(rapid.IntRange(0, 2000).Draw(t, "cold")) * time.Millisecond
		f.send(1, coldEpoch)
		clear(f.arrivals)
		isCold := false
		for at := coldSince; at < coldSince+3*time.Second; at += time.Duration(rapid.IntRange(1, 200).Draw(t, "gap")) * time.Millisecond {
			now := coldEpoch.Add(at)
			if !isCold {
				isCold = true
				f.setCold(catalog.ColdPeriod{Length: 3 * time.Second, Sequence: 1}, now, all...)
			}
			f.send(rapid.IntRange(0, 3).Draw(t, "burst"), now)
		}
		if most := f.mostInSecond(); most > coldBoundOf(bound) {
			t.Fatalf("%d requests in a second, %d are allowed", most, coldBoundOf(bound))
		}
	})
}

var exampleBound = placement.ColdBound{Start: 3 * time.Second, PerSecond: 5.2, Overrun: 1.5, Tolerance: 5}

func upTo(n int) []int {
	s := make([]int, n)
	for i := range s {
		s[i] = i
	}
	return s
}

// Guards against callers that are refused although the bounds of a cold domain leave room, and against a bound that outlasts the period.
func TestColdDomainServesWhatItsBoundsAllow(t *testing.T) {
	f := newColdFleet(40, 12, exampleBound, [2][]int{upTo(40), upTo(40)}, coldEpoch)
	f.setCold(catalog.ColdPeriod{Length: 3 * time.Second, Sequence: 1}, coldEpoch, upTo(12)...)
	served := 0
	for at := time.Duration(0); at < 3*time.Second; at += 50 * time.Millisecond {
		served += f.send(1, coldEpoch.Add(at))
	}
	if most := f.mostInSecond(); most > coldBoundOf(exampleBound) || served < 12*3 {
		t.Errorf("%d requests in a second, %d in all", most, served)
	}
	if n := f.send(1, coldEpoch.Add(3*time.Second)); n != 40 {
		t.Errorf("%d of 40 instances send after the period", n)
	}
}

// Guards against an instance that has just started and sends to a cold endpoint before others know of it.
func TestNewInstanceSendsNothingToColdEndpoints(t *testing.T) {
	f := newColdFleet(3, 1, exampleBound, [2][]int{{0, 1, 2}, {0, 1, 2}}, coldEpoch.Add(time.Hour))
	f.setCold(catalog.ColdPeriod{Length: 3 * time.Second, Sequence: 1}, coldEpoch, 0)
	for at := time.Duration(0); at < 3*time.Second; at += 50 * time.Millisecond {
		if n := f.send(1, coldEpoch.Add(at)); n > 0 {
			t.Fatalf("%d requests after %s", n, at)
		}
	}
}

// Guards against the loss of requests to warm endpoints when another one turns cold.
func TestWarmEndpointsServeWhileOneIsCold(t *testing.T) {
	f := newColdFleet(40, 3, exampleBound, [2][]int{upTo(40), upTo(40)}, coldEpoch)
	f.send(1, coldEpoch)
	clear(f.arrivals)
	f.setCold(catalog.ColdPeriod{Length: 3 * time.Second, Sequence: 1}, coldEpoch.Add(time.Second), 1)
	for at := time.Second; at < 3*time.Second; at += 50 * time.Millisecond {
		if n := f.send(1, coldEpoch.Add(at)); n != 40 {
			t.Fatalf("%d of 40 requests served after %s", n, at)
		}
	}
	f.arrivals = map[string][]time.Time{"e1": f.arrivals["e1"]}
	if most := f.mostInSecond(); most == 0 || most > coldBoundOf(exampleBound) {
		t.Errorf("%d requests in a second", most)
	}
}
