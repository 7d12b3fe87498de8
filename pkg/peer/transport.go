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
)

// Transport sends and takes calls over WebSocket. Calls go out on connections
// that this instance opened; calls of peers come in through ServeHTTP.
//
// The handshake proves to both sides that the other one knows the credential.
// It does not protect the later messages: use TLS where the network between
// instances is not trusted.
type Transport struct {
	self     Identity
	opts     Options
	metrics  *metrics
	client   *http.Client
	ctx      context.Context // ends with Close
	cancel   context.CancelFunc
	handlers map[Method]Handler // read-only once serving has begun

	mu       sync.Mutex
	closed   bool
	outgoing map[string]*outgoing
	running  sync.WaitGroup // Add only under mu while not closed
}

// outgoing is the connection to an address, or the attempt to open it.
type outgoing struct {
	ready chan struct{} // closed when conn or err is set
	conn  *conn
	err   error
}

var (
	_ Caller       = (*Transport)(nil)
	_ Registrar    = (*Transport)(nil)
	_ http.Handler = (*Transport)(nil)
)

// New returns a transport. reg may be nil.
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
			DialContext: opts.dial, TLSClientConfig: opts.TLS, TLSHandshakeTimeout: opts.SilenceTimeout,
		}},
		handlers: map[Method]Handler{}, outgoing: map[string]*outgoing{},
	}
}

// Handle registers the handler of a method. It must not be called after the
// first call was made or served.
func (t *Transport) Handle(method Method, h Handler) { t.handlers[method] = h }

// Call sends req to the instance at address and decodes the answer into resp.
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
	a := t.exchange(ctx, address, method, body)
	switch {
	case a.err != nil:
		return a.err
	case resp == nil:
		return nil
	}
	return Unmarshal(a.body, resp)
}

func (t *Transport) exchange(ctx context.Context, address string, method Method, body []byte) answer {
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
			return c.await(ctx, p)
		}
		select { // the connection ended before it took the call; open another one
		case <-c.done:
		case <-ctx.Done():
			return answer{err: notSent(method, address, ctx.Err())}
		}
	}
}

// callSelf runs the handler without a connection.
func (t *Transport) callSelf(ctx context.Context, method Method, body []byte) answer {
	done := make(chan answer, 1)
	if ctx.Err() != nil || !t.start(func() { done <- t.handle(ctx, t.self, method, body) }) {
		return answer{err: notSent(method, t.self.Address, "the call or this instance ended")}
	}
	select {
	case a := <-done:
		return a
	case <-ctx.Done():
		return answer{err: notAnswered(method, t.self.Address, ctx.Err())}
	}
}

// handle runs a handler and encodes its result.
func (t *Transport) handle(ctx context.Context, from Identity, method Method, body []byte) answer {
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

// connect returns the connection to address and opens it if there is none.
func (t *Transport) connect(ctx context.Context, address string) (*conn, error) {
	t.mu.Lock()
	o := t.outgoing[address]
	if o == nil {
		if t.closed {
			t.mu.Unlock()
			return nil, unreachable(address, "this instance is stopping")
		}
		o = &outgoing{ready: make(chan struct{})}
		t.outgoing[address] = o
		t.running.Add(1)
		go func() {
			defer t.running.Done()
			t.open(address, o)
		}()
	}
	t.mu.Unlock()
	select {
	case <-o.ready:
		return o.conn, o.err
	case <-ctx.Done():
		return nil, unreachable(address, ctx.Err())
	}
}

// open dials address and serves the connection until it ends.
func (t *Transport) open(address string, o *outgoing) {
	c, err := t.dial(address)
	forget := func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.outgoing, address)
	}
	if err != nil {
		forget()
		o.err = err
		close(o.ready)
		return
	}
	o.conn = c
	close(o.ready)
	c.run(forget)
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
		t.metrics.connection(resultFailed)
		return nil, unreachable(address, err)
	}
	remote, err := t.greet(ctx, ws)
	if err != nil {
		_ = ws.CloseNow() // the handshake error matters
		return nil, t.handshakeError(address, err)
	}
	t.met(remote)
	return newConn(t, ws, remote, address, true), nil
}

func (t *Transport) met(remote Identity) {
	if t.opts.OnPeer != nil {
		t.opts.OnPeer(remote)
	}
}

// handshakeError keeps a typed refusal and turns anything else into Unavailable.
func (t *Transport) handshakeError(address string, err error) error {
	var typed *failure.Error
	if errors.As(err, &typed) {
		t.metrics.connection(resultRefused)
		return typed
	}
	t.metrics.connection(resultFailed)
	return unreachable(address, err)
}

// ServeHTTP takes a connection of a peer and serves it until it ends.
func (t *Transport) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !t.enter() {
		failure.Write(w, failure.New(failure.NotReady, "connect to another instance", "this instance is stopping"))
		return
	}
	defer t.running.Done()
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		t.metrics.connection(resultFailed)
		return // Accept has answered the request
	}
	ctx, cancel := context.WithTimeout(t.ctx, t.opts.SilenceTimeout)
	remote, err := t.admit(ctx, ws)
	cancel()
	if err != nil {
		_ = t.handshakeError(r.RemoteAddr, err) // counts it
		_ = ws.CloseNow()                       // the client has its refusal
		return
	}
	t.met(remote)
	newConn(t, ws, remote, remote.Address, false).run(func() {})
}

// enter reports whether the transport runs; then the caller owes running.Done.
func (t *Transport) enter() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.running.Add(1)
	}
	return !t.closed
}

// start runs f in a goroutine that Close waits for.
func (t *Transport) start(f func()) bool {
	if !t.enter() {
		return false
	}
	go func() {
		defer t.running.Done()
		f()
	}()
	return true
}

// Close ends all connections and waits until all handlers have returned or ctx
// ends. Their contexts are cancelled. Calls fail from then on.
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

// answer is the end of a call: its encoded result or an error.
type answer struct {
	body []byte
	err  error
}

// remaining returns the time until the deadline of ctx, which is set.
func remaining(ctx context.Context) time.Duration {
	deadline, _ := ctx.Deadline()
	return time.Until(deadline)
}
