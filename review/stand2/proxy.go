package main

import (
	"bytes"
	"net"
	"sync"
)

// proxy passes the connections of one machine to the store on. Single connections can fall
// silent: nothing passes any more, and nothing is closed or reset.
type proxy struct {
	addr  string
	store string

	mu    sync.Mutex
	links map[*link]bool
}

// link is one connection through a proxy.
type link struct {
	mu     sync.Mutex
	latest []byte // first line of the latest request
	silent bool
}

// newProxy starts a proxy to the store on a free port of an address.
func newProxy(ip, store string) (*proxy, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: l.Addr().String(), store: store, links: map[*link]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) serve(machine net.Conn) {
	defer func() { _ = machine.Close() }()
	store, err := net.Dial("tcp", p.store)
	if err != nil {
		return
	}
	defer func() { _ = store.Close() }()
	k := &link{}
	p.mu.Lock()
	p.links[k] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.links, k)
		p.mu.Unlock()
	}()
	go func() {
		k.pass(machine, store, false)
		if !k.isSilent() {
			_ = machine.Close()
		}
	}()
	k.pass(store, machine, true)
}

// pass copies bytes until the connection that they come from ends.
func (k *link) pass(to, from net.Conn, isRequest bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if isRequest {
				k.note(buf[:n])
			}
			if !k.isSilent() {
				if _, err := to.Write(buf[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			return
		}
	}
}

// note remembers the first line of a request.
func (k *link) note(data []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	line, _, _ := bytes.Cut(data, []byte("\r\n"))
	if bytes.HasSuffix(line, []byte("HTTP/1.1")) {
		k.latest = bytes.Clone(line)
	}
}

func (k *link) isSilent() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.silent
}

// silence makes the open connections fall silent whose latest request contains text. It returns
// their number and that of all connections.
func (p *proxy) silence(text string) (silenced, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k := range p.links {
		k.mu.Lock()
		if bytes.Contains(k.latest, []byte(text)) {
			k.silent = true
			silenced++
		}
		k.mu.Unlock()
	}
	return silenced, len(p.links)
}
