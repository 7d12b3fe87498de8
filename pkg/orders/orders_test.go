package orders

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/standins/engine"
)

// leases is a lease service whose token grows with each change of hands.
type leases struct {
	sync.Mutex
	held map[string]kvstore.Lease
	err  error
	// pause runs after a lease was granted and before the caller learns of it.
	pause map[string]func()
}

func (l *leases) AcquireLease(_ context.Context, name, holder string, ttl time.Duration) (kvstore.Lease, error) {
	lease, err := l.grant(name, holder, time.Now(), ttl)
	if pause := l.pause[holder]; pause != nil {
		pause()
	}
	return lease, err
}

func (l *leases) grant(name, holder string, now time.Time, ttl time.Duration) (kvstore.Lease, error) {
	l.Lock()
	defer l.Unlock()
	held := l.held[name]
	if l.err != nil {
		return kvstore.Lease{}, l.err
	}
	if held.Holder != holder && held.Holder != "" && now.Before(held.Expires) {
		return kvstore.Lease{}, failure.New(failure.Conflict, "wait", "held by %s", held.Holder)
	}
	if held.Holder != holder {
		held.Token++
	}
	l.held[name] = kvstore.Lease{Name: name, Holder: holder, Token: held.Token, Expires: now.Add(ttl)}
	return l.held[name], nil
}

func (l *leases) ReleaseLease(_ context.Context, name, holder string) error {
	l.Lock()
	defer l.Unlock()
	if h := l.held[name]; h.Holder == holder {
		l.held[name] = kvstore.Lease{Token: h.Token}
	}
	return nil
}

// link calls an engine in the same process. before runs before each order.
type link struct {
	handler http.Handler
	before  func()
	lose    bool // the answers to orders
	ignore  bool // accept orders without effect
	orders  int
}

func (l *link) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPost {
		if l.before != nil {
			l.before()
		}
		l.orders++
	}
	// The call goes on without its deadline, like a packet that is under way.
	w := httptest.NewRecorder()
	if l.ignore && r.Method == http.MethodPost {
		return w.Result(), nil
	}
	l.handler.ServeHTTP(w, r.WithContext(context.Background()))
	if l.lose && r.Method == http.MethodPost {
		return nil, io.ErrUnexpectedEOF
	}
	return w.Result(), nil
}

func doc(model string) *config.Document {
	return &config.Document{
		Services: []config.Service{{Name: "m", Endpoints: []config.Endpoint{{ID: "e", Address: "e"}}}},
		Engines:  []config.EngineState{{Endpoint: "e", Model: model, Adapters: []string{"y", "x"}}},
	}
}

type bench struct {
	leases  *leases
	handler http.Handler
}

func newBench(t *testing.T, ignoreFencing bool) *bench {
	t.Helper()
	e := engine.New(engine.Options{ID: "e", Model: "first", IgnoreFencing: ignoreFencing})
	t.Cleanup(e.Close)
	handler, err := e.Handler()
	if err != nil {
		t.Fatal(err)
	}
	return &bench{&leases{held: map[string]kvstore.Lease{}, pause: map[string]func(){}}, handler}
}

func (b *bench) orderer(instance, model string) (*Reconciler, *link) {
	l := &link{handler: b.handler}
	o := New(Options{Instance: instance, Transport: l}, b.leases, &logrus.Logger{Out: io.Discard}, nil)
	o.Update(doc(model))
	return o, l
}

// model reads the engine back.
func (b *bench) model(t *testing.T) string {
	t.Helper()
	c := &client{http: &http.Client{Transport: &link{handler: b.handler}}}
	s, err := c.state(t.Context(), config.Endpoint{ID: "e", Address: "e"})
	if err != nil {
		t.Fatal(err)
	}
	return s.Model
}

