package upstream

import (
	"bufio"
	"bytes"
	"context"
	"hash/maphash"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/clementinerack/clementinerack/pkg/limits"
	"github.com/clementinerack/clementinerack/pkg/membudget"
	"github.com/clementinerack/clementinerack/pkg/splice"
)

const (
	// dialTimeout bounds the time to open a connection. Reachable endpoints accept
	// within two round trips. A lost packet is retransmitted only after a second, so
	// that a new attempt is faster.
	dialTimeout = 200 * time.Millisecond
	// keepAliveIdleInterval, keepAliveProbeInterval and maxKeepAliveProbes configure
	// TCP keep-alive such that a dead connection is detected within 2 s. A read
	// timeout cannot detect it, because a live endpoint may send nothing for longer.
	// The kernel counts in whole seconds.
	keepAliveIdleInterval, keepAliveProbeInterval, maxKeepAliveProbes = time.Second, time.Second, 1
	// tcpUserTimeout bounds the time that sent data may remain unacknowledged. It
	// allows for two retransmissions.
	tcpUserTimeout = time.Second
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint sends
	// no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is subtracted from the Keep-Alive timeout of the endpoint, so
	// that the endpoint does not close a connection on which a request is in flight.
	idleTimeoutMargin = time.Second
	// readBufferBytes has room for the header of a response and a few events. Larger
	// request bodies are written concurrently with reading the response.
	readBufferBytes = 4 << 10
	// maxRefusedRequests bounds the IDs of refused requests that a connection remembers.
	// After as many refusals it is closed.
	maxRefusedRequests = 64
	// maxResponsesRead bounds the responses that are read in search of the one to the
	// request. Interim responses (1xx) count too.
	maxResponsesRead = 3
	// maxStatus is the largest status of a response (RFC 9110, section 15).
	maxStatus = 599
)

// Request is a request to an endpoint.
type Request struct {
	// ID identifies the request to the endpoint, which repeats it in its responses. If an
	// endpoint has refused it, it is sent again only on another connection: on the same one,
	// a copy of the refusal would look like the new response. It may be empty.
	ID     string
	Method string
	// Target is the request target, sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Domain is the failure domain of the endpoint, or empty. If nothing has arrived from it for a
	// second, the request is sent on a new connection: on an idle one that a partition has made
	// dead it would be lost, or arrive when the partition ends.
	Domain string
	// IsOwnResponse reports whether a response with the given header belongs to this
	// request. reused is set if the connection has carried an earlier request, of which
	// another response may arrive. If IsOwnResponse is nil, every response belongs to it.
	IsOwnResponse func(header http.Header, reused bool) bool
	// OnHead is called for the head of each final response that arrives in search of the
	// own one, also if it belongs to another request. It may be nil.
	OnHead func(status int, header http.Header)
	// MaySend is called before the first byte of the request is written. If it returns false,
	// Do fails with ErrWithdrawn. It may be nil.
	MaySend func() bool
}

// ErrWithdrawn means that Request.MaySend returned false.
var ErrWithdrawn = errors.New("the request may no longer be sent to the endpoint")

// Progress says how far a failed request got.
type Progress int

// Values of Progress.
const (
	// NotSent means that no byte of the request was written.
	NotSent Progress = iota
	// MaybeRead means that the endpoint may have read the request.
	MaybeRead
)

// Error is the error of a request without a response.
type Error struct {
	Progress Progress
	Cause    error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Progress == NotSent {
		return "not sent: " + e.Cause.Error()
	}
	return "no complete response: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Client sends requests and keeps idle connections to endpoints. It is safe for
// concurrent use.
type Client struct {
	dial   func(ctx context.Context, address string) (net.Conn, error)
	budget *membudget.Budget // of the responses, by address
	// OnDial is called before each new connection is opened. It may be nil and must
	// not be changed after the first request.
	OnDial     func()
	seed       maphash.Seed // of hashID
	activities activities

	mu     sync.Mutex
	idle   map[string][]*conn // by address, most recently used last
	closed bool
}

// New returns a client that opens TCP connections with short timeouts, so that an
// unreachable endpoint is detected early.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdleInterval, Interval: keepAliveProbeInterval, Count: maxKeepAliveProbes},
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockErr error
			if err := c.Control(func(fd uintptr) {
				sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
			}); err != nil {
				return err
			}
			return sockErr
		}}
	return NewWithDialer(func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
}

