package kvstore

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// pipeListener is a listener and dialer without sockets, so that a client and its
// server run on the clock of a synctest bubble.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error   { close(p.closed); return nil }
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	p.conns <- serverConn
	return clientConn, nil
}

// testWithServer runs test in a synctest bubble, with a client of a server that
// responds with handler.
func testWithServer(t *testing.T, opts HTTPOptions, handler http.HandlerFunc, test func(t *testing.T, c *HTTPClient)) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		server := &http.Server{Handler: handler}
		go server.Serve(p)
		opts.Address, opts.ClientID = "store:1", "me"
		c, err := NewHTTPClient(opts, nil)
		if err != nil {
			t.Fatal(err)
		}
		c.transport.DialContext = p.dial
		test(t, c)
		c.Close()
		server.Close()
	})
}

// Guards against a write with an unknown effect that is reported as having had
// none, a malformed response that is accepted as a value, a write that is sent
// twice, and a read that is not repeated after a failure of the store.
func TestFaultyResponses(t *testing.T) {
	const attempts = 3
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	for _, tc := range []struct {
		desc        string
		handler     http.HandlerFunc
		read, write failure.Kind
	}{
		{"service unavailable", status(503), failure.Unavailable, failure.Unavailable},
		{"internal error", status(500), failure.Unavailable, failure.Uncertain},
		{"redirect", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/", http.StatusFound) },
			failure.Unavailable, failure.Uncertain},
		{"bad request", status(400), failure.Invalid, failure.Invalid},
		{"too large", status(413), failure.Invalid, failure.Invalid},
		{"version conflict", status(409), failure.Conflict, failure.Conflict},
		{"404 without version", status(404), failure.Invalid, failure.Invalid},
		{"no version", status(200), failure.Unavailable, failure.Uncertain},
		{"version that did not increase", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Version", "0") },
			failure.Unavailable, failure.Uncertain},
		{"connection closed without response", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			failure.Unavailable, failure.Uncertain},
		{"incomplete body", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Version", "8")
			w.Header().Set("Content-Length", "9")
			fmt.Fprint(w, "[]")
		}, failure.Unavailable, failure.Uncertain},
		{"oversized body", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Version", "8")
			fmt.Fprint(w, strings.Repeat(" ", maxResponseBytes+1))
		}, failure.Unavailable, failure.Uncertain},
		{"silence", func(_ http.ResponseWriter, r *http.Request) {
			// The server detects a closed connection only after it has read the body.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, failure.Unavailable, failure.Uncertain},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			var requests atomic.Int64
			handler := func(w http.ResponseWriter, r *http.Request) { requests.Add(1); tc.handler(w, r) }
			testWithServer(t, HTTPOptions{BreakerFailures: 100, MaxReadAttempts: attempts}, handler, func(t *testing.T, c *HTTPClient) {
				checkCall := func(call string, want int64, err error, kind failure.Kind) {
					t.Helper()
					if failure.KindOf(err) != kind || requests.Swap(0) != want {
						t.Errorf("%s: %v; want kind %q and %d attempts", call, err, kind, want)
					}
				}
				readAttempts := int64(1)
				if tc.read == failure.Unavailable {
					readAttempts = attempts
				}
				ctx := t.Context()
				_, err := c.Get(ctx, "k")
				checkCall("get", readAttempts, err, tc.read)
				_, err = c.Watch(ctx, "k", 1)
				checkCall("watch", 1, err, tc.read)
				_, err = c.CompareAndSwap(ctx, "k", 7, []byte("v"))
				want := tc.write
				checkCall("swap", 1, err, want)
				_, err = c.AcquireLease(ctx, "l", "me", time.Second)
				checkCall("lease", 1, err, want)
			})
		})
	}
}

