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

// pipes is a listener and dialer without sockets, so that a client and its
// server run on the clock of a synctest bubble.
type pipes struct {
	conns chan net.Conn
	ended chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.ended:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { close(p.ended); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	p.conns <- far
	return near, nil
}

// inBubble runs test with a client of a server that answers with handler.
func inBubble(t *testing.T, opts HTTPOptions, handler http.HandlerFunc, test func(t *testing.T, c *HTTPClient)) {
	synctest.Test(t, func(t *testing.T) {
		p := &pipes{conns: make(chan net.Conn), ended: make(chan struct{})}
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

// Guards against a write with an unknown effect that is reported as without
// effect, a malformed answer that passes for a value, a write that is sent
// twice, and a read that is not repeated after a failure of the store.
func TestFaultyAnswers(t *testing.T) {
	const attempts = 3
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	for _, tc := range []struct {
		desc        string
		handler     http.HandlerFunc
		read, write failure.Kind
	}{
		{"refuses calls", status(503), failure.Unavailable, failure.Unavailable},
		{"internal error", status(500), failure.Unavailable, failure.Uncertain},
		{"redirect", func(w http.ResponseWriter, r *http.Request) { http.Redirect(w, r, "/", http.StatusFound) },
			failure.Unavailable, failure.Uncertain},
		{"bad request", status(400), failure.Invalid, failure.Invalid},
		{"too large", status(413), failure.Invalid, failure.Invalid},
		{"other version", status(409), failure.Conflict, failure.Conflict},
		{"404 that is not the store's", status(404), failure.Invalid, failure.Invalid},
		{"no version", status(200), failure.Unavailable, failure.Uncertain},
		{"version that did not grow", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Version", "0") },
			failure.Unavailable, failure.Uncertain},
		{"connection breaks", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			failure.Unavailable, failure.Uncertain},
		{"body breaks off", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Version", "8")
			w.Header().Set("Content-Length", "9")
			fmt.Fprint(w, "[]")
		}, failure.Unavailable, failure.Uncertain},
		{"endless body", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Version", "8")
			fmt.Fprint(w, strings.Repeat(" ", maxAnswerBytes+1))
		}, failure.Unavailable, failure.Uncertain},
		{"silence", func(_ http.ResponseWriter, r *http.Request) {
			// The server notices that the client left only after the body.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, failure.Unavailable, failure.Uncertain},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			var hits atomic.Int64
			handler := func(w http.ResponseWriter, r *http.Request) { hits.Add(1); tc.handler(w, r) }
			inBubble(t, HTTPOptions{BreakerFailures: 100, MaxReadAttempts: attempts}, handler, func(t *testing.T, c *HTTPClient) {
				sends := func(call string, want int64, err error, kind failure.Kind) {
					t.Helper()
					if failure.KindOf(err) != kind || hits.Swap(0) != want {
						t.Errorf("%s: %v; want kind %q and %d attempts", call, err, kind, want)
					}
				}
				reads := int64(1)
				if tc.read == failure.Unavailable {
					reads = attempts
				}
				ctx := t.Context()
				_, err := c.Get(ctx, "k")
				sends("get", reads, err, tc.read)
				_, err = c.Watch(ctx, "k", 1)
				sends("watch", 1, err, tc.read)
				_, err = c.CompareAndSwap(ctx, "k", 7, []byte("v"))
				want := tc.write
				sends("swap", 1, err, want)
				_, err = c.AcquireLease(ctx, "l", "me", time.Second)
				sends("lease", 1, err, want)
			})
		})
	}
}

// Guards against an unreachable store whose refused writes count as uncertain.
func TestRefusedConnection(t *testing.T) {
	inBubble(t, HTTPOptions{}, nil, func(t *testing.T, c *HTTPClient) {
		c.transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
			return nil, fmt.Errorf("connection refused")
		}
		if _, err := c.CompareAndSwap(t.Context(), "k", 0, nil); !failure.Is(err, failure.Unavailable) {
			t.Errorf("refused swap: %v", err)
		}
	})
}

// Guards against a breaker that never opens, that stays open after the store
// has recovered, or that lets a long watch hold up the calls after an outage.
func TestBreaker(t *testing.T) {
	var down atomic.Bool
	var hits atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		hits.Add(1)
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
	inBubble(t, HTTPOptions{}, handler, func(t *testing.T, c *HTTPClient) {
		for range 2 * DefaultBreakerFailures {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			if _, err := c.Watch(ctx, "k", 1); !failure.Is(err, failure.Unavailable) {
				t.Errorf("watch with a short deadline: %v", err)
			}
			cancel()
		}
		if _, err := c.CompareAndSwap(t.Context(), "k", 0, nil); err != nil {
			t.Fatalf("the breaker opened by waiting: %v", err)
		}
		down.Store(true)
		hits.Store(0)
		for range 2 * DefaultBreakerFailures {
			if _, err := c.CompareAndSwap(t.Context(), "k", 0, nil); !failure.Is(err, failure.Unavailable) {
				t.Errorf("swap in the outage: %v", err)
			}
		}
		refused := testutil.ToFloat64(c.metrics.calls.WithLabelValues(string(CallSwap), resultRefused))
		if n := hits.Load(); n != DefaultBreakerFailures || refused != DefaultBreakerFailures {
			t.Errorf("%d calls reached the store and %v were refused", n, refused)
		}
		time.Sleep(DefaultBreakerOpenTimeout + time.Millisecond)
		down.Store(false)
		watched := make(chan error)
		go func() { _, err := c.Watch(t.Context(), "k", 1); watched <- err }()
		synctest.Wait()
		if _, err := c.CompareAndSwap(t.Context(), "k", 0, nil); err != nil {
			t.Errorf("swap during a watch after the outage: %v", err)
		}
		c.Close()
		if err := <-watched; !failure.Is(err, failure.Unavailable) {
			t.Errorf("watch of a closed client: %v", err)
		}
		if _, err := c.Get(t.Context(), "k"); !failure.Is(err, failure.Unavailable) {
			t.Errorf("get of a closed client: %v", err)
		}
	})
}

// Guards against settings that would only fail at the first call.
func TestOptions(t *testing.T) {
	for _, opts := range []HTTPOptions{
		{ClientID: "me"}, {Address: "store:1"}, {Address: "store:1", ClientID: "me", CallTimeout: -1},
	} {
		if _, err := NewHTTPClient(opts, nil); !failure.Is(err, failure.Invalid) {
			t.Errorf("options %+v: %v", opts, err)
		}
	}
}
