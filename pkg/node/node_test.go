package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/node"
	"github.com/clementinerack/clementinerack/platform"
	"github.com/clementinerack/clementinerack/standins/machines"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// stateTimeout bounds the wait for an expected state. No test asserts a duration.
const stateTimeout = 20 * time.Second

// cuttableStore is the client of one instance. Its calls fail while cut is set.
type cuttableStore struct {
	*platform.Store
	cut atomic.Bool
}

func (c *cuttableStore) unavailableError() error {
	if c.cut.Load() {
		return failure.New(failure.Unavailable, "", "cut off")
	}
	return nil
}

func (c *cuttableStore) Commit(ctx context.Context, t kvstore.Transaction) (uint64, []kvstore.Item, error) {
	if err := c.unavailableError(); err != nil {
		return 0, nil, err
	}
	return c.Store.Commit(ctx, t)
}

func (c *cuttableStore) Range(ctx context.Context, prefix string, stale bool) ([]kvstore.Item, uint64, error) {
	if err := c.unavailableError(); err != nil {
		return nil, 0, err
	}
	return c.Store.Range(ctx, prefix, stale)
}

func (c *cuttableStore) Get(ctx context.Context, key string) (*kvstore.Item, uint64, error) {
	if err := c.unavailableError(); err != nil {
		return nil, 0, err
	}
	return c.Store.Get(ctx, key)
}

func (c *cuttableStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (kvstore.Changes, error) {
	if err := c.unavailableError(); err != nil {
		return kvstore.Changes{}, err
	}
	changes, err := c.Store.Watch(ctx, prefix, after, wait)
	if err := c.unavailableError(); err != nil {
		return kvstore.Changes{}, err // cut off during the wait
	}
	return changes, err
}

func (c *cuttableStore) KeepAlive(ctx context.Context, lease uint64) error {
	if err := c.unavailableError(); err != nil {
		return err
	}
	return c.Store.KeepAlive(ctx, lease)
}

// fleet holds nodes in this process and the stand-ins for the store and a runner.
type fleet struct {
	t      *testing.T
	store  *machines.Store
	server *httptest.Server
	runner *machines.Runner
	client *http.Client
	// tracksDomains is node.Options.TracksDomains of the members.
	tracksDomains bool
}

// member is one node of a fleet.
type member struct {
	f              *fleet
	callers, ready string
	metrics        string
	store          *cuttableStore
	stop           context.CancelFunc
	done           chan error
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	store, err := machines.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, store: store, server: httptest.NewServer(store), client: &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(f.server.Close)
	t.Cleanup(f.client.CloseIdleConnections)
	if f.runner, err = machines.StartRunner("r1", machines.Stream(1, 3, true)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.runner.Close)
	store.PutConfig(1, "chat", "book", "look")
	store.PutRunner(f.runner, "z")
	return f
}

// listeners holds listeners by address. They are opened before a node gets their
// addresses, so that no other test can take a port in between.
type listeners map[string]net.Listener

// address opens a listener and returns its address.
func (l listeners) address(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() }) // fails for those that the node used and closed
	l[ln.Addr().String()] = ln
	return ln.Addr().String()
}

func (l listeners) open(address string) (net.Listener, error) { return l[address], nil }

// start starts a node that runs until the end of the test, and waits until it is ready.
func (f *fleet) start(name string) *member {
	f.t.Helper()
	registry := prometheus.NewRegistry()
	log := logrus.New()
	log.SetOutput(io.Discard)
	opened := listeners{}
	m := &member{f: f, callers: opened.address(f.t), ready: opened.address(f.t), metrics: opened.address(f.t), done: make(chan error, 1),
		store: &cuttableStore{Store: platform.NewStore(strings.TrimPrefix(f.server.URL, "http://"), registry)}}
	source := platform.NewSource(m.store, log)
	if f.tracksDomains {
		source.TrackDomains(nil)
	}
	n := node.New(node.Options{
		TracksDomains: f.tracksDomains,
		Name:          name, Domain: "z", CallerAddress: m.callers, ReadyAddress: m.ready, PeerAddress: opened.address(f.t), MetricsAddress: m.metrics, Listen: opened.open,
		ReadyPath: "/ready", MetricsPath: "/metrics", Store: m.store, Source: source, Codec: platform.Codec{},
		Retry: node.RetryLimit{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}, ShutdownTimeout: 9 * time.Second, Log: log, Registry: registry,
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	go func() { m.done <- n.Run(ctx) }()
	f.t.Cleanup(func() { cancel(); <-m.done; m.store.Close() })
	f.waitUntil(name+" ready", m.isReady)
	return m
}

func (f *fleet) waitUntil(what string, ok func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(stateTimeout); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: not within %s", what, stateTimeout)
		}
	}
}

