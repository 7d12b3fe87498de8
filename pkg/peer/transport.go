package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/limits"
)

// Transport sends and serves calls over WebSocket. It sends calls on
// connections that this instance opened and serves those that peers open
// through ServeHTTP.
//
// The handshake proves to each side that the other one knows the credential. It
// does not protect later messages: use TLS if the network between instances is
// not trusted.
type Transport struct {
	self     Identity
	opts     Options
	metrics  *metrics
	client   *http.Client
	ctx      context.Context // ends with Close
	cancel   context.CancelFunc
	handlers map[Method]Handler // read-only after the first call

	mu       sync.Mutex
	closed   bool
	outgoing map[string]*outgoingConn
	running  sync.WaitGroup // incremented only while not closed, under mu
}

// outgoingConn is the connection to an address, or the attempt to open it.
type outgoingConn struct {
	ready chan struct{} // closed when conn or err is set
	conn  *conn
	err   error
}

var (
	_ Caller       = (*Transport)(nil)
	_ Registrar    = (*Transport)(nil)
	_ http.Handler = (*Transport)(nil)
)

// New returns a transport. A nil reg leaves the metrics unregistered.
func New(self Identity, opts Options, reg prometheus.Registerer) *Transport {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	if opts.dial == nil {
		opts.dial = (&net.Dialer{Timeout: opts.SilenceTimeout}).DialContext
	}
	return &Transport{
		self: self, opts: opts, metrics: newMetrics(reg), ctx: ctx, cancel: cancel,
		// No proxy: peers are addressed directly, whatever the environment says.
		client: &http.Client{Transport: &http.Transport{
			DialContext: opts.dial, TLSClientConfig: opts.TLS, TLSHandshakeTimeout: opts.SilenceTimeout, MaxResponseHeaderBytes: limits.ResponseHeadBytes,
		}},
		handlers: map[Method]Handler{}, outgoing: map[string]*outgoingConn{},
	}
}

// Handle registers the handler of a method. It must not be called after the
// first call was sent or served.
func (t *Transport) Handle(method Method, h Handler) { t.handlers[method] = h }

// Call sends req to the instance at address and decodes the answer into resp. A
// context without a deadline gets CallTimeout. Errors are those of Caller.Call;
// a request above MaxMessageBytes is failure.Invalid.
func (t *Transport) Call(ctx context.Context, address string, method Method, req, resp any) error {
	body, err := Marshal(req)
	if err != nil {
		return err
	}
	if len(body) > t.opts.MaxMessageBytes {
		return failure.New(failure.Invalid, "send less per call", "request of %s has %d bytes, the limit is %d",
			method, len(body), t.opts.MaxMessageBytes)
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, t.opts.CallTimeout)
		defer cancel()
	}
	a := t.roundTrip(ctx, address, method, body)
	switch {
	case a.err != nil:
		return a.err
	case resp == nil:
		return nil
	}
	return Unmarshal(a.body, resp)
}

func (t *Transport) roundTrip(ctx context.Context, address string, method Method, body []byte) answer {
	if address == t.self.Address {
		return t.callSelf(ctx, method, body)
	}
	for {
		c, err := t.connect(ctx, address)
		if err != nil {
			return answer{err: err}
		}
		p, ok := c.send(ctx, method, body)
		if ok {
			return c.awaitAnswer(ctx, p)
		}
		select { // the connection ended before it took the call; open another one
		case <-c.done:
		case <-ctx.Done():
			return answer{err: notSentError(method, address, ctx.Err())}
		}
	}
}

// callSelf runs the handler of this instance without a connection.
func (t *Transport) callSelf(ctx context.Context, method Method, body []byte) answer {
	done := make(chan answer, 1)
	if ctx.Err() != nil || !t.startGoroutine(func() { done <- t.runHandler(ctx, t.self, method, body) }) {
		return answer{err: notSentError(method, t.self.Address, "the context has ended or this instance is stopping")}
	}
	select {
	case a := <-done:
		return a
	case <-ctx.Done():
		return answer{err: notAnsweredError(method, t.self.Address, ctx.Err())}
	}
}

// runHandler runs the handler of a method and encodes its result.
func (t *Transport) runHandler(ctx context.Context, from Identity, method Method, body []byte) answer {
	h, ok := t.handlers[method]
	if !ok {
		return answer{err: UnknownMethod(method)}
	}
	result, err := h(ctx, from, body)
	if err != nil {
		return answer{err: HandlerError(err)}
	}
	b, err := Marshal(result)
	if err == nil && len(b) > t.opts.MaxMessageBytes {
		err = failure.New(failure.Internal, "report this message to the maintainers",
			"answer of %s has %d bytes, the limit is %d", method, len(b), t.opts.MaxMessageBytes)
	}
	if err != nil {
		return answer{err: failure.From(err)}
	}
	return answer{body: b}
}

