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

func local(id string) config.Endpoint  { return config.Endpoint{ID: id, Domain: "here"} }
func remote(id string) config.Endpoint { return config.Endpoint{ID: id, Domain: "there"} }

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

// Guards against a source of a drain that is missed or cancelled by another one.
func TestDrain(t *testing.T) {
	leaving := []kvstore.Instance{{ID: "a", State: kvstore.Leaving}}
	operator := document(1, []string{"a"}, local("a"))
	plain := document(1, nil, local("a"))
	base := time.Unix(1000, 0)
	load := func(incarnation string, second int, draining bool) Load {
		return Load{Incarnation: incarnation, AsOf: base.Add(time.Duration(second) * time.Second), Draining: draining}
	}
	tests := []struct {
		desc  string
		steps func(p *Pool)
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
			tt.steps(p)
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

// Guards against a choice that ignores domain, limit, exclusion, reported load
// or isolation.
func TestChoice(t *testing.T) {
	one, two, locals := document(1, nil, remote("b"), local("a")), document(9, nil, remote("b"), local("a")), document(9, nil, local("a"), local("b"))
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
		{"own domain first", one, func(*Pool) {}, Request{}, "a"},
		{"other domain when the own one is full", one, acquire(Request{}), Request{}, "b"},
		{"excluded", one, func(*Pool) {}, Request{Exclude: map[string]bool{"a": true}}, "b"},
		{"down", one, func(p *Pool) { p.MarkDown("a", time.Now().Add(time.Hour)) }, Request{}, "b"},
		{"less reported load", locals, func(p *Pool) {
			p.Observe("a", Load{Running: 5, AsOf: time.Now(), Incarnation: "1"})
		}, Request{}, "b"},
		{"old reports count less than own requests", locals, func(p *Pool) {
			p.Observe("a", Load{Running: 5, AsOf: time.Now().Add(-time.Minute), Incarnation: "1"})
			mustAcquire(t, p, Request{Exclude: map[string]bool{"a": true}})
		}, Request{}, "a"},
		{"one suspect per endpoint", two, acquire(Request{Isolate: true}), Request{Isolate: true}, "b"},
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

// Guards against prefixes that wander between endpoints, or that overload one.
func TestAffinity(t *testing.T) {
	eps := []config.Endpoint{local("a"), local("b"), local("c"), local("d")}
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

// Guards against a queue that ignores priorities, leaks waiters, or waits for
// what cannot come.
func TestQueue(t *testing.T) {
	limited, gone, late := failure.Limited, failure.NoEndpoint, failure.Timeout
	release := func(_ *Pool, held *Slot, _ func()) { held.Release(Result{}) }
	drain := func(p *Pool, _ *Slot, _ func()) { p.Drain("a", DrainSourceEndpoint) }
	remove := func(p *Pool, _ *Slot, _ func()) { p.Update(&config.Document{}) }
	add := func(p *Pool, _ *Slot, _ func()) { p.Update(document(1, nil, local("a"), local("b"))) }
	type classes = []Priority
	type kinds = []failure.Kind
	tests := []struct {
		desc     string
		requests classes
		then     func(p *Pool, held *Slot, cancel func())
		order    []int
		kinds    kinds
	}{
		{"by priority, then arrival", classes{Low, Normal, Normal, High}, release, []int{3, 1, 2, 0}, kinds{"", "", "", ""}},
		{
			"full queue refuses the newcomer, or the last of a lower class", classes{Normal, Low, Low, Low, Low, High}, release,
			[]int{4, 3, 5, 0, 1, 2}, kinds{limited, limited, "", "", "", ""},
		},
		{"drained while waiting", classes{Normal, Low}, drain, []int{0, 1}, kinds{gone, gone}},
		{"service removed while waiting", classes{Normal}, remove, []int{0}, kinds{gone}},
		{"cancelled while waiting", classes{Normal}, func(_ *Pool, _ *Slot, cancel func()) { cancel() }, []int{0}, kinds{late}},
		{"endpoint added while waiting", classes{Normal}, add, []int{0}, kinds{""}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				p := newPool(document(1, nil, local("a")), Options{QueueLimit: 4})
				held := mustAcquire(t, p, Request{})
				ended := make(chan int, len(tt.requests))
				errs := make([]error, len(tt.requests))
				for n, class := range tt.requests {
					go func() {
						slot, err := p.Acquire(ctx, Request{Service: "s", Priority: class})
						errs[n] = err
						ended <- n
						if err == nil {
							slot.Release(Result{})
						}
					}()
					synctest.Wait()
				}
				tt.then(p, held, cancel)
				synctest.Wait()
				var got []int
				var kinds kinds
				for range tt.requests {
					n := <-ended
					got, kinds = append(got, n), append(kinds, failure.KindOf(errs[n]))
				}
				if kinds[0] == gone {
					slices.Sort(got) // all end at the same moment
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

// Guards against queueing of requests that cannot start in time, and against
// refusing those that can.
func TestDeadline(t *testing.T) {
	tests := []struct {
		desc    string
		samples int
		allowed time.Duration
		want    failure.Kind
		waited  time.Duration
	}{
		{desc: "shed at once", samples: 20, allowed: 5 * time.Second, want: failure.Limited},
		{desc: "too few samples to refuse", samples: 2, allowed: 5 * time.Second, want: failure.Timeout, waited: 5 * time.Second},
		{desc: "enough time", samples: 20, allowed: 30 * time.Second, waited: 10 * time.Second},
		{desc: "already over", allowed: -time.Second, want: failure.Timeout},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPool(document(1, nil, local("a")), Options{})
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

// Guards against a waiter that sleeps although an endpoint came back up, which
// no other event shows.
func TestDownEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPool(document(1, nil, local("a"), local("b")), Options{})
		p.MarkDown("b", time.Now().Add(3*time.Second))
		mustAcquire(t, p, Request{})
		begin := time.Now()
		if s := mustAcquire(t, p, Request{}); s.Endpoint.ID != "b" || time.Since(begin) != 3*time.Second {
			t.Errorf("%s after %v", s.Endpoint.ID, time.Since(begin))
		}
	})
}

// Guards against retry storms, and against no retry at all at little traffic.
func TestRetryBudget(t *testing.T) {
	now := time.Unix(0, 0).Add(time.Hour)
	take := func(b *RetryBudget) (n int) {
		for b.AllowRetry(now) && n < 1000 {
			n++
		}
		return n
	}
	var b RetryBudget
	if n := take(&b); n != retryFloor {
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
	if n := take(&b); n > retryBurst {
		t.Errorf("%d retries after many attempts", n)
	}
	now = now.Add(retryInterval)
	if n := take(&b); n != 1 {
		t.Errorf("%d retries after a quiet interval", n)
	}
}
