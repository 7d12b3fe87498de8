package upstream

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds a new connection. Endpoints in reach accept within two
	// round trips; a lost packet is sent again only after a second, later than a
	// new attempt.
	dialTimeout = 200 * time.Millisecond
	// probeIdle, probeInterval and probeCount find a connection that went silent
	// within 2 s, although the endpoint may rightly send nothing for longer. The
	// system counts in whole seconds.
	probeIdle, probeInterval, probeCount = time.Second, time.Second, 1
	// userTimeout bounds the wait for the acknowledgement of sent bytes: two
	// retransmissions.
	userTimeout = time.Second
	// defaultIdle is how long a connection is kept when the endpoint names no time.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the time that the endpoint names, so that it does not
	// close a connection while a request is on its way.
	idleMargin = time.Second
	// readBuffer holds the header of an answer and a few events.
	readBuffer = 4 << 10
	// maxSkipped bounds the foreign answers that are skipped on a connection.
	maxSkipped = 3
)

// Request is one request to an endpoint.
type Request struct {
	Method string
	// Target is the request target as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IsOwnResponse reports whether an answer belongs to this request.
	IsOwnResponse func(http.Header) bool
}

// Progress tells how far a failed request got.
type Progress int

// Progress of a request.
const (
	// NotSent: no byte reached the endpoint.
	NotSent Progress = iota
	// MaybeRead: the endpoint may have read the request.
	MaybeRead
)

// Error is a failed exchange.
type Error struct {
	Progress Progress
	Cause    error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Progress == NotSent {
		return "not sent: " + e.Cause.Error()
	}
	return "no whole answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Client keeps connections to endpoints. It is safe for concurrent use.
type Client struct {
	dial func(ctx context.Context, address string) (net.Conn, error)
	// OnDial is called for each new connection; it may be nil.
	OnDial func()

	mu     sync.Mutex
	idle   map[string][]*conn // by address, latest used last
	closed bool
}

// New returns a client.
func New() *Client {
	d := &net.Dialer{Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			if err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			}); err != nil {
				return err
			}
			return failed
		}}
	return NewWithDialer(func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) })
}

// NewWithDialer returns a client that opens connections with dial.
func NewWithDialer(dial func(ctx context.Context, address string) (net.Conn, error)) *Client {
	return &Client{dial: dial, idle: map[string][]*conn{}}
}

// conn is one connection to an endpoint, used by one request at a time.
type conn struct {
	net.Conn
	address string
	br      *bufio.Reader
	expires time.Time // not to be used again from then on
}

// Close closes the connections that are not in use and keeps no others.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, list := range c.idle {
		for _, k := range list {
			_ = k.Close()
		}
	}
	c.idle = map[string][]*conn{}
}

// CloseIdleConnections closes the unused connections to an address.
func (c *Client) CloseIdleConnections(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.idle[address] {
		_ = k.Close()
	}
	delete(c.idle, address)
}

// take returns a kept connection that is still open and clean, or nil.
func (c *Client) take(address string, now time.Time) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for list := c.idle[address]; len(list) > 0; {
		k := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[address] = list
		if now.Before(k.expires) && k.clean() {
			return k
		}
		_ = k.Close()
	}
	return nil
}

// clean reports whether the connection is open and nothing has arrived on it.
func (k *conn) clean() bool {
	if k.br.Buffered() > 0 {
		return false
	}
	sc, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func (c *Client) put(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = k.Close()
		return
	}
	c.idle[k.address] = append(c.idle[k.address], k)
}

// Do sends a request and returns the answer once its header has arrived. The
// exchange ends with ctx: the connection is closed, by which endpoints notice
// that nobody waits. The caller must close the answer.
func (c *Client) Do(ctx context.Context, address string, req *Request) (*Response, error) {
	k, err := c.open(ctx, address)
	if err != nil {
		return nil, &Error{NotSent, err}
	}
	x := &exchange{client: c, conn: k, req: req}
	x.stop = context.AfterFunc(ctx, func() { _ = k.SetDeadline(time.Unix(1, 0)) })
	a, err := x.run()
	if err != nil {
		x.end(false)
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &Error{x.progress(), err}
	}
	return a, nil
}

func (c *Client) open(ctx context.Context, address string) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if k := c.take(address, time.Now()); k != nil {
		return k, nil
	}
	if c.OnDial != nil {
		c.OnDial()
	}
	n, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n, address: address, br: bufio.NewReaderSize(n, readBuffer)}, nil
}

// exchange is one request on a connection.
type exchange struct {
	client *Client
	conn   *conn
	req    *Request
	stop   func() bool
	once   sync.Once

	mu      sync.Mutex
	wrote   bool          // any byte left
	written chan struct{} // closed when the writer has ended
	failed  error         // of the writer
}

func (x *exchange) progress() Progress {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.wrote {
		return MaybeRead
	}
	return NotSent
}

// run writes the request beside reading, because an endpoint may answer before
// it has read a long body.
func (x *exchange) run() (*Response, error) {
	x.written = make(chan struct{})
	if len(x.req.Body) > readBuffer {
		go x.write()
	} else {
		x.write()
		if x.failed != nil {
			return nil, x.failed
		}
	}
	probe := &http.Request{Method: x.req.Method}
	for range maxSkipped {
		resp, err := http.ReadResponse(x.conn.br, probe)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 200 {
			continue
		}
		if x.req.IsOwnResponse == nil || x.req.IsOwnResponse(resp.Header) {
			return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, body: resp, x: x}, nil
		}
		if err := skip(resp); err != nil {
			return nil, errors.Wrap(err, "an answer to another request broke off")
		}
	}
	return nil, errors.New("only answers to other requests arrived")
}

func (x *exchange) write() {
	defer close(x.written)
	head := encode(x.req)
	x.mu.Lock()
	x.wrote = true
	x.mu.Unlock()
	bufs := net.Buffers{head}
	if len(x.req.Body) > 0 {
		bufs = append(bufs, x.req.Body)
	}
	n, err := bufs.WriteTo(x.conn.Conn)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.failed = err
	x.wrote = n > 0
}

// encode returns the request line and header. Only the fields of this connection
// are added to those of the request.
func encode(r *Request) []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// end returns the connection, or closes it if it must not be used again.
func (x *exchange) end(reuse bool) {
	x.once.Do(func() {
		stopped := x.stop()
		select {
		case <-x.written:
			reuse = reuse && x.failed == nil
		default:
			reuse = false // the endpoint has not read the whole request
		}
		if !reuse || !stopped || x.conn.br.Buffered() > 0 {
			_ = x.conn.Close()
			return
		}
		x.client.put(x.conn)
	})
}

// idleFor returns how long the connection may be kept after an answer.
func idleFor(h http.Header) time.Duration {
	if strings.EqualFold(h.Get("Connection"), "close") {
		return 0
	}
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(s)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}
