package membership

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/peer/peertest"
)

// testFleet runs services on an in-memory network.
type testFleet struct {
	t        *testing.T
	net      *peertest.Network
	services map[string]*Service // by address
	cancels  map[string]context.CancelFunc
}

// runFleet runs f in a synctest bubble with services "a0".."a<size-1>" in
// domain "a" and so on. The first service of the first domain is the only seed.
func runFleet(t *testing.T, domains string, size int, f func(f *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := &testFleet{t, peertest.NewNetwork(), map[string]*Service{}, map[string]context.CancelFunc{}}
		defer fl.net.Close()
		for _, domain := range domains {
			for i := range size {
				fl.start(fmt.Sprintf("%c%d", domain, i), "1", Options{Seeds: []string{domains[:1] + "0"}})
			}
		}
		time.Sleep(10 * time.Second)
		f(fl)
		for _, cancel := range fl.cancels {
			cancel()
		}
		synctest.Wait()
	})
}

func (f *testFleet) start(address, incarnation string, opts Options) *Service {
	if cancel := f.cancels[address]; cancel != nil {
		cancel()
	}
	id := peer.Identity{Instance: address, Incarnation: address + "/" + incarnation, Domain: address[:1], Address: address}
	node := f.net.StartNode(id)
	s := New(id, node, opts, nil)
	s.Register(node)
	ctx, cancel := context.WithCancel(f.t.Context())
	f.services[address], f.cancels[address] = s, cancel
	go s.Run(ctx)
	return s
}

func (f *testFleet) wantLive(address string, want ...string) {
	f.t.Helper()
	if got := instanceNames(f.services[address].Live()); !slices.Equal(got, want) {
		f.t.Errorf("%s sees %v, want %v", address, got, want)
	}
}

func instanceNames(ids []peer.Identity) (all []string) {
	for _, id := range ids {
		all = append(all, id.Instance)
	}
	return all
}

// TestDiscovery guards against instances that do not discover each other from
// one seed, and against heartbeat traffic that grows with the size of other
// domains.
func TestDiscovery(t *testing.T) {
	runFleet(t, "abc", 6, func(f *testFleet) {
		for address, s := range f.services {
			d := address[:1]
			f.wantLive(address, d+"0", d+"1", d+"2", d+"3", d+"4", d+"5")
			for _, other := range "abc" {
				if got := s.LiveIn(string(other)); len(got) < DefaultContactsPerDomain {
					t.Errorf("%s sees %v in domain %c", address, instanceNames(got), other)
				}
			}
		}
		before := f.net.Stats()[MethodHeartbeat]
		time.Sleep(10 * time.Second)
		after := f.net.Stats()[MethodHeartbeat]
		// Per second: 15 pairs in each of 3 domains, and 2 contacts in 2 domains
		// for each of 18 instances.
		if calls, want := after.Requests-before.Requests, 10*(3*15+18*4); calls > want*11/10 {
			t.Errorf("%d calls in 10 s, want at most about %d", calls, want)
		}
		if size := (after.RequestBytes - before.RequestBytes) / (after.Requests - before.Requests); size > 20 {
			t.Errorf("a heartbeat without changes has %d bytes", size)
		}
	})
}

