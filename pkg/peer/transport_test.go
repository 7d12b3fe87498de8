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

// serve runs a transport with some handlers on a loopback port.
func serve(t *testing.T, opts Options) (*Transport, string) {
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

func client(t *testing.T, opts Options) *Transport {
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

var secret = []byte("the shared credential")

// TestCallOutcomes guards against errors that tell a caller the wrong outcome,
// and against a credential in an error message.
func TestCallOutcomes(t *testing.T) {
	cases := []struct {
		desc   string
		client Options
		method Method
		req    string
		kind   failure.Kind
	}{
		{"answered", Options{Credential: secret}, "echo", "hi", ""},
		{"typed error of the handler", Options{Credential: secret}, "refuse", "", failure.Fenced},
		{"unknown method", Options{Credential: secret}, "none", "", failure.Invalid},
		{"wrong credential", Options{Credential: []byte("another secret")}, "echo", "", failure.Unauthorized},
		{"no credential", Options{}, "echo", "", failure.Unauthorized},
		{"request above the limit", Options{Credential: secret, MaxMessageBytes: 100}, "echo", strings.Repeat("x", 101), failure.Invalid},
		{"answer above the limit", Options{Credential: secret}, "large", "", failure.Internal},
	}
	_, address := serve(t, Options{Credential: secret, MaxMessageBytes: 1 << 20})
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			tr := client(t, c.client)
			for range 2 { // also on the connection that is already open
				var got string
				err := tr.Call(t.Context(), address, c.method, c.req, &got)
				if failure.KindOf(err) != c.kind || err == nil && got != "client:"+c.req {
					t.Errorf("got %q, %v, want kind %q", got, err, c.kind)
				}
				if text := fmt.Sprint(err); strings.Contains(text, "another secret") || strings.Contains(text, string(secret)) {
					t.Error(err)
				}
			}
		})
	}
}

// TestOnPeer guards against a side that does not learn whom it talks to, and against
// one that takes over an identity without a proof.
func TestOnPeer(t *testing.T) {
	for _, tc := range []struct {
		desc       string
		credential []byte
		want       int
	}{
		{"credential known", secret, 1},
		{"wrong credential", []byte("another secret"), 0},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			met := make(chan string, 4)
			note := func(id Identity) { met <- id.Instance }
			_, address := serve(t, Options{Credential: secret, OnPeer: note})
			tr := client(t, Options{Credential: tc.credential, OnPeer: note})
			var got string
			_ = tr.Call(t.Context(), address, "echo", "hi", &got) // it fails without the credential
			if n := len(met); n != 2*tc.want {
				t.Fatalf("%d meetings, want %d", n, 2*tc.want)
			}
			if tc.want > 0 {
				if a, b := <-met, <-met; a == b {
					t.Errorf("both sides met %q", a)
				}
			}
		})
	}
}

// TestTLS guards against a configuration that falls back to plain connections.
func TestTLS(t *testing.T) {
	opts := Options{Credential: secret, TLS: &tls.Config{MinVersion: tls.VersionTLS13}}
	_, address := serve(t, opts)
	if err := client(t, opts).Call(t.Context(), address, "echo", "hi", nil); err != nil {
		t.Error(err)
	}
	if err := client(t, Options{Credential: secret}).Call(t.Context(), address, "echo", "hi", nil); !failure.Is(err, failure.Unavailable) {
		t.Errorf("plain call to a TLS server: %v", err)
	}
}

// TestVersionMismatch guards against two protocol versions on one connection.
func TestVersionMismatch(t *testing.T) {
	for _, h := range []hello{{Version: ProtocolVersion + 1, Nonce: make([]byte, nonceBytes)}, {Version: ProtocolVersion}} {
		if err := checkHello(h); !failure.Is(err, failure.Format) {
			t.Errorf("hello %+v: %v", h, err)
		}
	}
}

