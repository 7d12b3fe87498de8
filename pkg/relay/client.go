package relay

import (
	"context"
	"hash/maphash"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementinerack/clementinerack/pkg/limits"
	"github.com/clementinerack/clementinerack/pkg/membudget"
)

const (
	clientHeader    = "X-Client"
	requestIDHeader = "X-Request-Id"
	drainingHeader  = "X-Draining"

	// maxIdleConnsPerEndpoint covers the concurrent streams of one instance to one
	// engine in a pool of about 20 engines.
	maxIdleConnsPerEndpoint = 64
	idleConnTimeout         = 60 * time.Second
	dialTimeout             = 2 * time.Second // endpoints are at most a few ms away

	defaultFirstByteTimeout = 30 * time.Second
	defaultIdleTimeout      = 15 * time.Second
	defaultMaxResponseBytes = 16 << 20
)

// Options configure a Client.
type Options struct {
	// Instance is the id that is sent to endpoints as X-Client.
	Instance string
	// OnDraining is called when an endpoint's answer carries X-Draining: true.
	OnDraining func(endpointID string)
	// MaxResponse bounds the body of an app's answer in bytes; 0 means 16 MiB.
	MaxResponse int64
	// Dial opens the connections to endpoints; nil means TCP with a timeout of
	// 2 s.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends attempts to endpoints. It is safe for concurrent use.
type Client struct {
	opts   Options
	budget *membudget.Budget // of the answers, by endpoint id
	pooled *http.Transport
	// unpooled opens a new connection for each request. net/http retries a
	// request by itself only on a reused connection, so it never does so here.
	unpooled *http.Transport
	seed     maphash.Seed // of the hashes of request IDs

	mu           sync.Mutex
	incarnations map[string]string // by endpoint id
	naming       map[string]bool   // ids of the endpoints that repeat request IDs in their answers
}

// New returns a client.
func New(opts Options) *Client {
	if opts.OnDraining == nil {
		opts.OnDraining = func(string) {}
	}
	if opts.MaxResponse <= 0 {
		opts.MaxResponse = defaultMaxResponseBytes
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	pooled := newTransport(opts)
	unpooled := newTransport(opts)
	unpooled.DisableKeepAlives = true
	return &Client{opts: opts, budget: membudget.ForProcess(), pooled: pooled, unpooled: unpooled, seed: maphash.MakeSeed(),
		incarnations: map[string]string{}, naming: map[string]bool{}}
}

func newTransport(opts Options) *http.Transport {
	return &http.Transport{
		DialContext:            recordConns(opts.Dial),
		MaxIdleConnsPerHost:    maxIdleConnsPerEndpoint,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true, // bodies pass through unchanged
		MaxResponseHeaderBytes: limits.ResponseHeadBytes,
		Protocols:              http1(),
	}
}

// http1 selects HTTP/1.1. Over HTTP/2, different requests would share a
// connection, and one silent connection would block all of them.
func http1() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}

// Budget returns the budget that bounds the memory of the answers, by endpoint id.
func (c *Client) Budget() *membudget.Budget { return c.budget }

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// RecordIncarnation records the incarnation that an endpoint reported, so that the
// client can detect a restart during an attempt.
func (c *Client) RecordIncarnation(endpointID, incarnation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incarnations[endpointID] = incarnation
}

func (c *Client) incarnation(endpointID string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.incarnations[endpointID]
}

func (c *Client) reportDraining(endpointID string, h http.Header) {
	if strings.EqualFold(h.Get(drainingHeader), "true") {
		c.opts.OnDraining(endpointID)
	}
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}

// withSentTrace returns a context whose requests set sent as soon as they have a
// connection. Before that, no byte of a request can have been written.
func withSentTrace(ctx context.Context, sent *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
}

// watchdog cancels the context of a connection that is silent for too long.
type watchdog struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// withWatchdog returns a context that ends with errIdleTimeout when the watchdog
// expires, which it does after timeout unless it is paused or reset.
func withWatchdog(ctx context.Context, timeout time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &watchdog{time.AfterFunc(timeout, func() { cancel(errIdleTimeout) }), cancel}
}

// pause stops the timer while the receiver is busy.
func (w *watchdog) pause() { w.timer.Stop() }

// reset lets the watchdog expire after d.
func (w *watchdog) reset(d time.Duration) { w.timer.Reset(d) }

func (w *watchdog) close() {
	w.timer.Stop()
	w.cancel(context.Canceled)
}

func orDefault(d, def time.Duration) time.Duration {
	if d <= 0 {
		return def
	}
	return d
}