// TestFaults guards against wrong liveness after faults, restarts and drains.
func TestFaults(t *testing.T) {
	all, onlySelf, withoutA1 := []string{"a0", "a1", "a2"}, []string{"a0"}, []string{"a0", "a2"}
	cases := []struct {
		desc  string
		fault func(f *testFleet)
		after time.Duration
		want  []string // seen by a0
	}{
		{"crash, not yet noticed", func(f *testFleet) { f.net.Stop("a1") }, 1500 * time.Millisecond, all},
		{"crash", func(f *testFleet) { f.net.Stop("a1") }, 5 * time.Second, withoutA1},
		{"pause", func(f *testFleet) { f.net.Pause("a1") }, 5 * time.Second, withoutA1},
		{"silence", func(f *testFleet) { f.net.Silence("a0", "a1") }, 5 * time.Second, withoutA1},
		{"one direction silent", func(f *testFleet) { f.net.SilenceOneWay("a1", "a0"); f.net.SilenceOneWay("a2", "a0") }, 5 * time.Second, onlySelf},
		{"partition that heals", func(f *testFleet) {
			f.net.Cut("a0", "a1")
			f.net.Cut("a0", "a2")
			time.Sleep(10 * time.Minute)
			f.net.Heal("a0", "a1")
			f.net.Heal("a0", "a2")
		}, 5 * time.Second, all},
		{"lost answer of one heartbeat", func(f *testFleet) { f.net.LoseAnswers("a0", "a1", 1) }, 2 * time.Second, all},
		{"restart", func(f *testFleet) { f.start("a1", "2", Options{Seeds: []string{"a0"}}) }, time.Second, all},
		{"draining", func(f *testFleet) { f.services["a1"].SetDraining(true) }, time.Second, withoutA1},
		{"draining that ended", func(f *testFleet) { f.services["a1"].SetDraining(true); f.services["a1"].SetDraining(false) }, time.Second, all},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			runFleet(t, "a", 3, func(f *testFleet) {
				c.fault(f)
				time.Sleep(c.after)
				f.wantLive("a0", c.want...)
			})
		})
	}
}

// TestRestart guards against an incarnation that counts as live after it was
// replaced, and against delayed messages that restore it.
func TestRestart(t *testing.T) {
	runFleet(t, "a", 3, func(f *testFleet) {
		s := f.services["a0"]
		old, _ := s.Peer("a1/1")
		f.services["a1"].SetDraining(true)
		time.Sleep(time.Second)
		if !s.IsLive("a1/1") || !s.IsDraining("a1/1") {
			t.Error("the draining incarnation is not live and draining")
		}
		f.start("a1", "2", Options{Seeds: []string{"a0"}})
		time.Sleep(time.Second)
		sendLate := func(id peer.Identity) {
			body, err := peer.Marshal(heartbeat{StatusVersion: 1, Status: &status{Identity: id}})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := s.handleHeartbeat(f.t.Context(), id, body); err != nil {
				t.Error(err)
			}
		}
		sendLate(old)
		if s.IsLive("a1/1") || !s.IsLive("a1/2") || s.IsDraining("a1/2") {
			t.Error("the old incarnation was not replaced")
		}
		if id, ok := s.Peer("a1/2"); !ok || id.Address != "a1" {
			t.Errorf("Peer returned %v, %v", id, ok)
		}
		unknown := old
		unknown.Incarnation = "a1/0"
		sendLate(unknown) // looks like a restart until a1 answers a call
		time.Sleep(5 * time.Second)
		if s.IsLive("a1/0") || !s.IsLive("a1/2") {
			t.Error("a late message of an unknown incarnation replaced the current one permanently")
		}
	})
}

// TestDomainPartition guards against domains that do not discover each other
// again when most instances of one were replaced at new addresses during a
// partition.
func TestDomainPartition(t *testing.T) {
	runFleet(t, "ab", 3, func(f *testFleet) {
		forEachPair := func(change func(a, b string)) {
			for _, a := range []string{"a0", "a1", "a2"} {
				for _, b := range []string{"b0", "b1", "b2", "b7", "b8"} {
					change(a, b)
				}
			}
		}
		forEachPair(f.net.Cut)
		f.start("b7", "1", Options{Seeds: []string{"b1"}})
		f.start("b8", "1", Options{Seeds: []string{"b1"}})
		time.Sleep(5 * time.Second)
		if got := f.services["a1"].LiveIn("b"); len(got) != 0 {
			t.Errorf("still live across the partition: %v", instanceNames(got))
		}
		f.net.Stop("b0")
		f.net.Stop("b1")
		time.Sleep(20 * time.Minute)
		forEachPair(f.net.Heal)
		time.Sleep(10 * time.Second)
		f.wantLive("a1", "a0", "a1", "a2")
		f.wantLive("b2", "b2", "b7", "b8")
		for _, a := range []string{"a0", "a1", "a2"} {
			if got := f.services[a].LiveIn("b"); len(got) < DefaultContactsPerDomain {
				t.Errorf("%s sees %v in the other domain", a, instanceNames(got))
			}
		}
	})
}