// Guards against a write that is reported as uncertain although the connection to the
// store was refused.
func TestRefusedConnectionIsUnavailable(t *testing.T) {
	testWithServer(t, HTTPOptions{}, nil, func(t *testing.T, c *HTTPClient) {
		c.transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
			return nil, fmt.Errorf("connection refused")
		}
		if _, err := c.CompareAndSwap(t.Context(), "k", 0, nil); !failure.Is(err, failure.Unavailable) {
			t.Errorf("refused swap: %v", err)
		}
	})
}

// Guards against a breaker that never opens, that opens because watches reach the
// deadline of their caller, that stays open after the store has recovered, or that
// rejects calls during a long watch after an outage.
func TestBreaker(t *testing.T) {
	var down atomic.Bool
	var requests atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		if down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if wait, _ := time.ParseDuration(r.URL.Query().Get("wait")); wait > 0 {
			select {
			case <-time.After(wait):
			case <-r.Context().Done():
			}
		}
		w.Header().Set("X-Version", "1")
	}
	testWithServer(t, HTTPOptions{}, handler, func(t *testing.T, c *HTTPClient) {
		for range 2 * DefaultBreakerFailures {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			if _, err := c.Watch(ctx, "k", 1); !failure.Is(err, failure.Unavailable) {
				t.Errorf("watch with a short deadline: %v", err)
			}
			cancel()
		}
		if _, err := c.CompareAndSwap(t.Context(), "k", 0, nil); err != nil {
			t.Fatalf("swap after watches with a short deadline: %v", err)
		}
		down.Store(true)
		requests.Store(0)
		for range 2 * DefaultBreakerFailures {
			if _, err := c.CompareAndSwap(t.Context(), "k", 0, nil); !failure.Is(err, failure.Unavailable) {
				t.Errorf("swap during the outage: %v", err)
			}
		}
		rejected := testutil.ToFloat64(c.metrics.calls.WithLabelValues(string(CallSwap), resultBreakerOpen))
		if n := requests.Load(); n != DefaultBreakerFailures || rejected != DefaultBreakerFailures {
			t.Errorf("%d calls reached the store and the breaker rejected %v", n, rejected)
		}
		time.Sleep(DefaultBreakerOpenTimeout + time.Millisecond)
		down.Store(false)
		watchErr := make(chan error)
		go func() { _, err := c.Watch(t.Context(), "k", 1); watchErr <- err }()
		synctest.Wait()
		if _, err := c.CompareAndSwap(t.Context(), "k", 0, nil); err != nil {
			t.Errorf("swap during a watch after the outage: %v", err)
		}
		c.Close()
		if err := <-watchErr; !failure.Is(err, failure.Unavailable) {
			t.Errorf("watch of a closed client: %v", err)
		}
		if _, err := c.Get(t.Context(), "k"); !failure.Is(err, failure.Unavailable) {
			t.Errorf("get of a closed client: %v", err)
		}
	})
}

// Guards against invalid options that are detected only by the first call.
func TestInvalidOptions(t *testing.T) {
	for _, opts := range []HTTPOptions{
		{ClientID: "me"}, {Address: "store:1"}, {Address: "store:1", ClientID: "me", CallTimeout: -1},
	} {
		if _, err := NewHTTPClient(opts, nil); !failure.Is(err, failure.Invalid) {
			t.Errorf("options %+v: %v", opts, err)
		}
	}
}

// Guards against a part of a value that is taken as the whole one because the end of the connection ends it.
func TestValueThatEndsWithItsConnectionIsNotTaken(t *testing.T) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		handler := func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = io.WriteString(c, proto+" 200 OK\r\nX-Version: 8\r\n\r\npart")
			_ = c.Close()
		}
		testWithServer(t, HTTPOptions{}, handler, func(t *testing.T, c *HTTPClient) {
			if got, err := c.Get(t.Context(), "k"); !failure.Is(err, failure.Unavailable) {
				t.Errorf("get: %q, %v", got.Value, err)
			}
			if _, err := c.CompareAndSwap(t.Context(), "k", 7, []byte("v")); !failure.Is(err, failure.Uncertain) {
				t.Errorf("swap: %v", err)
			}
		})
	}
}