// connect returns the connection to address and opens one if there is none.
func (t *Transport) connect(ctx context.Context, address string) (*conn, error) {
	t.mu.Lock()
	o := t.outgoing[address]
	if o == nil {
		if t.closed {
			t.mu.Unlock()
			return nil, unreachableError(address, "this instance is stopping")
		}
		o = &outgoingConn{ready: make(chan struct{})}
		t.outgoing[address] = o
		t.running.Add(1)
		go func() {
			defer t.running.Done()
			t.dialAndServe(address, o)
		}()
	}
	t.mu.Unlock()
	select {
	case <-o.ready:
		return o.conn, o.err
	case <-ctx.Done():
		return nil, unreachableError(address, ctx.Err())
	}
}

// dialAndServe dials address and serves the connection until it ends.
func (t *Transport) dialAndServe(address string, o *outgoingConn) {
	c, err := t.dial(address)
	unregister := func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.outgoing, address)
	}
	if err != nil {
		unregister()
		o.err = err
		close(o.ready)
		return
	}
	o.conn = c
	close(o.ready)
	c.run(unregister)
}

func (t *Transport) dial(address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(t.ctx, t.opts.SilenceTimeout)
	defer cancel()
	scheme := "ws://"
	if t.opts.TLS != nil {
		scheme = "wss://"
	}
	ws, _, err := websocket.Dial(ctx, scheme+address+Path, &websocket.DialOptions{HTTPClient: t.client})
	if err != nil {
		t.metrics.countConnection(resultFailed)
		return nil, unreachableError(address, err)
	}
	remote, err := t.clientHandshake(ctx, ws)
	if err != nil {
		_ = ws.CloseNow() // the handshake error is returned instead
		return nil, t.recordHandshakeError(address, err)
	}
	t.notifyOnPeer(remote)
	return newConn(t, ws, remote, address, true), nil
}

func (t *Transport) notifyOnPeer(remote Identity) {
	if t.opts.OnPeer != nil {
		t.opts.OnPeer(remote)
	}
}

// recordHandshakeError counts a failed handshake. It returns a typed error as
// it is and any other as failure.Unavailable.
func (t *Transport) recordHandshakeError(address string, err error) error {
	var typed *failure.Error
	if errors.As(err, &typed) {
		t.metrics.countConnection(resultRefused)
		return typed
	}
	t.metrics.countConnection(resultFailed)
	return unreachableError(address, err)
}

// ServeHTTP accepts a connection of a peer and serves it until it ends.
func (t *Transport) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !t.addRunning() {
		failure.Write(w, failure.New(failure.NotReady, "connect to another instance", "this instance is stopping"))
		return
	}
	defer t.running.Done()
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		t.metrics.countConnection(resultFailed)
		return // Accept has sent an error response
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.opts.SilenceTimeout)
	remote, err := t.serverHandshake(ctx, ws)
	cancel()
	if err != nil {
		_ = t.recordHandshakeError(r.RemoteAddr, err) // only counts the error
		_ = ws.CloseNow()                             // the client has already received the refusal
		return
	}
	t.notifyOnPeer(remote)
	newConn(t, ws, remote, remote.Address, false).run(func() {})
}

// addRunning increments running unless the transport is closed, and reports
// whether it did. The caller must then call running.Done.
func (t *Transport) addRunning() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.running.Add(1)
	}
	return !t.closed
}

// startGoroutine runs f in a goroutine that Close waits for. It returns false
// if the transport is closed.
func (t *Transport) startGoroutine(f func()) bool {
	if !t.addRunning() {
		return false
	}
	go func() {
		defer t.running.Done()
		f()
	}()
	return true
}

// Close ends all connections, cancels the contexts of the handlers and waits
// until the handlers have returned. It returns failure.Timeout if ctx ends
// earlier. Calls fail from then on.
func (t *Transport) Close(ctx context.Context) error {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.cancel()
	done := make(chan struct{})
	go func() {
		t.running.Wait()
		t.client.CloseIdleConnections()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return failure.New(failure.Timeout, "", "handlers of peer calls did not return: %v", ctx.Err())
	}
}

// answer is the result of a call: its encoding or an error.
type answer struct {
	body []byte
	err  error
}

// remaining returns the time until the deadline of ctx, which must have one.
func remaining(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline)
}
