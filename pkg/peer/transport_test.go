package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/goleak"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startServer serves a transport with the handlers of registerHandlers on a
// loopback port.
func startServer(t *testing.T, opts Options) (*Transport, string) {
	t.Helper()
	tr := New(Identity{Instance: "server"}, opts, nil)
	registerHandlers(tr)
	srv := httptest.NewUnstartedServer(tr)
	if opts.TLS != nil {
		srv.TLS = opts.TLS.Clone()
		srv.StartTLS()
		opts.TLS.RootCAs = srv.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs
	} else {
		srv.Start()
	}
	t.Cleanup(srv.Close)
	t.Cleanup(func() { closeTransport(t, tr) })
	return tr, srv.Listener.Addr().String()
}

func newClient(t *testing.T, opts Options) *Transport {
	t.Helper()
	tr := New(Identity{Instance: "client", Incarnation: "c1"}, opts, nil)
	t.Cleanup(func() { closeTransport(t, tr) })
	return tr
}

func closeTransport(t *testing.T, tr *Transport) {
	if err := tr.Close(context.Background()); err != nil {
		t.Error(err)
	}
}

func registerHandlers(r Registrar) {
	r.Handle("echo", func(_ context.Context, from Identity, body []byte) (any, error) {
		var s string
		err := Unmarshal(body, &s)
		return from.Instance + ":" + s, err
	})
	r.Handle("refuse", func(context.Context, Identity, []byte) (any, error) {
		return nil, failure.New(failure.Fenced, "step down", "epoch 3 exists").WithOutcome(failure.NotRun)
	})
	r.Handle("hang", func(ctx context.Context, _ Identity, _ []byte) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	r.Handle("large", func(context.Context, Identity, []byte) (any, error) {
		return strings.Repeat("x", 2<<20), nil
	})
}

var testCredential = []byte("the shared credential")

// TestCallOutcomes guards against errors of the wrong kind and against a
// credential in an error message.
func TestCallOutcomes(t *testing.T) {
	cases := []struct {
		desc   string
		client Options
		method Method
		req    string
		kind   failure.Kind
	}{
		{"answered", Options{Credential: testCredential}, "echo", "hi", ""},
		{"typed error of the handler", Options{Credential: testCredential}, "refuse", "", failure.Fenced},
		{"unknown method", Options{Credential: testCredential}, "none", "", failure.Invalid},
		{"wrong credential", Options{Credential: []byte("another secret")}, "echo", "", failure.Unauthorized},
		{"no credential", Options{}, "echo", "", failure.Unauthorized},
		{"request above the limit", Options{Credential: testCredential, MaxMessageBytes: 100}, "echo", strings.Repeat("x", 101), failure.Invalid},
		{"answer above the limit", Options{Credential: testCredential}, "large", "", failure.Internal},
	}
	_, address := startServer(t, Options{Credential: testCredential, MaxMessageBytes: 1 << 20})
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			tr := newClient(t, c.client)
			for range 2 { // the second call uses the open connection
				var got string
				err := tr.Call(t.Context(), address, c.method, c.req, &got)
				if failure.KindOf(err) != c.kind || err == nil && got != "client:"+c.req {
					t.Errorf("got %q, %v, want kind %q", got, err, c.kind)
				}
				if text := fmt.Sprint(err); strings.Contains(text, "another secret") || strings.Contains(text, string(testCredential)) {
					t.Error(err)
				}
			}
		})
	}
}

// TestOnPeer guards against a side that does not learn the identity of its
// peer, and against one that accepts an identity without a proof.
func TestOnPeer(t *testing.T) {
	for _, tc := range []struct {
		desc       string
		credential []byte
		want       int
	}{
		{"credential known", testCredential, 1},
		{"wrong credential", []byte("another secret"), 0},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			peers := make(chan string, 4)
			recordPeer := func(id Identity) { peers <- id.Instance }
			_, address := startServer(t, Options{Credential: testCredential, OnPeer: recordPeer})
			tr := newClient(t, Options{Credential: tc.credential, OnPeer: recordPeer})
			var got string
			_ = tr.Call(t.Context(), address, "echo", "hi", &got) // fails without the credential
			if n := len(peers); n != 2*tc.want {
				t.Fatalf("OnPeer was called %d times, want %d", n, 2*tc.want)
			}
			if tc.want > 0 {
				if a, b := <-peers, <-peers; a == b {
					t.Errorf("both sides have the peer %q", a)
				}
			}
		})
	}
}