// NewWithDialer returns a client that opens connections with dial. The memory of its
// responses is bounded by membudget.ForProcess.
func NewWithDialer(dial func(ctx context.Context, address string) (net.Conn, error)) *Client {
	return &Client{dial: dial, seed: maphash.MakeSeed(), budget: membudget.ForProcess(), idle: map[string][]*conn{}}
}

// MemoryUsed returns how many bytes the responses hold of their budget.
func (c *Client) MemoryUsed() int64 { return c.budget.Used() }

// conn is a connection to an endpoint. One request uses it at a time.
type conn struct {
	net.Conn
	address       string
	reader        *bufio.Reader
	reused        bool      // an earlier request has used it
	activity      *activity // of the failure domain, may be nil
	reusableUntil time.Time // when the endpoint may close it
	// refused holds the hashes of the IDs of the requests that were refused or answered with
	// an error on this connection.
	refused []uint64
	// headBytesLeft is how many more bytes may be received for the head that is being
	// read, or unlimited. headBytes are those received so far.
	headBytesLeft int
	headBytes     []byte
	head          membudget.Head     // of headBytes
	memory        *membudget.Account // of the request that uses it
}

// Close closes the idle connections. Connections in use are closed when their
// request ends.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, list := range c.idle {
		for _, cn := range list {
			_ = cn.Close()
		}
	}
	c.idle = map[string][]*conn{}
}

// CloseIdleConnections closes the idle connections to an address.
func (c *Client) CloseIdleConnections(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle[address] {
		_ = cn.Close()
	}
	delete(c.idle, address)
}

// takeIdle removes the most recently used connection to an address that can carry the
// request with the given ID and returns it, or nil if there is none. It closes those that are
// not reusable.
func (c *Client) takeIdle(address, id string, now time.Time) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		cn := list[i]
		if id != "" && cn.hasRefused(c.hashID(id)) {
			continue
		}
		list = slices.Delete(list, i, i+1)
		c.idle[address] = list
		if now.Before(cn.reusableUntil) && cn.isReusable() {
			return cn
		}
		_ = cn.Close()
	}
	return nil
}

// hashID returns the hash of a request ID. A collision costs only a new connection.
func (c *Client) hashID(id string) uint64 { return maphash.String(c.seed, id) }

// hasRefused reports whether the request whose ID has the given hash was refused or answered
// with an error on this connection.
func (c *conn) hasRefused(hash uint64) bool { return slices.Contains(c.refused, hash) }

// isReusable reports whether the connection is open and no unread data has arrived
// on it.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

// putIdle keeps a connection for later requests, or closes it if the client is
// closed.
func (c *Client) putIdle(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = cn.Close()
		return
	}
	c.idle[cn.address] = append(c.idle[cn.address], cn)
}

// Do sends a request and returns the response once its header has arrived. The
// caller must close the response. If ctx ends before the body was read, further
// reads fail and the connection is closed, which tells the endpoint that the
// response is no longer needed. Errors are of type *Error and wrap the cause of the
// end of ctx, if it has ended.
func (c *Client) Do(ctx context.Context, address string, req *Request) (*Response, error) {
	cn, err := c.connect(ctx, address, req)
	if err != nil {
		return nil, &Error{NotSent, err}
	}
	if req.MaySend != nil && !req.MaySend() {
		_ = cn.Close()
		return nil, &Error{NotSent, ErrWithdrawn}
	}
	cn.memory = c.budget.Open(address)
	x := &exchange{client: c, conn: cn, req: req}
	x.stopCancel = context.AfterFunc(ctx, func() { _ = cn.SetDeadline(time.Unix(1, 0)) })
	resp, err := x.roundTrip()
	if err != nil {
		x.finish(abandoned)
		cn.memory.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &Error{x.progress(), err}
	}
	return resp, nil
}

