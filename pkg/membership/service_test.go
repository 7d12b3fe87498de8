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

// fleet runs services on an in-memory network.
type fleet struct {
	t        *testing.T
	net      *peertest.Network
	services map[string]*Service // by address
	cancel   map[string]context.CancelFunc
}

// inFleet runs f in a bubble with services "a0".."a<size-1>" in domain "a" and
// so on. The first one of the first domain is the only seed.
func inFleet(t *testing.T, domains string, size int, f func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{t, peertest.NewNetwork(), map[string]*Service{}, map[string]context.CancelFunc{}}
		defer fl.net.Close()
		for _, domain := range domains {
			for i := range size {
				fl.start(fmt.Sprintf("%c%d", domain, i), "1", Options{Seeds: []string{domains[:1] + "0"}})
			}
		}
		time.Sleep(10 * time.Second)
		f(fl)
		for _, cancel := range fl.cancel {
			cancel()
		}
		synctest.Wait()
	})
}

func (f *fleet) start(address, incarnation string, opts Options) *Service {
	if cancel := f.cancel[address]; cancel != nil {
		cancel()
	}
	id := peer.Identity{Instance: address, Incarnation: address + "/" + incarnation, Domain: address[:1], Address: address}
	node := f.net.StartNode(id)
	s := New(id, node, opts, nil)
	s.Register(node)
	ctx, cancel := context.WithCancel(f.t.Context())
	f.services[address], f.cancel[address] = s, cancel
	go s.Run(ctx)
	return s
}

func (f *fleet) wantLive(address string, want ...string) {
	f.t.Helper()
	if got := names(f.services[address].Live()); !slices.Equal(got, want) {
		f.t.Errorf("%s sees %v, want %v", address, got, want)
	}
}

func names(ids []peer.Identity) (all []string) {
	for _, id := range ids {
		all = append(all, id.Instance)
	}
	return all
}

// TestDiscovery guards against instances that do not find each other from one
// seed, and against heartbeats that grow with the size of other domains.
func TestDiscovery(t *testing.T) {
	inFleet(t, "abc", 6, func(f *fleet) {
		for address, s := range f.services {
			d := address[:1]
			f.wantLive(address, d+"0", d+"1", d+"2", d+"3", d+"4", d+"5")
			for _, other := range "abc" {
				if got := s.LiveIn(string(other)); len(got) < DefaultContactsPerDomain {
					t.Errorf("%s knows %v in domain %c", address, names(got), other)
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
			t.Errorf("a heartbeat without news has %d bytes", size)
		}
	})
}

// TestFaults guards against wrong opinions about the liveness of an instance.
func TestFaults(t *testing.T) {
	all, alone, without := []string{"a0", "a1", "a2"}, []string{"a0"}, []string{"a0", "a2"}
	cases := []struct {
		desc  string
		fault func(f *fleet)
		after time.Duration
		want  []string // seen by a0
	}{
		{"crash, not yet noticed", func(f *fleet) { f.net.Stop("a1") }, 1500 * time.Millisecond, all},
		{"crash", func(f *fleet) { f.net.Stop("a1") }, 5 * time.Second, without},
		{"pause", func(f *fleet) { f.net.Pause("a1") }, 5 * time.Second, without},
		{"silence", func(f *fleet) { f.net.Silence("a0", "a1") }, 5 * time.Second, without},
		{"one direction silent", func(f *fleet) { f.net.SilenceOneWay("a1", "a0"); f.net.SilenceOneWay("a2", "a0") }, 5 * time.Second, alone},
		{"cut off and healed", func(f *fleet) {
			f.net.Cut("a0", "a1")
			f.net.Cut("a0", "a2")
			time.Sleep(10 * time.Minute)
			f.net.Heal("a0", "a1")
			f.net.Heal("a0", "a2")
		}, 5 * time.Second, all},
		{"lost answers of one beat", func(f *fleet) { f.net.LoseAnswers("a0", "a1", 1) }, 2 * time.Second, all},
		{"restart", func(f *fleet) { f.start("a1", "2", Options{Seeds: []string{"a0"}}) }, time.Second, all},
		{"draining", func(f *fleet) { f.services["a1"].SetDraining(true) }, time.Second, without},
		{"draining that ended", func(f *fleet) { f.services["a1"].SetDraining(true); f.services["a1"].SetDraining(false) }, time.Second, all},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			inFleet(t, "a", 3, func(f *fleet) {
				c.fault(f)
				time.Sleep(c.after)
				f.wantLive("a0", c.want...)
			})
		})
	}
}

