package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxyMode says how a proxy treats connections and their bytes.
type proxyMode int32

// Modes of a proxy.
const (
	modePass proxyMode = iota
	modeDelay
	modeDropAnswers // drops the bytes from the store
	modeSilence     // drops the bytes of both directions
	modeRefuse      // closes new connections
	numProxyModes
)

// proxyDelay is the delay of modeDelay, far below the timeouts of calls to the store.
const proxyDelay = 60 * time.Millisecond

// proxy forwards the TCP connections of an instance to the store.
type proxy struct {
	listener   net.Listener
	target     string
	mode       atomic.Int32
	goroutines sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	p.goroutines.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// close stops the proxy and waits for its goroutines.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
	p.goroutines.Wait()
}

// reset resets all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // sends RST instead of FIN
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if proxyMode(p.mode.Load()) == modeRefuse {
			_ = client.Close()
			continue
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.conns[client], p.conns[server] = true, true
		p.mu.Unlock()
		p.goroutines.Go(func() { p.copyBytes(client, server, false) })
		p.goroutines.Go(func() { p.copyBytes(server, client, true) })
	}
}

// copyBytes copies bytes, as the mode allows, until either connection ends.
func (p *proxy) copyBytes(from, to net.Conn, fromStore bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		switch mode := proxyMode(p.mode.Load()); {
		case mode == modeSilence, mode == modeDropAnswers && fromStore:
			n = 0 // dropped; the connection stays unusable until a timeout or reset ends it
		case mode == modeDelay:
			time.Sleep(proxyDelay)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
