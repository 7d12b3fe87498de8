package routing

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

func document(concurrency int, drained []string, endpoints ...config.Endpoint) *config.Document {
	return &config.Document{Drained: drained, Services: []config.Service{
		{Name: "s", Concurrency: concurrency, Endpoints: endpoints},
	}}
}

func localEndpoint(id string) config.Endpoint  { return config.Endpoint{ID: id, Domain: "here"} }
func remoteEndpoint(id string) config.Endpoint { return config.Endpoint{ID: id, Domain: "there"} }

func newPool(doc *config.Document, o Options) *Pool {
	o.Seed = 1
	p := New("here", o, nil)
	p.Update(doc)
	return p
}

func mustAcquire(t *testing.T, p *Pool, r Request) *Slot {
	t.Helper()
	r.Service = "s"
	s, err := p.Acquire(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Guards against a drain that is ignored or ended by another source.
func TestDrain(t *testing.T) {
	leaving := []kvstore.Instance{{ID: "a", State: kvstore.Leaving}}
	operator := document(1, []string{"a"}, localEndpoint("a"))
	plain := document(1, nil, localEndpoint("a"))
	base := time.Unix(1000, 0)
	load := func(incarnation string, second int, draining bool) Load {
		return Load{Incarnation: incarnation, AsOf: base.Add(time.Duration(second) * time.Second), Draining: draining}
	}
	tests := []struct {
		desc  string
		setup func(p *Pool)
		want  []DrainSource
	}{
		{"none", func(*Pool) {}, nil},
		{"operator", func(p *Pool) { p.Update(operator) }, []DrainSource{DrainSourceOperator}},
		{"operator ends", func(p *Pool) { p.Update(operator); p.Update(plain) }, nil},
		{"platform", func(p *Pool) { p.SetPlatformList(leaving) }, []DrainSource{DrainSourcePlatform}},
		{"platform before the document", func(p *Pool) {
			p.Update(document(1, nil))
			p.SetPlatformList(leaving)
			p.Update(plain)
		}, []DrainSource{DrainSourcePlatform}},
		{"platform ends, operator stays", func(p *Pool) {
			p.Update(operator)
			p.SetPlatformList(leaving)
			p.SetPlatformList(nil)
		}, []DrainSource{DrainSourceOperator}},
		{"own signal outlives a later report of the same incarnation", func(p *Pool) {
			p.Observe("a", load("1", 1, true))
			p.Observe("a", load("1", 2, false))
			p.Update(plain)
			p.SetPlatformList(nil)
		}, []DrainSource{DrainSourceEndpoint}},
		{"own signal before the first report", func(p *Pool) {
			p.Drain("a", DrainSourceEndpoint)
			p.Observe("a", load("1", 1, false))
		}, []DrainSource{DrainSourceEndpoint}},
		{"own signal ends with a new incarnation whose clock is behind", func(p *Pool) {
			p.Observe("a", load("1", 9, true))
			p.Observe("a", load("2", 1, false))
		}, nil},
		{"late report of the old incarnation", func(p *Pool) {
			p.Observe("a", load("1", 1, false))
			p.Observe("a", load("2", 2, true))
			p.Observe("a", load("1", 3, false))
		}, []DrainSource{DrainSourceEndpoint}},
		{"all", func(p *Pool) {
			p.Update(operator)
			p.Drain("a", DrainSourceEndpoint)
			p.SetPlatformList(leaving)
		}, []DrainSource{DrainSourceOperator, DrainSourceEndpoint, DrainSourcePlatform}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			p := newPool(plain, Options{})
			held := mustAcquire(t, p, Request{})
			held.Release(Result{})
			held.Release(Result{}) // a second release must not free another slot
			tt.setup(p)
			if got := p.View()[0].Drains; !slices.Equal(got, tt.want) {
				t.Errorf("drains %v, want %v", got, tt.want)
			}
			_, err := p.Acquire(t.Context(), Request{Service: "s"})
			if want := tt.want != nil; failure.Is(err, failure.NoEndpoint) != want {
				t.Errorf("acquire: %v", err)
			}
			if n := p.View()[0].InFlight; n > 1 || n < 0 {
				t.Errorf("%d in flight", n)
			}
		})
	}
}

// Guards against a choice that ignores the domain, the limit, exclusion, the
// reported load or isolation.
func TestChoice(t *testing.T) {
	oneSlot, manySlots, twoLocal := document(1, nil, remoteEndpoint("b"), localEndpoint("a")), document(9, nil, remoteEndpoint("b"), localEndpoint("a")), document(9, nil, localEndpoint("a"), localEndpoint("b"))
	acquire := func(r Request) func(*Pool) {
		return func(p *Pool) { mustAcquire(t, p, r) }
	}
	tests := []struct {
		desc  string
		doc   *config.Document
		setup func(p *Pool)
		req   Request
		want  string
	}{
		{"own domain first", oneSlot, func(*Pool) {}, Request{}, "a"},
		{"other domain when the own one is full", oneSlot, acquire(Request{}), Request{}, "b"},
		{"excluded", oneSlot, func(*Pool) {}, Request{Exclude: map[string]bool{"a": true}}, "b"},
		{"down", oneSlot, func(p *Pool) { p.MarkDown("a", time.Now().Add(time.Hour)) }, Request{}, "b"},
		{"less reported load", twoLocal, func(p *Pool) {
			p.Observe("a", Load{Running: 5, AsOf: time.Now(), Incarnation: "1"})
		}, Request{}, "b"},
		{"old reports count less than own requests", twoLocal, func(p *Pool) {
			p.Observe("a", Load{Running: 5, AsOf: time.Now().Add(-time.Minute), Incarnation: "1"})
			mustAcquire(t, p, Request{Exclude: map[string]bool{"a": true}})
		}, Request{}, "a"},
		{"one suspect per endpoint", manySlots, acquire(Request{Isolate: true}), Request{Isolate: true}, "b"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPool(tt.doc, Options{})
				tt.setup(p)
				if got := mustAcquire(t, p, tt.req).Endpoint.ID; got != tt.want {
					t.Errorf("chose %s, want %s", got, tt.want)
				}
			})
		})
	}
}

