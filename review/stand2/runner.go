package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

const (
	// heartbeat is the delay between two registrations of a runner.
	heartbeat = 1200 * time.Millisecond
	// firstEvent is the time from the arrival of a request to the first event of its answer.
	firstEvent = 60 * time.Millisecond
	// stride is the number of output tokens in an event.
	stride = 4
)

// runner is a stand-in of one model runner.
type runner struct {
	w       *world
	service string
	zone    string
	slots   int

	mu       sync.Mutex
	id       string
	address  string
	version  string
	born     int64
	sequence uint64
	up       bool
	listener net.Listener
	conns    map[net.Conn]bool
}

// newRunner starts a runner on a free port.
func (w *world) newRunner(id, zone, version string) (*runner, error) {
	r := &runner{w: w, service: modelService, zone: zone, slots: 64, id: id, address: w.ip(200) + ":0"}
	if err := r.start(id, version); err != nil {
		return nil, err
	}
	w.runners = append(w.runners, r)
	go r.beatLoop()
	return r, nil
}

// start begins a new incarnation at the address of the former one.
func (r *runner) start(id, version string) error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.id, r.address, r.version, r.born, r.sequence = id, l.Addr().String(), version, time.Now().UnixMilli(), 0
	r.up, r.listener, r.conns = true, l, map[net.Conn]bool{}
	r.mu.Unlock()
	r.w.rec.log("runner %s starts: version %s at %s", id, version, r.address)
	go r.accept(l)
	r.beat()
	return nil
}

// crash resets all connections and ends the process; nothing is said to anybody.
func (r *runner) crash(why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.up = false
	_ = r.listener.Close()
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	r.w.rec.log("runner %s crashes: %s", r.id, why)
}

func (r *runner) isUp() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.up
}

func (r *runner) beatLoop() {
	time.Sleep(rand.N(heartbeat)) // runners do not beat at the same time
	for range time.Tick(heartbeat) {
		r.beat()
	}
}

// beat writes the registration.
func (r *runner) beat() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.sequence++
	id := r.id
	entry := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":"ready","cold_remaining_ms":0,"stage":"prefill_decode","models":[{"name":"m","version":1,"adapters":[]}],"sequence":%d,"born":%d}`,
		r.service, r.address, r.zone, r.version, r.slots, r.sequence, r.born)
	r.mu.Unlock()
	r.w.store.register(id, entry)
}

func (r *runner) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		up := r.up && r.listener == l
		if up {
			r.conns[c] = true
		}
		r.mu.Unlock()
		if !up {
			_ = c.Close()
			continue
		}
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
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !r.answer(req, c) {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (r *runner) answer(req *http.Request, c net.Conn) bool {
	r.mu.Lock()
	id, version := r.id, r.version
	r.mu.Unlock()
	attempt := req.Header.Get(machines.HeaderRequestID)
	if req.URL.Path == "/health" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	if expected := req.Header.Get(machines.HeaderExpectedInstance); expected != "" && expected != id {
		r.w.rec.log("%s reaches runner %s, which is not %s: 421", attempt, id, expected)
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", machines.HeaderRequestID, attempt, id)
		return err == nil
	}
	r.w.reached(attempt, id, version, req.Header.Get(machines.HeaderLastEventID))
	time.Sleep(firstEvent)
	if r.w.crashes(req) {
		r.w.crashedBy(attempt, id)
		r.crash("it begins to write an answer to " + attempt)
		return false
	}
	first := 1
	if n, err := strconv.Atoi(req.Header.Get(machines.HeaderLastEventID)); err == nil {
		first = n + 1
	}
	_, output, _ := strings.Cut(req.Header.Get(machines.HeaderTokens), ",")
	tokens, _ := strconv.Atoi(output)
	if _, err := io.WriteString(c, machines.ResponseHead(req, http.StatusOK, "X-Weight-Versions: 1", "Content-Type: text/event-stream", "Transfer-Encoding: chunked")); err != nil {
		return false
	}
	for n := first; n <= tokens/stride; n++ {
		if n > first {
			time.Sleep(r.w.pause)
		}
		event := fmt.Sprintf("id: %d\ndata: token %d by %s %s\n\n", n, n, version, id)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
