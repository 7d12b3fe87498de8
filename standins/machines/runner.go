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

// Header fields of requests and responses.
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
	HeaderResumes          = "Resumes"        // request ID of the attempt that brought the first event of a stream that is taken up
	HeaderLeaving          = "Server-Leaving" // "1" in all responses of a runner that leaves
	HeaderRetryAfter       = "Retry-After"    // seconds
	HeaderLimit            = "Server-Limit"   // requests per second that a runner takes from all instances together
	// KeyScheme is the authentication scheme before the key in the field
	// Authorization, with the space that separates them.
	KeyScheme = "Token "
)

// Script handles one request by writing the response to the connection c. It
// returns whether the connection stays open.
type Script func(r *http.Request, body []byte, c net.Conn) (keepOpen bool)

// Runner is a stand-in for a runner. Its script writes the raw bytes of each
// response, so that responses can be malformed or incomplete.
type Runner struct {
	ID         string
	Version    string // of its software, which PutRunner registers
	listener   net.Listener
	goroutines sync.WaitGroup

	mu       sync.Mutex
	script   Script
	requests []*http.Request
	conns    map[net.Conn]bool
}

// StartRunner listens on a free loopback port and serves until Close. It returns
// an error when it cannot listen.
func StartRunner(id string, script Script) (*Runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Runner{ID: id, listener: l, script: script, conns: map[net.Conn]bool{}}
	r.goroutines.Go(r.accept)
	return r, nil
}

// Address returns the listening address as host:port.
func (r *Runner) Address() string { return r.listener.Addr().String() }

// SetScript replaces the script of the requests that arrive from now on.
func (r *Runner) SetScript(s Script) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.script = s
}

// Requests returns the requests received since the start, in order of arrival.
func (r *Runner) Requests() []*http.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*http.Request(nil), r.requests...)
}

// Connections returns the number of open connections.
func (r *Runner) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// Close closes the listener and all connections and waits for the handlers.
func (r *Runner) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.goroutines.Wait()
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
		r.goroutines.Go(func() { r.serve(c) })
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
		r.requests = append(r.requests, req)
		script := r.script
		r.mu.Unlock()
		if !script(req, body, c) {
			return
		}
	}
}

// ResponseHead returns the status line and header of a response to req, with the
// empty line that ends the header. headerLines are further lines of the header.
func ResponseHead(req *http.Request, status int, headerLines ...string) string {
	lines := append([]string{fmt.Sprintf("HTTP/1.1 %d %s", status, http.StatusText(status)),
		HeaderRequestID + ": " + req.Header.Get(HeaderRequestID), HeaderSeal + ": seal-of-" + req.Header.Get(HeaderRequestID)}, headerLines...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// Answer returns a script that sends a complete response.
func Answer(status int, body string) Script {
	return func(r *http.Request, _ []byte, c net.Conn) bool {
		_, err := io.WriteString(c, ResponseHead(r, status, fmt.Sprintf("Content-Length: %d", len(body)))+body)
		return err == nil
	}
}

// Shed is a script that sheds load: it answers 503 with the header that says that
// the request was not executed.
func Shed(_ *http.Request, _ []byte, c net.Conn) bool {
	_, err := io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n"+HeaderNotExecuted+": 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// Cut is a script that closes the connection without a response.
func Cut(*http.Request, []byte, net.Conn) bool { return false }

// Event returns one server-sent event with the given id.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: token-%d\n\n", id, id) }

// UnframedStream is like Stream, but the body has neither a length nor chunks and ends with
// the connection.
func UnframedStream(first, last int, complete bool) Script {
	return func(r *http.Request, _ []byte, c net.Conn) bool {
		response := ResponseHead(r, 200, "Content-Type: text/event-stream", "Connection: close")
		for id := first; id <= last; id++ {
			response += Event(id)
		}
		if !complete {
			e := Event(last + 1)
			response += e[:len(e)/2]
		}
		_, _ = io.WriteString(c, response) // fails only if the caller has left
		return false
	}
}

// Stream returns a script that sends the events first to last as chunks. If
// complete is false, the connection is closed in the middle of the next event.
func Stream(first, last int, complete bool) Script {
	return func(r *http.Request, _ []byte, c net.Conn) bool {
		response := ResponseHead(r, 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
		for id := first; id <= last; id++ {
			e := Event(id)
			response += fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
		}
		if complete {
			response += "0\r\n\r\n"
		} else {
			e := Event(last + 1)
			response += fmt.Sprintf("%x\r\n%s", len(e), e[:len(e)/2])
		}
		_, err := io.WriteString(c, response)
		return err == nil && complete
	}
}