// Guards against requests of one prefix that change between endpoints without need
// or overload one endpoint.
func TestAffinity(t *testing.T) {
	eps := []config.Endpoint{localEndpoint("a"), localEndpoint("b"), localEndpoint("c"), localEndpoint("d")}
	p := newPool(document(100, nil, eps...), Options{SpillMargin: 2})
	used := map[string]int{}
	for key := uint64(1); key <= 200; key++ {
		s := mustAcquire(t, p, Request{Affinity: key})
		again := mustAcquire(t, p, Request{Affinity: key})
		used[s.Endpoint.ID]++
		if s.Endpoint.ID != again.Endpoint.ID {
			t.Fatalf("prefix %d went to %s and %s", key, s.Endpoint.ID, again.Endpoint.ID)
		}
		s.Release(Result{})
		again.Release(Result{})
	}
	for id, n := range used {
		if len(used) != 4 || n < 25 {
			t.Errorf("%d of 200 prefixes on %s", n, id)
		}
	}
	counts := map[string]int{}
	for range 20 {
		counts[mustAcquire(t, p, Request{Affinity: 7}).Endpoint.ID]++
	}
	if len(counts) != 2 {
		t.Errorf("one busy prefix used %v, want two endpoints", counts)
	}
}

// Guards against a queue that ignores priorities, leaks waiters, or keeps waiters
// that no endpoint can serve.
func TestQueue(t *testing.T) {
	limited, noEndpoint, timeout := failure.Limited, failure.NoEndpoint, failure.Timeout
	release := func(_ *Pool, held *Slot, _ func()) { held.Release(Result{}) }
	drain := func(p *Pool, _ *Slot, _ func()) { p.Drain("a", DrainSourceEndpoint) }
	remove := func(p *Pool, _ *Slot, _ func()) { p.Update(&config.Document{}) }
	add := func(p *Pool, _ *Slot, _ func()) { p.Update(document(1, nil, localEndpoint("a"), localEndpoint("b"))) }
	type priorities = []Priority
	type kinds = []failure.Kind
	tests := []struct {
		desc     string
		requests priorities
		event    func(p *Pool, held *Slot, cancel func())
		order    []int
		kinds    kinds
	}{
		{"by priority, then arrival", priorities{Low, Normal, Normal, High}, release, []int{3, 1, 2, 0}, kinds{"", "", "", ""}},
		{
			"full queue refuses the new request, or the last one of a lower priority", priorities{Normal, Low, Low, Low, Low, High}, release,
			[]int{4, 3, 5, 0, 1, 2}, kinds{limited, limited, "", "", "", ""},
		},
		{"drained while waiting", priorities{Normal, Low}, drain, []int{0, 1}, kinds{noEndpoint, noEndpoint}},
		{"service removed while waiting", priorities{Normal}, remove, []int{0}, kinds{noEndpoint}},
		{"cancelled while waiting", priorities{Normal}, func(_ *Pool, _ *Slot, cancel func()) { cancel() }, []int{0}, kinds{timeout}},
		{"endpoint added while waiting", priorities{Normal}, add, []int{0}, kinds{""}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				p := newPool(document(1, nil, localEndpoint("a")), Options{QueueLimit: 4})
				held := mustAcquire(t, p, Request{})
				ended := make(chan int, len(tt.requests))
				errs := make([]error, len(tt.requests))
				for n, priority := range tt.requests {
					go func() {
						slot, err := p.Acquire(ctx, Request{Service: "s", Priority: priority})
						errs[n] = err
						ended <- n
						if err == nil {
							slot.Release(Result{})
						}
					}()
					synctest.Wait()
				}
				tt.event(p, held, cancel)
				synctest.Wait()
				var got []int
				var kinds kinds
				for range tt.requests {
					n := <-ended
					got, kinds = append(got, n), append(kinds, failure.KindOf(errs[n]))
				}
				if kinds[0] == noEndpoint {
					slices.Sort(got) // all end at the same time, in any order
				}
				if !slices.Equal(got, tt.order) || !slices.Equal(kinds, tt.kinds) {
					t.Errorf("order %v, kinds %q; want %v, %q", got, kinds, tt.order, tt.kinds)
				}
				if p.View() != nil && p.View()[0].Queued != 0 {
					t.Error("a waiter is left in the queue")
				}
			})
		})
	}
}

