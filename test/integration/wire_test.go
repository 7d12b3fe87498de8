package integration

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// wireDialTimeout is the time after which a connection attempt across a cut
// fails, as that of the relay's own dialer.
const wireDialTimeout = 2 * time.Second

// wire carries in-memory connections between hosts. A host is an incarnation of
// an instance or an endpoint, or a caller.
type wire struct {
	mu        sync.Mutex
	listeners map[string]*listener // by address
	links     []*link
	dead      map[string]bool
	paused    map[string]chan struct{}
	severed   func(a, b string) bool // drops packets between two hosts
}

// link is one connection. Once silent it never carries a byte again.
type link struct {
	from, to       string
	client, server *conn
	silent         atomic.Bool
}

type conn struct {
	net.Conn
	w      *wire
	link   *link
	host   string
	closed atomic.Bool
}

type listener struct {
	w       *wire
	host    string
	address string
	accept  chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newWire() *wire {
	return &wire{listeners: map[string]*listener{}, dead: map[string]bool{}, paused: map[string]chan struct{}{},
		severed: func(string, string) bool { return false }}
}

func (w *wire) listen(host, address string) net.Listener {
	l := &listener{w: w, host: host, address: address, accept: make(chan net.Conn, 1024), done: make(chan struct{})}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listeners[address] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	if l.w.listeners[l.address] == l {
		delete(l.w.listeners, l.address)
	}
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (a addr) Network() string { return "pipe" }
func (a addr) String() string  { return string(a) }

// dialer returns the dial function of a host.
func (w *wire) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		w.gate(from)
		c, err := w.dial(from, address)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			select {
			case <-time.After(wireDialTimeout):
			case <-ctx.Done():
			}
		}
		return c, err
	}
}

func (w *wire) dial(from, address string) (net.Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.listeners[address]
	switch {
	case w.dead[from], l == nil:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Addr: addr(address), Err: syscall.ECONNREFUSED}
	case w.severed(from, l.host):
		return nil, &net.OpError{Op: "dial", Net: "pipe", Addr: addr(address), Err: os.ErrDeadlineExceeded}
	}
	a, b := net.Pipe()
	k := &link{from: from, to: l.host}
	k.client = &conn{Conn: a, w: w, link: k, host: from}
	k.server = &conn{Conn: b, w: w, link: k, host: l.host}
	w.links = append(w.links, k)
	l.accept <- k.server
	return k.client, nil
}

// gate holds a paused host.
func (w *wire) gate(host string) {
	w.mu.Lock()
	ch := w.paused[host]
	w.mu.Unlock()
	if ch != nil {
		<-ch
	}
}

func (w *wire) pause(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paused[host] == nil {
		w.paused[host] = make(chan struct{})
	}
}

func (w *wire) resume(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ch := w.paused[host]; ch != nil {
		close(ch)
		delete(w.paused, host)
	}
}

// silence stops the connections that match from carrying bytes.
func (w *wire) silence(match func(from, to string) bool) {
	w.each(match, func(k *link) { k.silent.Store(true) })
}

// reset breaks the connections that match.
func (w *wire) reset(match func(from, to string) bool) {
	w.each(match, func(k *link) {
		_ = k.client.Conn.Close()
		_ = k.server.Conn.Close()
	})
}

func (w *wire) each(match func(from, to string) bool, f func(*link)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.links {
		if match(k.from, k.to) {
			f(k)
		}
	}
}

// kill ends a host: its connections break and it opens no others.
func (w *wire) kill(host string) {
	w.mu.Lock()
	w.dead[host] = true
	var gone []*listener
	for _, l := range w.listeners {
		if l.host == host {
			gone = append(gone, l)
		}
	}
	w.mu.Unlock()
	for _, l := range gone {
		_ = l.Close()
	}
	w.reset(func(from, to string) bool { return from == host || to == host })
}

func (c *conn) Read(p []byte) (int, error) {
	c.w.gate(c.host)
	n, err := c.Conn.Read(p)
	c.w.gate(c.host)
	return n, c.translate(err)
}

func (c *conn) Write(p []byte) (int, error) {
	c.w.gate(c.host)
	if c.link.silent.Load() && !c.closed.Load() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	return n, c.translate(err)
}

// translate gives a connection that the other side closed the error of TCP.
func (c *conn) translate(err error) error {
	if errors.Is(err, io.ErrClosedPipe) && !c.closed.Load() {
		return syscall.ECONNRESET
	}
	return err
}

// Close hides the end of a silent connection from the other side.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	if c.link.silent.Load() {
		return c.Conn.SetDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}