func (m *member) isReady() bool {
	resp, err := m.f.client.Get("http://" + m.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// send sends a request and returns the status and the body of the response.
func (m *member) send(path, tokenCounts string) (int, string) {
	status, body, err := m.sendWith(path, "id1", func(h http.Header) {
		if tokenCounts != "" {
			h.Set(machines.HeaderTokens, tokenCounts)
		}
	})
	if err != nil {
		return status, err.Error()
	}
	return status, body
}

// sendWith sends a request with the given ID and further fields of its header. It returns the
// status, what arrived of the body, and an error if that is not the whole response.
func (m *member) sendWith(path, id string, setHeader func(http.Header)) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+m.callers+path, strings.NewReader("body"))
	if err != nil {
		m.f.t.Error(err)
		return 0, "", err
	}
	req.Host = "h.example"
	req.Header.Set("Authorization", machines.KeyScheme+"key1")
	req.Header.Set(machines.HeaderRequestID, id)
	req.Header.Set(machines.HeaderDeadline, "5000")
	setHeader(req.Header)
	resp, err := m.f.client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

func threeEvents() string { return machines.Event(1) + machines.Event(2) + machines.Event(3) }

// Guards against a request path that is broken end to end for some kind of route.
func TestServesEachKind(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	m := f.start("n1")
	if status, body := m.send("/chat/1", "100,80"); status != 200 || body != threeEvents() {
		t.Errorf("stream: %d %q", status, body)
	}
	f.runner.SetScript(machines.Answer(200, "whole"))
	for _, path := range []string{"/book/1", "/look/1"} {
		if status, body := m.send(path, ""); status != 200 || body != "whole" {
			t.Errorf("%s: %d %q", path, status, body)
		}
	}
}

// Guards against an instance that has lost the store alone and keeps an old configuration
// or gets no rights from its peer.
func TestCutOffInstanceLearnsFromPeers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a, b := f.start("a"), f.start("b")
	f.waitUntil("both are listed", func() bool { return f.store.Count("instances/") == 2 })
	time.Sleep(1500 * time.Millisecond) // until both instances have read the list
	b.store.cut.Store(true)
	f.store.PutConfig(2, "chat", "book", "look", "new")
	f.runner.SetScript(machines.Answer(200, "whole"))
	f.waitUntil("a has the new route", func() bool { status, _ := a.send("/new/1", ""); return status == 200 })
	f.waitUntil("b has the new route", func() bool { status, _ := b.send("/new/1", ""); return status == 200 })
	f.runner.SetScript(machines.Stream(1, 3, true))
	a.store.cut.Store(true)
	f.waitUntil("b serves with the rights of a", func() bool { status, _ := b.send("/chat/1", "2500,0"); return status == 200 })
}

// Guards against a shutdown that cuts off a stream, or that leaves the rights of the
// instance unusable by the others.
func TestStopFinishesAndReturns(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	m := f.start("n1")
	arrived, proceed := make(chan struct{}), make(chan struct{})
	f.runner.SetScript(func(q *http.Request, b []byte, c net.Conn) bool {
		close(arrived)
		<-proceed
		return machines.Stream(1, 3, true)(q, b, c)
	})
	got := make(chan string)
	go func() { _, body := m.send("/chat/1", "100,80"); got <- body }()
	<-arrived
	m.stop()
	f.waitUntil("not ready", func() bool { return !m.isReady() })
	close(proceed)
	if body := <-got; body != threeEvents() {
		t.Errorf("the open stream got %q", body)
	}
	err := <-m.done
	m.done <- err // for the cleanup
	if err != nil {
		t.Error(err)
	}
	other := f.start("n2")
	f.runner.SetScript(machines.Stream(1, 3, true))
	// Another instance can take nearly all prepaid tokens.
	f.waitUntil("rights of the stopped instance", func() bool { status, _ := other.send("/chat/1", "95000,0"); return status == 200 })
}

// Guards against a stream that breaks off and looks complete to callers with HTTP/1.0.
func TestBrokenStreamIsNotCompleteForHTTP10(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	m := f.start("n1")
	f.runner.SetScript(machines.UnframedStream(1, 3, false))
	conn, err := net.Dial("tcp", m.callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "GET /chat/1 HTTP/1.0\r\nHost: %s\r\nAuthorization: %skey1\r\n%s: id1\r\n\r\n", machines.Host, machines.KeyScheme, machines.HeaderRequestID); err != nil {
		t.Fatal(err)
	}
	if answer, err := io.ReadAll(conn); err == nil {
		t.Errorf("the connection ended properly after %q", answer)
	}
}

// Guards against an instance that accepts requests before it has any declarations.
func TestNotReadyWithoutStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.SetFaults(func(string) machines.Fault { return machines.Unavailable })
	registry := prometheus.NewRegistry()
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := platform.NewStore(strings.TrimPrefix(f.server.URL, "http://"), registry)
	opened := listeners{}
	m := &member{f: f, callers: opened.address(t), ready: opened.address(t)}
	n := node.New(node.Options{Name: "n1", Domain: "z", CallerAddress: m.callers, ReadyAddress: m.ready, PeerAddress: opened.address(t), MetricsAddress: opened.address(t), Listen: opened.open,
		ReadyPath: "/ready", MetricsPath: "/metrics", Store: store, Source: platform.NewSource(store, log), Codec: platform.Codec{},
		ShutdownTimeout: 2 * time.Second, Log: log, Registry: registry})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- n.Run(ctx) }()
	f.waitUntil("an answer", func() bool { status, _ := m.send("/book/1", ""); return status == 503 })
	if m.isReady() {
		t.Error("the instance reports that it is ready")
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	store.Close()
}