// TestTLS guards against a fallback to plain connections.
func TestTLS(t *testing.T) {
	opts := Options{Credential: testCredential, TLS: &tls.Config{MinVersion: tls.VersionTLS13}}
	_, address := startServer(t, opts)
	if err := newClient(t, opts).Call(t.Context(), address, "echo", "hi", nil); err != nil {
		t.Error(err)
	}
	if err := newClient(t, Options{Credential: testCredential}).Call(t.Context(), address, "echo", "hi", nil); !failure.Is(err, failure.Unavailable) {
		t.Errorf("plain call to a TLS server: %v", err)
	}
}

// TestVersionMismatch guards against accepting another protocol version or a
// hello without a nonce.
func TestVersionMismatch(t *testing.T) {
	for _, h := range []hello{{Version: ProtocolVersion + 1, Nonce: make([]byte, nonceBytes)}, {Version: ProtocolVersion}} {
		if err := validateHello(h); !failure.Is(err, failure.Format) {
			t.Errorf("hello %+v: %v", h, err)
		}
	}
}

// TestMultiplexing guards against head-of-line blocking between calls and
// against answers that reach the wrong caller.
func TestMultiplexing(t *testing.T) {
	server, address := startServer(t, Options{Credential: testCredential})
	release := make(chan struct{})
	server.Handle("wait", func(context.Context, Identity, []byte) (any, error) { <-release; return "waited", nil })
	tr := newClient(t, Options{Credential: testCredential})
	var first string
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := tr.Call(t.Context(), address, "wait", nil, &first); err != nil || first != "waited" {
			t.Errorf("got %q, %v", first, err)
		}
	})
	for i := range 100 {
		wg.Go(func() {
			want := strings.Repeat("x", 500*i)
			var got string
			if err := tr.Call(t.Context(), address, "echo", want, &got); err != nil || got != "client:"+want {
				t.Errorf("call %d: %d bytes, %v", i, len(got), err)
			}
			if i == 99 {
				close(release)
			}
		})
	}
	wg.Wait()
}