// Guards against queueing requests that cannot start before their deadline, and
// against refusing those that can.
func TestDeadline(t *testing.T) {
	tests := []struct {
		desc    string
		samples int
		allowed time.Duration
		want    failure.Kind
		waited  time.Duration
	}{
		{desc: "refused immediately", samples: 20, allowed: 5 * time.Second, want: failure.Limited},
		{desc: "too few samples to refuse", samples: 2, allowed: 5 * time.Second, want: failure.Timeout, waited: 5 * time.Second},
		{desc: "enough time", samples: 20, allowed: 30 * time.Second, waited: 10 * time.Second},
		{desc: "deadline already passed", allowed: -time.Second, want: failure.Timeout},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPool(document(1, nil, localEndpoint("a")), Options{})
				for range tt.samples {
					mustAcquire(t, p, Request{}).Release(Result{Duration: 10 * time.Second})
				}
				held := mustAcquire(t, p, Request{})
				time.AfterFunc(10*time.Second, func() { held.Release(Result{}) })
				begin := time.Now()
				_, err := p.Acquire(t.Context(), Request{Service: "s", Deadline: begin.Add(tt.allowed)})
				if failure.KindOf(err) != tt.want || time.Since(begin) != tt.waited {
					t.Errorf("%v after %v; want %q after %v", err, time.Since(begin), tt.want, tt.waited)
				}
			})
		})
	}
}

// Guards against a waiter that keeps waiting after an endpoint is no longer marked
// down. No other event wakes the waiter then.
func TestDownEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(document(1, nil, localEndpoint("a"), localEndpoint("b")), Options{})
		p.MarkDown("b", time.Now().Add(3*time.Second))
		mustAcquire(t, p, Request{})
		begin := time.Now()
		if s := mustAcquire(t, p, Request{}); s.Endpoint.ID != "b" || time.Since(begin) != 3*time.Second {
			t.Errorf("%s after %v", s.Endpoint.ID, time.Since(begin))
		}
	})
}

// Guards against retry storms, and against refusing all retries under little
// traffic.
func TestRetryBudget(t *testing.T) {
	now := time.Unix(0, 0).Add(time.Hour)
	take := func(b *RetryBudget) (n int) {
		for b.AllowRetry(now) && n < 1000 {
			n++
		}
		return n
	}
	var b RetryBudget
	if n := take(&b); n != initialRetryTokens {
		t.Errorf("%d retries at the start", n)
	}
	for range 100 {
		b.RecordAttempt()
	}
	if n := take(&b); n < 9 || n > 10 {
		t.Errorf("%d retries after 100 attempts", n)
	}
	for range 100000 {
		b.RecordAttempt()
	}
	if n := take(&b); n > maxRetryTokens {
		t.Errorf("%d retries after many attempts", n)
	}
	now = now.Add(guaranteedRetryInterval)
	if n := take(&b); n != 1 {
		t.Errorf("%d retries after a quiet interval", n)
	}
}
