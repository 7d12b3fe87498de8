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

// fakeLeases is an in-memory lease service. The token of a lease grows with each
// change of its holder.
type fakeLeases struct {
	sync.Mutex
	held map[string]kvstore.Lease
	err  error
	// onGranted has functions by holder that run after a lease was granted and
	// before the caller gets it.
	onGranted map[string]func()
}

func (f *fakeLeases) AcquireLease(_ context.Context, name, holder string, ttl time.Duration) (kvstore.Lease, error) {
	lease, err := f.grant(name, holder, time.Now(), ttl)
	if hook := f.onGranted[holder]; hook != nil {
		hook()
	}
	return lease, err
}

func (f *fakeLeases) grant(name, holder string, now time.Time, ttl time.Duration) (kvstore.Lease, error) {
	f.Lock()
	defer f.Unlock()
	held := f.held[name]
	if f.err != nil {
		return kvstore.Lease{}, f.err
	}
	if held.Holder != holder && held.Holder != "" && now.Before(held.Expires) {
		return kvstore.Lease{}, failure.New(failure.Conflict, "wait", "held by %s", held.Holder)
	}
	if held.Holder != holder {
		held.Token++
	}
	f.held[name] = kvstore.Lease{Name: name, Holder: holder, Token: held.Token, Expires: now.Add(ttl)}
	return f.held[name], nil
}

func (f *fakeLeases) ReleaseLease(_ context.Context, name, holder string) error {
	f.Lock()
	defer f.Unlock()
	if h := f.held[name]; h.Holder == holder {
		f.held[name] = kvstore.Lease{Token: h.Token}
	}
	return nil
}

// fakeTransport calls an engine in the same process.
type fakeTransport struct {
	handler      http.Handler
	beforeOrder  func() // runs before each order
	loseAnswers  bool   // orders take effect without an answer
	ignoreOrders bool   // orders are accepted without effect
	orderCount   int
}

func (f *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPost {
		if f.beforeOrder != nil {
			f.beforeOrder()
		}
		f.orderCount++
	}
	// The call has no deadline, because an order in flight outlives its caller.
	w := httptest.NewRecorder()
	if f.ignoreOrders && r.Method == http.MethodPost {
		return w.Result(), nil
	}
	f.handler.ServeHTTP(w, r.WithContext(context.Background()))
	if f.loseAnswers && r.Method == http.MethodPost {
		return nil, io.ErrUnexpectedEOF
	}
	return w.Result(), nil
}

// testDocument returns a configuration that desires a model for the engine "e".
func testDocument(model string) *config.Document {
	return &config.Document{
		Services: []config.Service{{Name: "m", Endpoints: []config.Endpoint{{ID: "e", Address: "e"}}}},
		Engines:  []config.EngineState{{Endpoint: "e", Model: model, Adapters: []string{"y", "x"}}},
	}
}

// testSetup is an engine and a lease service for several reconcilers.
type testSetup struct {
	leases  *fakeLeases
	handler http.Handler
}

func newTestSetup(t *testing.T, ignoreFencing bool) *testSetup {
	t.Helper()
	e := engine.New(engine.Options{ID: "e", Model: "first", IgnoreFencing: ignoreFencing})
	t.Cleanup(e.Close)
	handler, err := e.Handler()
	if err != nil {
		t.Fatal(err)
	}
	return &testSetup{&fakeLeases{held: map[string]kvstore.Lease{}, onGranted: map[string]func(){}}, handler}
}

// newReconciler returns a reconciler that desires a model, and its transport.
func (s *testSetup) newReconciler(instance, model string) (*Reconciler, *fakeTransport) {
	transport := &fakeTransport{handler: s.handler}
	r := New(Options{Instance: instance, Transport: transport}, s.leases, &logrus.Logger{Out: io.Discard}, nil)
	r.Update(testDocument(model))
	return r, transport
}

// readModel returns the model that the engine runs.
func (s *testSetup) readModel(t *testing.T) string {
	t.Helper()
	c := &client{http: &http.Client{Transport: &fakeTransport{handler: s.handler}}}
	state, err := c.readState(t.Context(), config.Endpoint{ID: "e", Address: "e"})
	if err != nil {
		t.Fatal(err)
	}
	return state.Model
}