// connect returns an idle connection that can carry the request, or opens a new one.
func (c *Client) connect(ctx context.Context, address string, req *Request) (*conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	activity := c.activities.of(req.Domain)
	var cn *conn
	if !activity.isSilent() {
		cn = c.takeIdle(address, req.ID, time.Now())
	}
	if cn == nil {
		var err error
		if cn, err = c.open(ctx, address); err != nil {
			return nil, err
		}
		activity.record()
	}
	cn.activity = activity
	return cn, nil
}

// open opens a new connection.
func (c *Client) open(ctx context.Context, address string) (*conn, error) {
	if c.OnDial != nil {
		c.OnDial()
	}
	netConn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	cn := &conn{Conn: netConn, address: address, headBytesLeft: unlimited}
	cn.reader = bufio.NewReaderSize(cn, readBufferBytes)
	return cn, nil
}

// TryConnect opens a connection and keeps it for later requests. syscall.ECONNREFUSED
// means that the process at the address has ended.
func (c *Client) TryConnect(ctx context.Context, address string) error {
	cn, err := c.open(ctx, address)
	if err != nil {
		return err
	}
	cn.reusableUntil = time.Now().Add(defaultIdleTimeout)
	c.putIdle(cn)
	return nil
}

// exchange is a request and its response on a connection.
type exchange struct {
	client     *Client
	conn       *conn
	req        *Request
	stopCancel func() bool // detaches the connection from the context of the request
	finishOnce sync.Once

	mu             sync.Mutex
	mayHaveWritten bool          // a byte of the request may have been written
	writeDone      chan struct{} // closed when writeRequest has returned
	writeErr       error         // of writeRequest; valid once writeDone is closed
}

// progress reports whether the endpoint may have read the request.
func (x *exchange) progress() Progress {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.mayHaveWritten {
		return MaybeRead
	}
	return NotSent
}

// roundTrip writes the request and reads the header of its response. A long body is
// written concurrently, because the endpoint may respond before it has read all of
// it.
func (x *exchange) roundTrip() (*Response, error) {
	x.writeDone = make(chan struct{})
	if len(x.req.Body) > readBufferBytes {
		go x.writeRequest()
	} else {
		x.writeRequest()
		if x.writeErr != nil {
			return nil, x.writeErr
		}
	}
	parseReq := &http.Request{Method: x.req.Method}
	skipped := 0
	for range maxResponsesRead {
		resp, err := x.conn.readHead(parseReq)
		if err != nil {
			return nil, err
		}
		switch {
		case resp.StatusCode < 100 || resp.StatusCode > maxStatus || resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.Wrapf(ErrStatus, "status %d", resp.StatusCode)
		case resp.StatusCode < 200:
			continue
		}
		if x.req.OnHead != nil {
			x.req.OnHead(resp.StatusCode, resp.Header)
		}
		own := newResponse(resp, x)
		if x.req.IsOwnResponse == nil || x.req.IsOwnResponse(resp.Header, x.conn.reused) {
			own.Skipped = skipped
			return own, nil
		}
		skipped++
		if own.EndsWithConnection {
			return nil, errors.New("the body of a response to another request ends with the connection")
		}
		if err := discard(resp.Body); err != nil {
			return nil, errors.Wrap(err, "skip response to another request")
		}
	}
	return nil, errors.New("no response to the request among those received")
}

// readHead reads the head of a response, of at most limits.ResponseHeadBytes. It fails with
// splice.ErrHead if the head goes on with other bytes, with splice.ErrFraming if it leaves open
// where the body ends, and with ErrNoMemory if the budget does not allow so large a head.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.headBytes = append(c.headBytes[:0], c.buffered()...)
	c.headBytesLeft, c.head = limits.ResponseHeadBytes, membudget.Head{}
	if !c.head.Receive(c.headBytes, c.memory) {
		return nil, ErrNoMemory
	}
	resp, err := http.ReadResponse(c.reader, req)
	c.headBytesLeft = unlimited
	if err != nil {
		return nil, err
	}
	// http.ReadResponse deletes some fields, so that the bytes are checked.
	err = splice.CheckHead(c.headBytes[:len(c.headBytes)-c.reader.Buffered()])
	if cap(c.headBytes) > readBufferBytes {
		c.headBytes = nil // the connection may stay idle
	}
	return resp, err
}

