package machines

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
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
	HeaderResumes          = "Resumes"        // id of the caller's request that brought the first event of a stream that is resumed
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
	ID string
	// Version is the version of its software, empty if its registration names none.
	Version    string
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

// Events are the events of streams. The zero value names no version and makes no pauses.
type Events struct {
	// Version is the version of the software that writes the events.
	Version string
	// Pause follows each event. Without it, a script sends its response with one write.
	Pause time.Duration
}

// Event returns one server-sent event with the given id.
func (e Events) Event(id int) string {
	if e.Version == "" {
		return fmt.Sprintf("id: %d\ndata: token-%d\n\n", id, id)
	}
	return fmt.Sprintf("id: %d\ndata: token-%d of %s\n\n", id, id, e.Version)
}

// Event returns one server-sent event with the given id and no version.
func Event(id int) string { return Events{}.Event(id) }

// Stream is Events.Stream without version and pauses.
func Stream(first, last int, complete bool) Script { return Events{}.Stream(first, last, complete) }

// UnframedStream is Events.UnframedStream without version and pauses.
func UnframedStream(first, last int, complete bool) Script {
	return Events{}.UnframedStream(first, last, complete)
}

// UnframedStream is like Stream, but the body has neither a length nor chunks and ends with
// the connection.
func (e Events) UnframedStream(first, last int, complete bool) Script {
	return func(r *http.Request, _ []byte, c net.Conn) bool {
		head := ResponseHead(r, 200, "Content-Type: text/event-stream", "Connection: close")
		tail := ""
		if !complete {
			next := e.Event(last + 1)
			tail = next[:len(next)/2]
		}
		_ = e.write(c, head, "%[2]s", first, last, tail) // fails only if the caller has left
		return false
	}
}

// Stream returns a script that sends the events first to last as chunks. If
// complete is false, the connection is closed in the middle of the next event.
func (e Events) Stream(first, last int, complete bool) Script {
	return func(r *http.Request, _ []byte, c net.Conn) bool {
		head := ResponseHead(r, 200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
		tail := "0\r\n\r\n"
		if !complete {
			next := e.Event(last + 1)
			tail = fmt.Sprintf("%x\r\n%s", len(next), next[:len(next)/2])
		}
		return e.write(c, head, "%x\r\n%s\r\n", first, last, tail) == nil && complete
	}
}

// write writes head, the events first to last, and tail. format formats the length and the
// text of an event.
func (e Events) write(c net.Conn, head, format string, first, last int, tail string) error {
	response := head
	for id := first; id <= last; id++ {
		text := e.Event(id)
		response += fmt.Sprintf(format, len(text), text)
		if e.Pause == 0 {
			continue
		}
		if _, err := io.WriteString(c, response); err != nil {
			return err
		}
		response = ""
		time.Sleep(e.Pause)
	}
	_, err := io.WriteString(c, response+tail)
	return err
}
