package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// heartbeat is the interval of the registrations of runners.
const heartbeat = 1200 * time.Millisecond

// answerer writes the answer to a request. It returns whether the connection stays open.
type answerer func(r *runner, req *http.Request, body []byte, c net.Conn) bool

// runner is a stand-in of a runner that registers in the store.
type runner struct {
	id, service, zone string
	slots             int
	store             *machines.Store
	listener          net.Listener
	answer            answerer

	mu     sync.Mutex
	state  string // "" while it is not registered
	beats  int
	conns  map[net.Conn]bool
	closed bool
}

// startRunner starts and registers a runner.
func startRunner(s *machines.Store, id, service, zone string, slots int, answer answerer) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, service: service, zone: zone, slots: slots, store: s, listener: l, answer: answer, state: "ready", conns: map[net.Conn]bool{}}
	r.register()
	go r.accept()
	go func() {
		for range time.Tick(heartbeat) {
			r.register()
		}
	}()
	return r, nil
}

func (r *runner) address() string { return r.listener.Addr().String() }

// born is the start time that runners report.
var born = time.Now().UnixMilli()

func (r *runner) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == "" {
		return
	}
	r.beats++
	putJSON(r.store, machines.ServersPrefix+r.id, map[string]any{"service": r.service, "address": r.address(), "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": r.state, "cold_remaining_ms": 0, "sequence": r.beats, "born": born})
}

// close ends the runner.
func (r *runner) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for c := range r.conns {
		_ = c.Close()
	}
}

func (r *runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *runner) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.Header.Get(machines.HeaderExpectedInstance) != r.id {
			_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", machines.HeaderRequestID, attemptID(req), r.id)
			if err != nil {
				return
			}
			continue
		}
		if !r.answer(r, req, body, c) {
			return
		}
	}
}

// attemptID returns the id of a client's attempt.
func attemptID(req *http.Request) string { return req.Header.Get(machines.HeaderRequestID) }

// writeWhole writes a whole answer with a length.
func writeWhole(c net.Conn, req *http.Request, status int, body string) bool {
	_, err := io.WriteString(c, machines.ResponseHead(req, status, fmt.Sprintf("Content-Length: %d", len(body)))+body)
	return err == nil
}

// writeRefusal writes that the request was not run because the runner is full.
func writeRefusal(c net.Conn, req *http.Request) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", machines.HeaderRequestID, attemptID(req), machines.HeaderNotExecuted)
	return err == nil
}

// tokensPerEvent is the stride of the model engines.
const tokensPerEvent = 4

// event returns one event of a stream.
func event(n int) string { return fmt.Sprintf("id: %d\ndata: token token token token\n\n", n) }

// writeStream writes a stream of events, from the one after Last-Event-Id, each after a pause.
// It returns how many it wrote, and whether the connection stays open.
func writeStream(c net.Conn, req *http.Request, first, last int, pause time.Duration) (events int, ok bool) {
	if _, err := io.WriteString(c, machines.ResponseHead(req, http.StatusOK, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")); err != nil {
		return 0, false
	}
	for n := first; n <= last; n++ {
		time.Sleep(pause)
		e := event(n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return events, false
		}
		events++
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return events, err == nil
}