// buffered returns the bytes that were received and not read yet. They are valid until the
// next read.
func (c *conn) buffered() []byte {
	b, _ := c.reader.Peek(c.reader.Buffered()) // does not read, so that it cannot fail
	return b
}

// Read implements io.Reader for the reader of the connection.
func (c *conn) Read(p []byte) (int, error) {
	if c.headBytesLeft == unlimited {
		n, err := c.Conn.Read(p)
		c.recordArrival(n)
		return n, err
	}
	if c.headBytesLeft <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headBytesLeft)])
	c.recordArrival(n)
	if !c.head.Receive(p[:n], c.memory) {
		return 0, ErrNoMemory
	}
	c.headBytesLeft -= n
	c.headBytes = append(c.headBytes, p[:n]...)
	return n, err
}

// recordArrival records that n bytes have arrived.
func (c *conn) recordArrival(n int) {
	if n > 0 {
		c.activity.record()
	}
}

// writeRequest writes the head and the body of the request.
func (x *exchange) writeRequest() {
	defer close(x.writeDone)
	head := encodeHead(x.req)
	x.mu.Lock()
	x.mayHaveWritten = true
	x.mu.Unlock()
	bufs := net.Buffers{head}
	if len(x.req.Body) > 0 {
		bufs = append(bufs, x.req.Body)
	}
	n, err := bufs.WriteTo(x.conn.Conn)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.writeErr = err
	x.mayHaveWritten = n > 0
}

// stopWriting ends the writing of the request, after which the connection cannot be reused. It
// returns why the connection failed before that, or nil if it did not.
func (x *exchange) stopWriting() error {
	_ = x.conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
	<-x.writeDone
	if errors.Is(x.writeErr, os.ErrDeadlineExceeded) {
		return nil
	}
	return x.writeErr
}

// encodeHead returns the request line and the header of a request. It adds only Host
// and, for a body or a method that usually has one, Content-Length.
func encodeHead(r *Request) []byte {
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

// exchangeEnd says how an exchange ends.
type exchangeEnd int

const (
	// reusable means that the response is complete and the connection can be kept.
	reusable exchangeEnd = iota
	// completed means that the response is complete and the connection cannot be kept.
	completed
	// abandoned means that the response is not complete.
	abandoned
)

// finish ends the exchange. It keeps a reusable connection if the request was written
// completely, no further data has arrived and the context has not ended. Otherwise it closes
// the connection. Only the first call has an effect.
//
// The connection of an abandoned exchange is reset: what a partition holds up of the request
// would otherwise reach the endpoint when it ends, although the request was given up or sent
// to another endpoint.
func (x *exchange) finish(end exchangeEnd) {
	x.finishOnce.Do(func() {
		stopped := x.stopCancel()
		keep := end == reusable
		select {
		case <-x.writeDone:
			keep = keep && x.writeErr == nil
		default:
			keep = false // the request is not yet written completely
		}
		if !keep || !stopped || x.conn.reader.Buffered() > 0 {
			if tcp, ok := x.conn.Conn.(interface{ SetLinger(seconds int) error }); ok && end == abandoned {
				_ = tcp.SetLinger(0) // fails only on a closed connection
			}
			_ = x.conn.Close()
			return
		}
		x.conn.reused = true
		x.client.putIdle(x.conn)
	})
}

// idleTimeout returns how long a connection may be kept idle after a response with
// the header h. It is 0 if the connection must not be reused.
func idleTimeout(h http.Header) time.Duration {
	if strings.EqualFold(h.Get("Connection"), "close") {
		return 0
	}
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		s, ok := limits.ParseInt(strings.TrimSpace(value))
		if ok && strings.EqualFold(strings.TrimSpace(name), "timeout") {
			return max(0, limits.Duration(float64(s), time.Second)-idleTimeoutMargin)
		}
	}
	return defaultIdleTimeout
}
