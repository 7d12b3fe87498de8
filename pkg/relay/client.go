package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	clientHeader    = "X-Client"
	requestIDHeader = "X-Request-Id"
	drainingHeader  = "X-Draining"

	// idlePerEndpoint covers the concurrent streams of one instance on a pool
	// of about 20 engines.
	idlePerEndpoint = 64
	idleTimeout     = 60 * time.Second
	dialTimeout     = 2 * time.Second // endpoints are at most a few ms away

	defaultFirstByte   = 30 * time.Second
	defaultIdle        = 15 * time.Second
	defaultMaxResponse = 16 << 20
)

// Options configure a Client.
type Options struct {
	// Instance is the id that endpoints see as X-Client.
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
	pooled *http.Transport
	// fresh opens a connection per request. Go's transport repeats a request
	// by itself only on a reused connection, so it never does so here.
	fresh *http.Transport

	mu           sync.Mutex
	incarnations map[string]string
}

// New returns a client.
func New(opts Options) *Client {
	if opts.OnDraining == nil {
		opts.OnDraining = func(string) {}
	}
	if opts.MaxResponse <= 0 {
		opts.MaxResponse = defaultMaxResponse
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	pooled := transport(opts)
	fresh := transport(opts)
	fresh.DisableKeepAlives = true
	return &Client{opts: opts, pooled: pooled, fresh: fresh, incarnations: map[string]string{}}
}

func transport(opts Options) *http.Transport {
	return &http.Transport{
		DialContext:         opts.Dial,
		MaxIdleConnsPerHost: idlePerEndpoint,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true, // bodies pass through unchanged
		Protocols:           http1(),
	}
}

// http1 selects HTTP/1.1: over HTTP/2 streams of different requests would share
// a connection, and one silent connection would stop all of them.
func http1() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	return p
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// RecordIncarnation records the incarnation that an endpoint showed, which lets
// the client recognize a restart during an attempt.
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

func (c *Client) noteDraining(endpointID string, h http.Header) {
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

// traceSent returns a context whose requests set sent once a connection has
// been chosen. Before that no byte of a request can have been written.
func traceSent(ctx context.Context, sent *atomic.Bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
}

// watchdog cancels a connection that is silent for too long.
type watchdog struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// watch returns a context that ends with errSilent unless the watchdog is fed.
func watch(ctx context.Context, first time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &watchdog{time.AfterFunc(first, func() { cancel(errSilent) }), cancel}
}

// pause stops the clock while the receiver is busy.
func (w *watchdog) pause() { w.timer.Stop() }

// feed allows d until the next sign of life.
func (w *watchdog) feed(d time.Duration) { w.timer.Reset(d) }

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
