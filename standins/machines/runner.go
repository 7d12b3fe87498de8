package machines

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// Header fields of requests and answers.
const (
	HeaderRequestID        = "X-Attempt-Id"
	HeaderSeal             = "X-Response-Seal"
	HeaderNotExecuted      = "X-Request-Not-Executed"
	HeaderDeadline         = "X-Deadline-Remaining"
	HeaderTokens           = "X-Token-Counts"
	HeaderPrompt           = "X-Prompt-Prefix"
	HeaderTenant           = "X-Tenant-Name"
	HeaderExpectedInstance = "X-Expected-Instance"
	HeaderLastEventID      = "Last-Event-Id"
	// KeyScheme precedes the key in the field Authorization.
	KeyScheme = "Token "
)

// Script answers one request on the connection c. It reports whether the
// connection stays open.
type Script func(r *http.Request, body []byte, c net.Conn) (keep bool)

// Runner is a stand-in of a runner that answers with a script, byte by byte if
// need be.
type Runner struct {
	ID       string
	listener net.Listener
	done     sync.WaitGroup

	mu     sync.Mutex
	script Script
	runs   []*http.Request
	conns  map[net.Conn]bool
}

// StartRunner serves on a loopback address until Close.
func StartRunner(id string, script Script) (*Runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Runner{ID: id, listener: l, script: script, conns: map[net.Conn]bool{}}
	r.done.Go(r.accept)
	return r, nil
}

// Address returns host:port.
func (r *Runner) Address() string { return r.listener.Addr().String() }

// SetScript replaces the script for later requests.
func (r *Runner) SetScript(s Script) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.script = s
}

// Requests returns the requests that arrived.
func (r *Runner) Requests() []*http.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*http.Request(nil), r.runs...)
}

// Connections returns the number of open connections.
func (r *Runner) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Close ends the runner and its connections.
func (r *Runner) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.done.Wait()
}

func (r *Runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		r.done.Go(func() { r.serve(c) })
	}
}

func (r *Runner) serve(c net.Conn) {
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
		r.mu.Lock()
		r.runs = append(r.runs, req)
		script := r.script
		r.mu.Unlock()
		if !script(req, body, c) {
			return
		}
	}
}

// ResponseHead returns the status line and header of an answer to req, up to the empty
// line. extra are header lines.
func ResponseHead(req *http.Request, status int, extra ...string) string {
	lines := append([]string{fmt.Sprintf("HTTP/1.1 %d %s", status, http.StatusText(status)),
		HeaderRequestID + ": " + req.Header.Get(HeaderRequestID), HeaderSeal + ": seal-of-" + req.Header.Get(HeaderRequestID)}, extra...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// Answer is a script with a whole answer.
func Answer(status int, body string) Script {
	return func(r *http.Request, _ []byte, c net.Conn) bool {
		_, err := io.WriteString(c, ResponseHead(r, status, fmt.Sprintf("Content-Length: %d", len(body)))+body)
		return err == nil
	}
}

// Shed is a script that says that the request was not run.
func Shed(_ *http.Request, _ []byte, c net.Conn) bool {
	_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n"+HeaderNotExecuted+": 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// Cut is a script that closes the connection without an answer.
func Cut(*http.Request, []byte, net.Conn) bool { return false }

// Event returns one event of a stream.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: token-%d\n\n", id, id) }

// Stream is a script that sends the events first to last as chunks. A stream
// that is not whole breaks off in the middle of the next event.
func Stream(first, last int, whole bool) Script {
	return func(r *http.Request, _ []byte, c net.Conn) bool {
		text := ResponseHead(r, 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
		for id := first; id <= last; id++ {
			e := Event(id)
			text += fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
		}
		if whole {
			text += "0\r\n\r\n"
		} else {
			e := Event(last + 1)
			text += fmt.Sprintf("%x\r\n%s", len(e), e[:len(e)/2])
		}
		_, err := io.WriteString(c, text)
		return err == nil && whole
	}
}
