package probe

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/routing"
)

// fakeTransport responds to probes without sockets. A response is a body, "refused"
// for a refused connection, or "silent" for no response.
type fakeTransport struct {
	mu                    sync.Mutex
	responses             sync.Map // by host
	calls                 map[string]int
	inFlight, maxInFlight int
}

func (f *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	f.calls[r.URL.Host]++
	f.inFlight++
	f.maxInFlight = max(f.maxInFlight, f.inFlight)
	f.mu.Unlock()
	defer func() { f.mu.Lock(); f.inFlight--; f.mu.Unlock() }()
	response, _ := f.responses.Load(r.URL.Host)
	switch response {
	case "refused":
		return nil, syscall.ECONNREFUSED
	case "silent":
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return &http.Response{StatusCode: 200, Body: io.NopCloser(strings.NewReader(response.(string)))}, nil
}

func loadReport(incarnation string, draining bool) string {
	return fmt.Sprintf(`{"running":3,"draining":%v,"incarnation":%q}`, draining, incarnation)
}

// fakeLister returns the stored list, or an error if there is none.
type fakeLister struct {
	list atomic.Pointer[[]kvstore.Instance]
}

func (l *fakeLister) Instances(context.Context, string) ([]kvstore.Instance, error) {
	if list := l.list.Load(); list != nil {
		return *list, nil
	}
	return nil, errors.New("store is down")
}

type fixture struct {
	transport *fakeTransport
	lister    *fakeLister
	pool      *routing.Pool
	deaths    []string
}

// runProber runs a prober of the endpoints a (model) and b (app) in a synctest bubble,
// together with a number of endpoints that do not respond, and calls check while it
// runs. The test fails if goroutines remain after the prober has stopped.
func runProber(t *testing.T, opts Options, silentEndpoints int, check func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{
			transport: &fakeTransport{calls: map[string]int{}}, lister: &fakeLister{}, pool: routing.New("", routing.Options{Seed: 1}, nil),
		}
		f.transport.responses.Store("a", loadReport("1", false))
		f.transport.responses.Store("b", loadReport("1", false))
		doc := &config.Document{Services: []config.Service{
			{Name: "m", Kind: config.ModelService, Endpoints: []config.Endpoint{{ID: "a", Address: "a"}}},
			{Name: "p", Kind: config.AppService, Endpoints: []config.Endpoint{{ID: "b", Address: "http://b/"}}},
		}}
		for i := range silentEndpoints {
			id := fmt.Sprintf("x%d", i)
			f.transport.responses.Store(id, "silent")
			doc.Services[0].Endpoints = append(doc.Services[0].Endpoints, config.Endpoint{ID: id, Address: id})
		}
		f.pool.Update(doc)
		opts.Transport = f.transport
		died := func(id, incarnation string) { f.deaths = append(f.deaths, id+" "+incarnation) }
		p := New(opts, f.pool, f.lister, died, &logrus.Logger{Out: io.Discard}, nil)
		p.Update(doc)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { p.Run(ctx); close(done) }()
		sleepAndWait(2 * time.Second)
		check(f)
		cancel()
		<-done
	})
}

// sleepAndWait sleeps for d and waits until all goroutines of the bubble are blocked.
func sleepAndWait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// acceptsWork reports whether the pool assigns requests to endpoint a.
func (f *fixture) acceptsWork(t *testing.T) bool {
	s, err := f.pool.Acquire(t.Context(), routing.Request{Service: "m"})
	if err != nil && !failure.Is(err, failure.NoEndpoint) {
		t.Fatal(err)
	}
	if s != nil {
		s.Release(routing.Result{})
	}
	return err == nil
}

// Guards against a death that is missed, reported twice or reported without reason,
// and against requests assigned to an endpoint that is down or draining.
func TestDeaths(t *testing.T) {
	tests := []struct {
		desc        string
		responses   []string // of endpoint a, each for 10 s
		wantDeaths  string
		wantAccepts bool
	}{
		{desc: "healthy", responses: []string{loadReport("1", false)}, wantAccepts: true},
		{desc: "draining", responses: []string{loadReport("1", true), loadReport("1", false)}},
		{desc: "refused", responses: []string{"refused"}, wantDeaths: "a 1"},
		{desc: "restarted between two probes", responses: []string{loadReport("2", false)}, wantDeaths: "a 1", wantAccepts: true},
		{desc: "refused, then restarted", responses: []string{"refused", loadReport("2", false)}, wantDeaths: "a 1", wantAccepts: true},
		{desc: "refused, then the same process", responses: []string{"refused", loadReport("1", false)}, wantDeaths: "a 1", wantAccepts: true},
		{desc: "two deaths", responses: []string{"refused", loadReport("2", false), "refused"}, wantDeaths: "a 1,a 2"},
		{desc: "silent", responses: []string{"silent"}},
		{desc: "silent, then back", responses: []string{"silent", loadReport("1", false)}, wantAccepts: true},
		{desc: "silent, then restarted", responses: []string{"silent", loadReport("2", false)}, wantDeaths: "a 1", wantAccepts: true},
		{desc: "malformed report", responses: []string{"{"}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			runProber(t, Options{}, 0, func(f *fixture) {
				for _, response := range tt.responses {
					f.transport.responses.Store("a", response)
					sleepAndWait(10 * time.Second)
				}
				if got := strings.Join(f.deaths, ","); got != tt.wantDeaths {
					t.Errorf("deaths %q, want %q", got, tt.wantDeaths)
				}
				if f.acceptsWork(t) != tt.wantAccepts {
					t.Errorf("endpoint accepts work: %v", !tt.wantAccepts)
				}
				if f.pool.View()[0].Load.Running != 3 {
					t.Error("the pool did not receive the reported load")
				}
			})
		})
	}
}

// Guards against requests assigned to endpoints that the platform lists as leaving,
// also after a later read of the list fails.
func TestPlatformList(t *testing.T) {
	runProber(t, Options{}, 0, func(f *fixture) {
		f.lister.list.Store(&[]kvstore.Instance{{ID: "a", State: kvstore.Leaving}})
		sleepAndWait(15 * time.Second)
		if f.acceptsWork(t) {
			t.Error("a leaving endpoint accepts work")
		}
		f.lister.list.Store(nil)
		sleepAndWait(time.Minute)
		if f.acceptsWork(t) {
			t.Error("a failed read of the list ended the drain")
		}
	})
}

// Guards against a probe rate and concurrency that grow with the number of endpoints.
func TestProbeLimits(t *testing.T) {
	const silentEndpoints = 98
	runProber(t, Options{MaxProbesPerSecond: 5, MaxConcurrentProbes: 4}, silentEndpoints, func(f *fixture) {
		sleepAndWait(time.Minute)
		f.transport.mu.Lock()
		f.transport.calls = map[string]int{}
		f.transport.mu.Unlock()
		sleepAndWait(100 * time.Second)
		f.transport.mu.Lock()
		defer f.transport.mu.Unlock()
		total := 0
		for _, n := range f.transport.calls {
			total += n
		}
		if limit := 5 * 100 * 1.25; float64(total) > limit || f.transport.maxInFlight > 4 || len(f.transport.calls) != silentEndpoints+2 {
			t.Errorf("%d probes of %d endpoints, %d at a time", total, len(f.transport.calls), f.transport.maxInFlight)
		}
	})
}
