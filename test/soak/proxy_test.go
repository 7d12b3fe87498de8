package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// way is what a proxy does with bytes.
type way int32

const (
	pass way = iota
	delay
	dropAnswers // only the bytes of the server are lost
	silence
	refuse
	ways
)

// delayBy is far below the time-outs of calls to the store.
const delayBy = 60 * time.Millisecond

// proxy stands between an instance and the store.
type proxy struct {
	listener net.Listener
	target   string
	way      atomic.Int32
	done     sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	p.done.Go(p.accept)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
	p.done.Wait()
}

// reset breaks all open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // a reset instead of an orderly end
		}
		_ = c.Close()
	}
	clear(p.conns)
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if way(p.way.Load()) == refuse {
			_ = c.Close()
			continue
		}
		s, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		p.mu.Lock()
		p.conns[c], p.conns[s] = true, true
		p.mu.Unlock()
		p.done.Go(func() { p.carry(c, s, false) })
		p.done.Go(func() { p.carry(s, c, true) })
	}
}

// carry copies bytes until one side ends.
func (p *proxy) carry(from, to net.Conn, answers bool) {
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
		switch w := way(p.way.Load()); {
		case w == silence, w == dropAnswers && answers:
			n = 0 // a connection that lost bytes must not go on: it ends with its time-out or the next reset
		case w == delay:
			time.Sleep(delayBy)
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