// TestRestart guards against an incarnation that counts as live after it was
// replaced, and against late messages that bring it back.
func TestRestart(t *testing.T) {
	inFleet(t, "a", 3, func(f *fleet) {
		s := f.services["a0"]
		old, _ := s.Peer("a1/1")
		f.services["a1"].SetDraining(true)
		time.Sleep(time.Second)
		if !s.IsLive("a1/1") || !s.IsDraining("a1/1") {
			t.Error("the draining incarnation is not live and draining")
		}
		f.start("a1", "2", Options{Seeds: []string{"a0"}})
		time.Sleep(time.Second)
		late := func(id peer.Identity) {
			body, err := peer.Marshal(heartbeat{StatusVersion: 1, Status: &status{Identity: id}})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := s.handle(f.t.Context(), id, body); err != nil {
				t.Error(err)
			}
		}
		late(old)
		if s.IsLive("a1/1") || !s.IsLive("a1/2") || s.IsDraining("a1/2") {
			t.Error("the old incarnation was not replaced")
		}
		if id, ok := s.Peer("a1/2"); !ok || id.Address != "a1" {
			t.Errorf("got %v, %v", id, ok)
		}
		unknown := old
		unknown.Incarnation = "a1/0"
		late(unknown) // cannot be told from a restart, until a1 answers a call
		time.Sleep(5 * time.Second)
		if s.IsLive("a1/0") || !s.IsLive("a1/2") {
			t.Error("a late message of an unknown incarnation replaced the current one for good")
		}
	})
}

// TestDomainPartition guards against domains that do not find each other again
// when all instances of one were replaced at new addresses during a partition.
func TestDomainPartition(t *testing.T) {
	inFleet(t, "ab", 3, func(f *fleet) {
		cut := func(change func(a, b string)) {
			for _, a := range []string{"a0", "a1", "a2"} {
				for _, b := range []string{"b0", "b1", "b2", "b7", "b8"} {
					change(a, b)
				}
			}
		}
		cut(f.net.Cut)
		f.start("b7", "1", Options{Seeds: []string{"b1"}})
		f.start("b8", "1", Options{Seeds: []string{"b1"}})
		time.Sleep(5 * time.Second)
		if got := f.services["a1"].LiveIn("b"); len(got) != 0 {
			t.Errorf("still live across the partition: %v", names(got))
		}
		f.net.Stop("b0")
		f.net.Stop("b1")
		time.Sleep(20 * time.Minute)
		cut(f.net.Heal)
		time.Sleep(10 * time.Second)
		f.wantLive("a1", "a0", "a1", "a2")
		f.wantLive("b2", "b2", "b7", "b8")
		for _, a := range []string{"a0", "a1", "a2"} {
			if got := f.services[a].LiveIn("b"); len(got) < DefaultContactsPerDomain {
				t.Errorf("%s sees %v in the other domain", a, names(got))
			}
		}
	})
}

// TestOwnPauseIsExcused guards against an instance that takes all others for
// dead because it did not run itself.
func TestOwnPauseIsExcused(t *testing.T) {
	inFleet(t, "a", 3, func(f *fleet) {
		s := f.services["a0"]
		f.cancel["a0"]()
		f.net.Pause("a0") // handlers do not run either
		time.Sleep(time.Minute)
		f.net.Resume("a0")
		ctx, cancel := context.WithCancel(f.t.Context())
		defer cancel()
		s.step(ctx, time.Now(), time.Minute, 0)
		f.wantLive("a0", "a0", "a1", "a2")
		synctest.Wait()
	})
}

// TestReports guards against a change that peers do not hear of, and against a
// report that is passed on only once although acting on it may have failed.
func TestReports(t *testing.T) {
	inFleet(t, "a", 2, func(f *fleet) {
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

// lister is a platform list that fails at first.
type lister struct{ fails, calls int }

func (l *lister) Instances(context.Context, string) ([]kvstore.Instance, error) {
	if l.calls++; l.calls <= l.fails {
		return nil, failure.New(failure.Unavailable, "", "store is down")
	}
	return []kvstore.Instance{
		{ID: "a0", Address: "a0", Domain: "a", State: kvstore.Live},
		{ID: "gone", Address: "gone", Domain: "a", State: kvstore.Leaving},
	}, nil
}

// TestLister guards against an instance without seeds that stays alone, and
// against polls that load the store.
func TestLister(t *testing.T) {
	inFleet(t, "a", 2, func(f *fleet) {
		l := &lister{fails: 2}
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

// TestRendezvous guards against an uneven choice and against one that moves
// keys of members that stay.
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
		t.Error("an empty list has a choice")
	}
}
