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

// network answers probes without sockets. An answer is a body, "refused" or
// "silent".
type network struct {
	mu         sync.Mutex
	answers    sync.Map // by host
	calls      map[string]int
	busy, most int
}

func (n *network) RoundTrip(r *http.Request) (*http.Response, error) {
	n.mu.Lock()
	n.calls[r.URL.Host]++
	n.busy++
	n.most = max(n.most, n.busy)
	n.mu.Unlock()
	defer func() { n.mu.Lock(); n.busy--; n.mu.Unlock() }()
	answer, _ := n.answers.Load(r.URL.Host)
	switch answer {
	case "refused":
		return nil, syscall.ECONNREFUSED
	case "silent":
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return &http.Response{StatusCode: 200, Body: io.NopCloser(strings.NewReader(answer.(string)))}, nil
}

func loadReport(incarnation string, draining bool) string {
	return fmt.Sprintf(`{"running":3,"draining":%v,"incarnation":%q}`, draining, incarnation)
}

// lister returns the list that is stored, or an error when there is none.
type lister struct {
	list atomic.Pointer[[]kvstore.Instance]
}

func (l *lister) Instances(context.Context, string) ([]kvstore.Instance, error) {
	if list := l.list.Load(); list != nil {
		return *list, nil
	}
	return nil, errors.New("store is down")
}

type fixture struct {
	net    *network
	list   *lister
	pool   *routing.Pool
	deaths []string
}

// probing runs a prober on endpoints a (model) and b (app) in a bubble, and
// checks that all goroutines end with it.
func probing(t *testing.T, o Options, extra int, check func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{
			net: &network{calls: map[string]int{}}, list: &lister{}, pool: routing.New("", routing.Options{Seed: 1}, nil),
		}
		f.net.answers.Store("a", loadReport("1", false))
		f.net.answers.Store("b", loadReport("1", false))
		doc := &config.Document{Services: []config.Service{
			{Name: "m", Kind: config.ModelService, Endpoints: []config.Endpoint{{ID: "a", Address: "a"}}},
			{Name: "p", Kind: config.AppService, Endpoints: []config.Endpoint{{ID: "b", Address: "http://b/"}}},
		}}
		for i := range extra {
			id := fmt.Sprintf("x%d", i)
			f.net.answers.Store(id, "silent")
			doc.Services[0].Endpoints = append(doc.Services[0].Endpoints, config.Endpoint{ID: id, Address: id})
		}
		f.pool.Update(doc)
		o.Transport = f.net
		died := func(id, incarnation string) { f.deaths = append(f.deaths, id+" "+incarnation) }
		p := New(o, f.pool, f.list, died, &logrus.Logger{Out: io.Discard}, nil)
		p.Update(doc)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { p.Run(ctx); close(done) }()
		settle(2 * time.Second)
		check(f)
		cancel()
		<-done
	})
}

func settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// accepts reports whether the pool gives work to endpoint a.
func (f *fixture) accepts(t *testing.T) bool {
	s, err := f.pool.Acquire(t.Context(), routing.Request{Service: "m"})
	if err != nil && !failure.Is(err, failure.NoEndpoint) {
		t.Fatal(err)
	}
	if s != nil {
		s.Release(routing.Result{})
	}
	return err == nil
}

// Guards against a death that is missed, invented or reported twice, and against
// work for an endpoint that is gone.
func TestDeaths(t *testing.T) {
	tests := []struct {
		desc    string
		answers []string // of endpoint a, each for some seconds
		deaths  string
		accepts bool
	}{
		{desc: "healthy", answers: []string{loadReport("1", false)}, accepts: true},
		{desc: "draining", answers: []string{loadReport("1", true), loadReport("1", false)}},
		{desc: "refused", answers: []string{"refused"}, deaths: "a 1"},
		{desc: "restarted between two probes", answers: []string{loadReport("2", false)}, deaths: "a 1", accepts: true},
		{desc: "refused, then restarted", answers: []string{"refused", loadReport("2", false)}, deaths: "a 1", accepts: true},
		{desc: "refused, then the same process", answers: []string{"refused", loadReport("1", false)}, deaths: "a 1", accepts: true},
		{desc: "two deaths", answers: []string{"refused", loadReport("2", false), "refused"}, deaths: "a 1,a 2"},
		{desc: "silent", answers: []string{"silent"}},
		{desc: "silent, then back", answers: []string{"silent", loadReport("1", false)}, accepts: true},
		{desc: "silent, then restarted", answers: []string{"silent", loadReport("2", false)}, deaths: "a 1", accepts: true},
		{desc: "malformed report", answers: []string{"{"}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			probing(t, Options{}, 0, func(f *fixture) {
				for _, answer := range tt.answers {
					f.net.answers.Store("a", answer)
					settle(10 * time.Second)
				}
				if got := strings.Join(f.deaths, ","); got != tt.deaths {
					t.Errorf("deaths %q, want %q", got, tt.deaths)
				}
				if f.accepts(t) != tt.accepts {
					t.Errorf("endpoint accepts work: %v", !tt.accepts)
				}
				if f.pool.View()[0].Load.Running != 3 {
					t.Error("no load was observed")
				}
			})
		})
	}
}

// Guards against endpoints that keep getting work although the platform says
// that they leave, also while the platform cannot be asked.
func TestPlatformList(t *testing.T) {
	probing(t, Options{}, 0, func(f *fixture) {
		f.list.list.Store(&[]kvstore.Instance{{ID: "a", State: kvstore.Leaving}})
		settle(15 * time.Second)
		if f.accepts(t) {
			t.Error("a leaving endpoint got work")
		}
		f.list.list.Store(nil)
		settle(time.Minute)
		if f.accepts(t) {
			t.Error("a failed read of the list ended the drain")
		}
	})
}

// Guards against probes that grow without bound with the number of endpoints.
func TestBounds(t *testing.T) {
	const extra = 98
	probing(t, Options{MaxProbesPerSecond: 5, MaxConcurrentProbes: 4}, extra, func(f *fixture) {
		settle(time.Minute)
		f.net.mu.Lock()
		f.net.calls = map[string]int{}
		f.net.mu.Unlock()
		settle(100 * time.Second)
		f.net.mu.Lock()
		defer f.net.mu.Unlock()
		total := 0
		for _, n := range f.net.calls {
			total += n
		}
		if limit := 5 * 100 * 1.25; float64(total) > limit || f.net.most > 4 || len(f.net.calls) != extra+2 {
			t.Errorf("%d probes of %d endpoints, %d at a time", total, len(f.net.calls), f.net.most)
		}
	})
}