// TestHandlerBound guards against a peer that runs handlers without bound, and
// against losing calls that wait for a handler.
func TestHandlerBound(t *testing.T) {
	server, address := startServer(t, Options{Credential: testCredential, MaxHandlers: 1, MaxWaiting: 1})
	release, started := make(chan struct{}), make(chan struct{}, 3)
	server.Handle("wait", func(context.Context, Identity, []byte) (any, error) {
		started <- struct{}{}
		<-release
		return nil, nil
	})
	tr := newClient(t, Options{Credential: testCredential})
	errs := make(chan error, 3)
	for range 3 {
		go func() { errs <- tr.Call(t.Context(), address, "wait", nil, nil) }()
	}
	if err := <-errs; !failure.Is(err, failure.Limited) {
		t.Errorf("third call: %v", err)
	}
	close(release)
	for range 2 {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
	if len(started) != 2 {
		t.Errorf("%d handlers ran", len(started))
	}
}

// TestClose guards against calls that hang after either side was closed.
func TestClose(t *testing.T) {
	for _, c := range []struct {
		desc        string
		closeServer bool
	}{{"server", true}, {"client", false}} {
		t.Run(c.desc, func(t *testing.T) {
			server, address := startServer(t, Options{Credential: testCredential})
			started := make(chan struct{})
			server.Handle("wait", func(ctx context.Context, _ Identity, _ []byte) (any, error) {
				close(started)
				<-ctx.Done()
				return nil, ctx.Err()
			})
			tr := newClient(t, Options{Credential: testCredential})
			errs := make(chan error, 1)
			go func() { errs <- tr.Call(t.Context(), address, "wait", nil, nil) }()
			<-started
			if c.closeServer {
				closeTransport(t, server)
			} else {
				closeTransport(t, tr)
			}
			if err := <-errs; !failure.Is(err, failure.Uncertain) {
				t.Errorf("call in flight: %v", err)
			}
			if err := tr.Call(t.Context(), address, "echo", "", nil); !failure.Is(err, failure.Unavailable) {
				t.Errorf("call after Close: %v", err)
			}
		})
	}
}

// pipeNetwork is a network for synctest bubbles whose connections can drop data
// or stall.
type pipeNetwork struct {
	accept  chan net.Conn
	closed  chan struct{}
	dials   atomic.Int32
	dropNew atomic.Bool // new connections drop all data
	last    *faultyConn
}

type faultyConn struct {
	net.Conn
	drop    *atomic.Bool
	stalled atomic.Bool
}

func (c *faultyConn) Write(b []byte) (int, error) {
	if c.drop.Load() {
		return len(b), nil
	}
	for c.stalled.Load() {
		time.Sleep(time.Millisecond)
	}
	return c.Conn.Write(b)
}

// Close also ends a stalled Write, as on a socket.
func (c *faultyConn) Close() error {
	c.stalled.Store(false)
	return c.Conn.Close()
}

func (p *pipeNetwork) dial(context.Context, string, string) (net.Conn, error) {
	a, b := net.Pipe()
	drop := &atomic.Bool{}
	drop.Store(p.dropNew.Load())
	p.last = &faultyConn{Conn: a, drop: drop}
	p.dials.Add(1)
	p.accept <- &faultyConn{Conn: b, drop: drop}
	return p.last, nil
}

func (p *pipeNetwork) Accept() (net.Conn, error) {
	select {
	case c := <-p.accept:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeNetwork) Close() error   { close(p.closed); return nil }
func (p *pipeNetwork) Addr() net.Addr { return &net.TCPAddr{} }

// runOnPipes runs f in a bubble with a client that is connected to a server by
// pipes.
func runOnPipes(t *testing.T, f func(t *testing.T, p *pipeNetwork, server, client *Transport)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &pipeNetwork{accept: make(chan net.Conn), closed: make(chan struct{})}
		server := New(Identity{Instance: "server"}, Options{Credential: testCredential}, nil)
		registerHandlers(server)
		cl := New(Identity{Instance: "client"}, Options{Credential: testCredential, dial: p.dial}, nil)
		srv := &http.Server{Handler: server}
		go func() { _ = srv.Serve(p) }()
		f(t, p, server, cl)
		closeTransport(t, cl)
		closeTransport(t, server)
		_ = srv.Close()
	})
}

// TestSilentConnection guards against calls that stay on a connection that was
// established and then stopped delivering data.
func TestSilentConnection(t *testing.T) {
	runOnPipes(t, func(t *testing.T, p *pipeNetwork, _, cl *Transport) {
		call := func(method Method) error { return cl.Call(t.Context(), "server:1", method, "", nil) }
		if err := call("echo"); err != nil {
			t.Fatal(err)
		}
		p.last.drop.Store(true)
		begin := time.Now()
		if err := call("echo"); !failure.Is(err, failure.Uncertain) {
			t.Errorf("call on the silent connection: %v", err)
		}
		if waited := time.Since(begin); waited > DefaultSilenceTimeout+DefaultKeepaliveInterval {
			t.Errorf("the connection was replaced after %v", waited)
		}
		if err := call("echo"); err != nil || p.dials.Load() != 2 {
			t.Errorf("call on the new connection: %v, %d dials", err, p.dials.Load())
		}
	})
}

// TestPeerNeverAnswersHandshake guards against waiting without end for a peer
// that accepts connections and sends nothing.
func TestPeerNeverAnswersHandshake(t *testing.T) {
	runOnPipes(t, func(t *testing.T, p *pipeNetwork, _, cl *Transport) {
		p.dropNew.Store(true)
		if err := cl.Call(t.Context(), "server:1", "echo", "", nil); !failure.Is(err, failure.Unavailable) {
			t.Errorf("call to a peer that never answers: %v", err)
		}
		p.dropNew.Store(false)
		if err := cl.Call(t.Context(), "server:1", "echo", "", nil); err != nil {
			t.Error(err)
		}
	})
}

