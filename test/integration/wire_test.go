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

// dialTimeout is the time after which a blocked dial fails; the relay's own dialer
// has the same timeout.
const dialTimeout = 2 * time.Second

// pipeNetwork provides in-memory connections between hosts. A host is an
// incarnation of an instance, an incarnation of an endpoint, or "caller".
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*listener // by address
	links     []*link
	dead      map[string]bool
	paused    map[string]chan struct{}
	isBlocked func(a, b string) bool // reports whether dials between two hosts time out
}

// link is one connection with both its ends. Once silent, it never carries a byte
// again.
type link struct {
	from, to       string
	client, server *conn
	silent         atomic.Bool
}

// conn is one end of a link.
type conn struct {
	net.Conn
	network *pipeNetwork
	link    *link
	host    string
	closed  atomic.Bool
}

// listener implements net.Listener for a host.
type listener struct {
	network *pipeNetwork
	host    string
	address string
	backlog chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func newPipeNetwork() *pipeNetwork {
	return &pipeNetwork{listeners: map[string]*listener{}, dead: map[string]bool{}, paused: map[string]chan struct{}{},
		isBlocked: func(string, string) bool { return false }}
}

// listen registers a listener, in place of an earlier one at that address.
func (p *pipeNetwork) listen(host, address string) net.Listener {
	l := &listener{network: p, host: host, address: address, backlog: make(chan net.Conn, 1024), done: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners[address] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.address) }

// addr implements net.Addr.
type addr string

func (a addr) Network() string { return "pipe" }
func (a addr) String() string  { return string(a) }

// dialer returns the dial function of a host.
func (p *pipeNetwork) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		p.waitWhilePaused(from)
		c, err := p.dial(from, address)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			select {
			case <-time.After(dialTimeout):
			case <-ctx.Done():
			}
		}
		return c, err
	}
}

func (p *pipeNetwork) dial(from, address string) (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.listeners[address]
	switch {
	case p.dead[from], l == nil:
		return nil, &net.OpError{Op: "dial", Net: "pipe", Addr: addr(address), Err: syscall.ECONNREFUSED}
	case p.isBlocked(from, l.host):
		return nil, &net.OpError{Op: "dial", Net: "pipe", Addr: addr(address), Err: os.ErrDeadlineExceeded}
	}
	client, server := net.Pipe()
	k := &link{from: from, to: l.host}
	k.client = &conn{Conn: client, network: p, link: k, host: from}
	k.server = &conn{Conn: server, network: p, link: k, host: l.host}
	p.links = append(p.links, k)
	l.backlog <- k.server
	return k.client, nil
}

// waitWhilePaused blocks while the host is paused.
func (p *pipeNetwork) waitWhilePaused(host string) {
	p.mu.Lock()
	resumed := p.paused[host]
	p.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func (p *pipeNetwork) pause(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused[host] == nil {
		p.paused[host] = make(chan struct{})
	}
}

func (p *pipeNetwork) resume(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if resumed := p.paused[host]; resumed != nil {
		close(resumed)
		delete(p.paused, host)
	}
}

// silence makes matching connections drop all further bytes without an error.
func (p *pipeNetwork) silence(match func(from, to string) bool) {
	p.forEachLink(match, func(k *link) { k.silent.Store(true) })
}

// reset breaks matching connections, as TCP resets do.
func (p *pipeNetwork) reset(match func(from, to string) bool) {
	p.forEachLink(match, func(k *link) {
		_ = k.client.Conn.Close()
		_ = k.server.Conn.Close()
	})
}

func (p *pipeNetwork) forEachLink(match func(from, to string) bool, f func(*link)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.links {
		if match(k.from, k.to) {
			f(k)
		}
	}
}

// kill ends a host: its listeners close, its connections break and it can open no
// others.
func (p *pipeNetwork) kill(host string) {
	p.mu.Lock()
	p.dead[host] = true
	var closing []*listener
	for _, l := range p.listeners {
		if l.host == host {
			closing = append(closing, l)
		}
	}
	p.mu.Unlock()
	for _, l := range closing {
		_ = l.Close()
	}
	p.reset(func(from, to string) bool { return from == host || to == host })
}

func (c *conn) Read(p []byte) (int, error) {
	c.network.waitWhilePaused(c.host)
	n, err := c.Conn.Read(p)
	c.network.waitWhilePaused(c.host)
	return n, c.tcpError(err)
}

func (c *conn) Write(p []byte) (int, error) {
	c.network.waitWhilePaused(c.host)
	if c.link.silent.Load() && !c.closed.Load() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	return n, c.tcpError(err)
}

// tcpError maps the error of a pipe that the other end closed to ECONNRESET.
func (c *conn) tcpError(err error) error {
	if errors.Is(err, io.ErrClosedPipe) && !c.closed.Load() {
		return syscall.ECONNRESET
	}
	return err
}

// Close closes the connection. The other end does not see it if the connection is
// silent.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	if c.link.silent.Load() {
		return c.Conn.SetDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}