// TestMultiplexing guards against a call that waits for an earlier one, and
// against answers that reach the wrong caller.
func TestMultiplexing(t *testing.T) {
	server, address := serve(t, Options{Credential: secret})
	release := make(chan struct{})
	server.Handle("wait", func(context.Context, Identity, []byte) (any, error) { <-release; return "waited", nil })
	tr := client(t, Options{Credential: secret})
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

// TestHandlerBound guards against a peer that occupies an instance without
// bound, and against calls that are lost when they wait.
func TestHandlerBound(t *testing.T) {
	server, address := serve(t, Options{Credential: secret, MaxHandlers: 1, MaxWaiting: 1})
	release, started := make(chan struct{}), make(chan struct{}, 3)
	server.Handle("wait", func(context.Context, Identity, []byte) (any, error) {
		started <- struct{}{}
		<-release
		return nil, nil
	})
	tr := client(t, Options{Credential: secret})
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

// TestClose guards against calls that hang when either side stops.
func TestClose(t *testing.T) {
	for _, c := range []struct {
		desc        string
		closeServer bool
	}{{"server", true}, {"client", false}} {
		t.Run(c.desc, func(t *testing.T) {
			server, address := serve(t, Options{Credential: secret})
			started := make(chan struct{})
			server.Handle("wait", func(ctx context.Context, _ Identity, _ []byte) (any, error) {
				close(started)
				<-ctx.Done()
				return nil, ctx.Err()
			})
			tr := client(t, Options{Credential: secret})
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

// pipes is a network inside a synctest bubble whose connections can go silent.
type pipes struct {
	accept chan net.Conn
	closed chan struct{}
	dials  atomic.Int32
	mute   atomic.Bool // new connections are silent
	last   *mutableConn
}

type mutableConn struct {
	net.Conn
	mute  *atomic.Bool
	stall atomic.Bool
}

func (c *mutableConn) Write(b []byte) (int, error) {
	if c.mute.Load() {
		return len(b), nil
	}
	for c.stall.Load() {
		time.Sleep(time.Millisecond)
	}
	return c.Conn.Write(b)
}

// Close ends a stalled Write, as on a socket.
func (c *mutableConn) Close() error {
	c.stall.Store(false)
	return c.Conn.Close()
}

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	a, b := net.Pipe()
	mute := &atomic.Bool{}
	mute.Store(p.mute.Load())
	p.last = &mutableConn{Conn: a, mute: mute}
	p.dials.Add(1)
	p.accept <- &mutableConn{Conn: b, mute: mute}
	return p.last, nil
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.accept:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { close(p.closed); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// onPipes runs f in a bubble with a client that reaches a server over pipes.
func onPipes(t *testing.T, f func(t *testing.T, p *pipes, server, client *Transport)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := &pipes{accept: make(chan net.Conn), closed: make(chan struct{})}
		server := New(Identity{Instance: "server"}, Options{Credential: secret}, nil)
		registerHandlers(server)
		cl := New(Identity{Instance: "client"}, Options{Credential: secret, dial: p.dial}, nil)
		srv := &http.Server{Handler: server}
		go func() { _ = srv.Serve(p) }()
		f(t, p, server, cl)
		closeTransport(t, cl)
		closeTransport(t, server)
		_ = srv.Close()
	})
}

// TestSilentConnection guards against calls that stay on a connection that was
// established and then went silent for good.
func TestSilentConnection(t *testing.T) {
	onPipes(t, func(t *testing.T, p *pipes, _, cl *Transport) {
		call := func(method Method) error { return cl.Call(t.Context(), "server:1", method, "", nil) }
		if err := call("echo"); err != nil {
			t.Fatal(err)
		}
		p.last.mute.Store(true)
		begin := time.Now()
		if err := call("echo"); !failure.Is(err, failure.Uncertain) {
			t.Errorf("call on the silent connection: %v", err)
		}
		if waited := time.Since(begin); waited > DefaultSilenceTimeout+DefaultKeepaliveInterval {
			t.Errorf("replaced after %v of the fake clock", waited)
		}
		if err := call("echo"); err != nil || p.dials.Load() != 2 {
			t.Errorf("call on the new connection: %v, %d dials", err, p.dials.Load())
		}
	})
}

// TestPeerNeverAnswersHandshake guards against a peer that accepts connections
// and says nothing.
func TestPeerNeverAnswersHandshake(t *testing.T) {
	onPipes(t, func(t *testing.T, p *pipes, _, cl *Transport) {
		p.mute.Store(true)
		if err := cl.Call(t.Context(), "server:1", "echo", "", nil); !failure.Is(err, failure.Unavailable) {
			t.Errorf("call to a peer that never answers: %v", err)
		}
		p.mute.Store(false)
		if err := cl.Call(t.Context(), "server:1", "echo", "", nil); err != nil {
			t.Error(err)
		}
	})
}

// TestCallTimeout guards against calls that wait forever, and against a call
// that runs although its caller was told that it was not sent.
func TestCallTimeout(t *testing.T) {
	onPipes(t, func(t *testing.T, p *pipes, server, cl *Transport) {
		var runs atomic.Int32
		server.Handle("count", func(context.Context, Identity, []byte) (any, error) { return runs.Add(1), nil })
		if err := cl.Call(t.Context(), "server:1", "hang", "", nil); !failure.Is(err, failure.Uncertain) {
			t.Errorf("call without a deadline: %v", err)
		}
		time.Sleep(DefaultKeepaliveInterval / 10) // no beat is due while the connection is stalled
		p.last.stall.Store(true)
		for _, want := range []failure.Kind{failure.Uncertain, failure.Unavailable} {
			ctx, cancel := context.WithTimeout(t.Context(), DefaultKeepaliveInterval/4)
			if err := cl.Call(ctx, "server:1", "count", nil, nil); !failure.Is(err, want) {
				t.Errorf("call on a stalled connection: %v, want %s", err, want)
			}
			cancel()
		}
		p.last.stall.Store(false)
		time.Sleep(DefaultKeepaliveInterval)
		if runs.Load() != 1 {
			t.Errorf("%d calls ran", runs.Load())
		}
	})
}

// TestCounters guards against control traffic that nobody sees, and against
// beats on connections that are in use.
func TestCounters(t *testing.T) {
	onPipes(t, func(t *testing.T, _ *pipes, _, cl *Transport) {
		count := func(method, direction string) float64 {
			return testutil.ToFloat64(cl.metrics.messages.WithLabelValues(method, direction))
		}
		for range 20 {
			if err := cl.Call(t.Context(), "server:1", "echo", "", nil); err != nil {
				t.Error(err)
			}
			time.Sleep(DefaultKeepaliveInterval / 2)
		}
		if count("echo", sent) != 20 || count("echo", received) != 20 || count(methodBeat, sent) != 0 {
			t.Errorf("sent %v, received %v, beats %v", count("echo", sent), count("echo", received), count(methodBeat, sent))
		}
		time.Sleep(10 * DefaultKeepaliveInterval)
		if n := count(methodBeat, sent); n < 7 || n > 10 {
			t.Errorf("%v beats in 10 s", n)
		}
		if n := testutil.ToFloat64(cl.metrics.bytes.WithLabelValues("echo", sent)); n < 20*15 || n > 20*30 {
			t.Errorf("20 empty calls have %v bytes", n)
		}
	})
}

// TestBusyAndIdleConnections guards against a connection that is closed while
// its handlers take long, and against idle connections that stay open.
func TestBusyAndIdleConnections(t *testing.T) {
	onPipes(t, func(t *testing.T, p *pipes, server, cl *Transport) {
		server.Handle("slow", func(context.Context, Identity, []byte) (any, error) {
			time.Sleep(10 * DefaultSilenceTimeout)
			return nil, nil
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		var wg sync.WaitGroup
		for range DefaultMaxHandlers + 1 { // the last one waits for the others
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