// TestPausedReconciler guards against a reconciler that is paused past the end of
// its lease and then sets the engine back to an old state.
func TestPausedReconciler(t *testing.T) {
	tests := []struct {
		desc          string
		ignoreFencing bool
		orderInFlight bool   // paused after its last check of the lease
		wantOrders    int    // orders of the paused reconciler that reach the engine
		wantModel     string // after the pause
	}{
		{desc: "engine checks fencing, paused before the order", wantModel: "new"},
		{desc: "engine ignores fencing, paused before the order", ignoreFencing: true, wantModel: "new"},
		{desc: "engine checks fencing, order in flight", orderInFlight: true, wantOrders: 1, wantModel: "new"},
		{desc: "engine ignores fencing, order in flight", ignoreFencing: true, orderInFlight: true, wantOrders: 1, wantModel: "old"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestSetup(t, tt.ignoreFencing)
				paused, pausedTransport := s.newReconciler("old", "old")
				next, _ := s.newReconciler("next", "new")
				pause := func() { time.Sleep(time.Minute) }
				if tt.orderInFlight {
					pausedTransport.beforeOrder = pause
				} else {
					s.leases.onGranted["old"] = pause
				}
				done := make(chan struct{})
				go func() { paused.reconcileAll(t.Context()); close(done) }()
				synctest.Wait()
				next.reconcileAll(t.Context())
				if v := next.Statuses()[0]; v.InSync || v.Err != nil {
					t.Fatalf("status while another instance holds the lease: %+v", v)
				}
				time.Sleep(30 * time.Second)
				next.reconcileAll(t.Context())
				if v := next.Statuses()[0]; !v.InSync || s.readModel(t) != "new" {
					t.Fatalf("status after the end of the lease: %+v", v)
				}
				<-done
				if got := s.readModel(t); got != tt.wantModel || pausedTransport.orderCount != tt.wantOrders {
					t.Errorf("after the pause: model %q, %d orders", got, pausedTransport.orderCount)
				}
				if v := paused.Statuses()[0]; v.InSync != (tt.wantModel == "old") {
					t.Errorf("status of the paused reconciler: %+v", v)
				}
				next.reconcileAll(t.Context())
				if v := next.Statuses()[0]; !v.InSync || s.readModel(t) != "new" {
					t.Errorf("after one more round: %+v", v)
				}
			})
		})
	}
}

// TestReconcileAll guards against orders that are not needed or sent without a
// lease, and against a reconciler that relies on the answer to an order.
func TestReconcileAll(t *testing.T) {
	down := failure.New(failure.Unavailable, "wait", "store is down")
	tests := []struct {
		desc       string
		prepare    func(s *testSetup, r *Reconciler, transport *fakeTransport)
		rounds     int
		wantOrders int
		wantInSync bool
		wantKind   failure.Kind
	}{
		{desc: "one order is enough", rounds: 3, wantOrders: 1, wantInSync: true},
		{desc: "lost answer is read back", prepare: func(_ *testSetup, _ *Reconciler, transport *fakeTransport) { transport.loseAnswers = true }, rounds: 1, wantOrders: 1, wantInSync: true},
		{desc: "store is down", prepare: func(s *testSetup, _ *Reconciler, _ *fakeTransport) { s.leases.err = down }, rounds: 2, wantKind: failure.Unavailable},
		{desc: "desired state changes before the order", rounds: 1, wantOrders: 1, wantInSync: true, prepare: func(s *testSetup, r *Reconciler, _ *fakeTransport) {
			s.leases.onGranted["i"] = func() { r.Update(testDocument("latest")) }
		}},
		{desc: "engine never shows the state", rounds: 1, wantOrders: 3, wantKind: failure.EndpointFailed, prepare: func(_ *testSetup, _ *Reconciler, transport *fakeTransport) {
			transport.ignoreOrders = true
		}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestSetup(t, false)
				r, transport := s.newReconciler("i", "wanted")
				if tt.prepare != nil {
					tt.prepare(s, r, transport)
				}
				for range tt.rounds {
					r.reconcileAll(t.Context())
				}
				status := r.Statuses()[0]
				if status.InSync != tt.wantInSync || failure.KindOf(status.Err) != tt.wantKind || transport.orderCount != tt.wantOrders {
					t.Errorf("%+v after %d orders", status, transport.orderCount)
				}
				desired, _ := r.currentDesired("e")
				if got := s.readModel(t); tt.wantInSync && got != desired.state.Model {
					t.Errorf("model %q, want %q", got, desired.state.Model)
				}
				if s.leases.held["orders/e"].Holder != "" {
					t.Error("the lease was not released")
				}
			})
		})
	}
}

// TestRun guards against goroutines that outlive Run, and against a new document
// that takes effect only after the interval.
func TestRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestSetup(t, false)
		r, _ := s.newReconciler("i", "one")
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { r.Run(ctx); close(done) }()
		synctest.Wait()
		r.Update(testDocument("two"))
		synctest.Wait()
		if got := s.readModel(t); got != "two" {
			t.Errorf("model %q", got)
		}
		cancel()
		<-done
	})
}