// Guards against an orderer that was paused, wakes up after the end of its lease
// and brings the engine back to an old state.
func TestPausedOrderer(t *testing.T) {
	tests := []struct {
		desc          string
		ignoreFencing bool
		underWay      bool // paused after its last look at the lease
		sent          int  // orders of the paused one that reach the engine
		woken         string
	}{
		{desc: "engine checks, paused before its order", woken: "new"},
		{desc: "engine ignores, paused before its order", ignoreFencing: true, woken: "new"},
		{desc: "engine checks, order under way", underWay: true, sent: 1, woken: "new"},
		{desc: "engine ignores, order under way", ignoreFencing: true, underWay: true, sent: 1, woken: "old"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, tt.ignoreFencing)
				old, oldLink := b.orderer("old", "old")
				next, _ := b.orderer("next", "new")
				pause := func() { time.Sleep(time.Minute) }
				if tt.underWay {
					oldLink.before = pause
				} else {
					b.leases.pause["old"] = pause
				}
				done := make(chan struct{})
				go func() { old.round(t.Context()); close(done) }()
				synctest.Wait()
				next.round(t.Context())
				if v := next.Statuses()[0]; v.InSync || v.Err != nil {
					t.Fatalf("the lease is not respected: %+v", v)
				}
				time.Sleep(30 * time.Second)
				next.round(t.Context())
				if v := next.Statuses()[0]; !v.InSync || b.model(t) != "new" {
					t.Fatalf("the next orderer is stuck: %+v", v)
				}
				<-done
				if got := b.model(t); got != tt.woken || oldLink.orders != tt.sent {
					t.Errorf("after the wake-up: model %q, %d orders", got, oldLink.orders)
				}
				if v := old.Statuses()[0]; v.InSync != (tt.woken == "old") {
					t.Errorf("view of the paused orderer: %+v", v)
				}
				next.round(t.Context())
				if v := next.Statuses()[0]; !v.InSync || b.model(t) != "new" {
					t.Errorf("after one more round: %+v", v)
				}
			})
		})
	}
}

// Guards against orders without need or without a lease, and against an orderer
// that trusts a lost answer.
func TestRound(t *testing.T) {
	down := failure.New(failure.Unavailable, "wait", "store is down")
	tests := []struct {
		desc   string
		setup  func(b *bench, o *Reconciler, l *link)
		rounds int
		orders int
		agrees bool
		kind   failure.Kind
	}{
		{desc: "one order is enough", rounds: 3, orders: 1, agrees: true},
		{desc: "lost answer is read back", setup: func(_ *bench, _ *Reconciler, l *link) { l.lose = true }, rounds: 1, orders: 1, agrees: true},
		{desc: "store is down", setup: func(b *bench, _ *Reconciler, _ *link) { b.leases.err = down }, rounds: 2, kind: failure.Unavailable},
		{desc: "wish changes before the order", rounds: 1, orders: 1, agrees: true, setup: func(b *bench, o *Reconciler, _ *link) {
			b.leases.pause["i"] = func() { o.Update(doc("latest")) }
		}},
		{desc: "engine never shows the state", rounds: 1, orders: 3, kind: failure.EndpointFailed, setup: func(_ *bench, _ *Reconciler, l *link) {
			l.ignore = true
		}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t, false)
				o, l := b.orderer("i", "wanted")
				if tt.setup != nil {
					tt.setup(b, o, l)
				}
				for range tt.rounds {
					o.round(t.Context())
				}
				v := o.Statuses()[0]
				if v.InSync != tt.agrees || failure.KindOf(v.Err) != tt.kind || l.orders != tt.orders {
					t.Errorf("%+v after %d orders", v, l.orders)
				}
				want, _ := o.want("e")
				if got := b.model(t); tt.agrees && got != want.state.Model {
					t.Errorf("model %q, want %q", got, want.state.Model)
				}
				if b.leases.held["orders/e"].Holder != "" {
					t.Error("the lease was kept")
				}
			})
		})
	}
}

// Guards against goroutines that outlive Run, and against a new document that
// waits for the next interval.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, false)
		o, _ := b.orderer("i", "one")
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { o.Run(ctx); close(done) }()
		synctest.Wait()
		o.Update(doc("two"))
		synctest.Wait()
		if got := b.model(t); got != "two" {
			t.Errorf("model %q", got)
		}
		cancel()
		<-done
	})
}