// TestCallTimeout guards against calls without a timeout, and against a call
// that runs although its caller was told that it was not sent.
func TestCallTimeout(t *testing.T) {
	runOnPipes(t, func(t *testing.T, p *pipeNetwork, server, cl *Transport) {
		var runs atomic.Int32
		server.Handle("count", func(context.Context, Identity, []byte) (any, error) { return runs.Add(1), nil })
		if err := cl.Call(t.Context(), "server:1", "hang", "", nil); !failure.Is(err, failure.Uncertain) {
			t.Errorf("call without a deadline: %v", err)
		}
		time.Sleep(DefaultKeepaliveInterval / 10) // no keepalive is due while the connection is stalled
		p.last.stalled.Store(true)
		for _, want := range []failure.Kind{failure.Uncertain, failure.Unavailable} {
			ctx, cancel := context.WithTimeout(t.Context(), DefaultKeepaliveInterval/4)
			if err := cl.Call(ctx, "server:1", "count", nil, nil); !failure.Is(err, want) {
				t.Errorf("call on a stalled connection: %v, want %s", err, want)
			}
			cancel()
		}
		p.last.stalled.Store(false)
		time.Sleep(DefaultKeepaliveInterval)
		if runs.Load() != 1 {
			t.Errorf("%d calls ran", runs.Load())
		}
	})
}

// TestCounters guards against control traffic that is not counted, and against
// keepalives on connections that are in use.
func TestCounters(t *testing.T) {
	runOnPipes(t, func(t *testing.T, _ *pipeNetwork, _, cl *Transport) {
		count := func(method, direction string) float64 {
			return testutil.ToFloat64(cl.metrics.messages.WithLabelValues(method, direction))
		}
		for range 20 {
			if err := cl.Call(t.Context(), "server:1", "echo", "", nil); err != nil {
				t.Error(err)
			}
			time.Sleep(DefaultKeepaliveInterval / 2)
		}
		if count("echo", directionSent) != 20 || count("echo", directionReceived) != 20 || count(methodKeepalive, directionSent) != 0 {
			t.Errorf("sent %v, received %v, keepalives %v", count("echo", directionSent), count("echo", directionReceived), count(methodKeepalive, directionSent))
		}
		time.Sleep(10 * DefaultKeepaliveInterval)
		if n := count(methodKeepalive, directionSent); n < 7 || n > 10 {
			t.Errorf("%v keepalives in 10 s", n)
		}
		if n := testutil.ToFloat64(cl.metrics.bytes.WithLabelValues("echo", directionSent)); n < 20*15 || n > 20*30 {
			t.Errorf("20 empty calls have %v bytes", n)
		}
	})
}

// TestBusyAndIdleConnections guards against closing a connection whose handlers
// take long, and against idle connections that stay open.
func TestBusyAndIdleConnections(t *testing.T) {
	runOnPipes(t, func(t *testing.T, p *pipeNetwork, server, cl *Transport) {
		server.Handle("slow", func(context.Context, Identity, []byte) (any, error) {
			time.Sleep(10 * DefaultSilenceTimeout)
			return nil, nil
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		var wg sync.WaitGroup
		for range DefaultMaxHandlers + 1 { // the last call waits for a handler
			wg.Go(func() {
				if err := cl.Call(ctx, "server:1", "slow", nil, nil); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if p.dials.Load() != 1 {
			t.Errorf("%d dials", p.dials.Load())
		}
		time.Sleep(2 * DefaultIdleTimeout)
		cl.mu.Lock()
		open := len(cl.outgoing)
		cl.mu.Unlock()
		if open != 0 {
			t.Error("the idle connection is still open")
		}
		if err := cl.Call(ctx, "server:1", "echo", "", nil); err != nil || p.dials.Load() != 2 {
			t.Errorf("call after the idle time: %v, %d dials", err, p.dials.Load())
		}
	})
}