// TestOwnPauseIsExcused guards against an instance that considers all others
// dead after a pause of its own process.
func TestOwnPauseIsExcused(t *testing.T) {
	runFleet(t, "a", 3, func(f *testFleet) {
		s := f.services["a0"]
		f.cancels["a0"]()
		f.net.Pause("a0") // handlers are paused as well
		time.Sleep(time.Minute)
		f.net.Resume("a0")
		ctx, cancel := context.WithCancel(f.t.Context())
		defer cancel()
		s.runTick(ctx, time.Now(), time.Minute, 0)
		f.wantLive("a0", "a0", "a1", "a2")
		synctest.Wait()
	})
}

// TestReports guards against a changed report that peers do not receive, and
// against calling OnReport only once per change, although the receiver's action
// may have failed.
func TestReports(t *testing.T) {
	runFleet(t, "a", 2, func(f *testFleet) {
		var generation, config, shardMap, calls atomic.Uint64
		f.start("a5", "1", Options{
			Seeds: []string{"a0"},
			LocalReport: func() Report {
				g := generation.Load()
				return Report{ConfigGeneration: g, ShardMaps: map[string]uint64{"a": g}}
			},
		})
		f.start("a6", "1", Options{Seeds: []string{"a0"}, OnReport: func(id peer.Identity, r Report) {
			if id.Instance == "a5" {
				calls.Add(1)
				config.Store(r.ConfigGeneration)
				shardMap.Store(r.ShardMaps["a"])
			}
		}})
		time.Sleep(5 * time.Second)
		generation.Store(7)
		time.Sleep(time.Second)
		if config.Load() != 7 || shardMap.Load() != 7 {
			t.Errorf("got generation %d, shard map %d", config.Load(), shardMap.Load())
		}
		calls.Store(0)
		time.Sleep(10 * time.Second)
		if calls.Load() < 9 {
			t.Errorf("%d reports in 10 s", calls.Load())
		}
	})
}

// fakeLister is a platform list whose first calls fail.
type fakeLister struct{ failures, calls int }

func (l *fakeLister) Instances(context.Context, string) ([]kvstore.Instance, error) {
	if l.calls++; l.calls <= l.failures {
		return nil, failure.New(failure.Unavailable, "", "store is down")
	}
	return []kvstore.Instance{
		{ID: "a0", Address: "a0", Domain: "a", State: kvstore.Live},
		{ID: "gone", Address: "gone", Domain: "a", State: kvstore.Leaving},
	}, nil
}

// TestLister guards against an instance without seeds that stays isolated, and
// against polling that loads the store.
func TestLister(t *testing.T) {
	runFleet(t, "a", 2, func(f *testFleet) {
		l := &fakeLister{failures: 2}
		f.start("a5", "1", Options{Lister: l})
		time.Sleep(30 * time.Second)
		f.wantLive("a5", "a0", "a1", "a5")
		time.Sleep(time.Hour)
		synctest.Wait()
		if l.calls > 45 {
			t.Errorf("%d polls in an hour", l.calls)
		}
	})
}

// TestRendezvous guards against an uneven distribution and against moving keys
// of instances that stay.
func TestRendezvous(t *testing.T) {
	var ids []peer.Identity
	for i := range 5 {
		ids = append(ids, peer.Identity{Instance: fmt.Sprintf("i%d", i)})
	}
	count := map[string]int{}
	for k := range 5000 {
		key := fmt.Sprintf("key-%d", k)
		first, _ := Rendezvous(key, ids)
		count[first.Instance]++
		if second, _ := Rendezvous(key, ids[1:]); first != ids[0] && second != first {
			t.Errorf("%s moved from %s to %s", key, first.Instance, second.Instance)
		}
	}
	for name, n := range count {
		if n < 850 || n > 1150 {
			t.Errorf("%s has %d of 5000 keys", name, n)
		}
	}
	if _, ok := Rendezvous("key", nil); ok {
		t.Error("Rendezvous returned an instance of an empty list")
	}
}
