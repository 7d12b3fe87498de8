package peer

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
)

const (
	// maxBatchBytes bounds the messages that are joined into one WebSocket
	// message. 16 KiB is far above the usual batch and keeps the delay of a
	// keepalive short.
	maxBatchBytes = 16 << 10
	// maxQueuedBytes bounds the send queue of a connection; the queue can
	// exceed it by one message.
	maxQueuedBytes = 16 << 20
	// messageOverheadBytes bounds the size of a message without its body.
	messageOverheadBytes = 4 << 10
	// maxReusedBufferBytes is the largest capacity of a read buffer that is
	// reused.
	maxReusedBufferBytes = 64 << 10
	// writeTimeout closes a connection whose peer sends keepalives but does not
	// read.
	writeTimeout = 10 * time.Second
)

var (
	errSilent   = errors.New("no data was received within the silence timeout")
	errIdle     = errors.New("the connection was idle")
	errSlowPeer = errors.New("the send queue is full because the peer reads too slowly")
)

// conn is an established connection. The client, which opened it, sends calls;
// the server answers them.
type conn struct {
	transport *Transport
	ws        *websocket.Conn
	remote    Identity
	address   string
	isClient  bool // this side opened the connection
	ctx       context.Context
	cancel    context.CancelCauseFunc
	done      chan struct{} // closed when the connection has ended and its calls have failed
	startedAt time.Time
	lastRead  atomic.Int64  // duration from startedAt to the last received byte
	wake      chan struct{} // signals the writer that the queue is not empty

	mu              sync.Mutex
	closed          bool
	queue           []*queuedMessage
	queuedBytes     int
	lastCallID      uint64
	calls           map[uint64]*pendingCall
	lastSend        time.Duration // since startedAt
	lastCall        time.Duration // since startedAt
	runningHandlers int
	waiting         []incomingCall
}

// queuedMessage is an encoded message in the send queue.
type queuedMessage struct {
	data   []byte
	method string
	call   *pendingCall // nil for answers and keepalives
}

// pendingCall is a call of this side that waits for its answer.
type pendingCall struct {
	method    Method
	id        uint64
	done      chan answer // has a buffer of one
	dequeued  bool        // taken by the writer, so it may have been sent
	abandoned bool        // the caller gave up before the writer took it
}

// incomingCall is a call of the peer.
type incomingCall struct {
	message
	deadline time.Time
}

func newConn(t *Transport, ws *websocket.Conn, remote Identity, address string, isClient bool) *conn {
	ws.SetReadLimit(int64(max(t.opts.MaxMessageBytes, maxBatchBytes) + messageOverheadBytes))
	ctx, cancel := context.WithCancelCause(t.ctx)
	t.metrics.countConnection(resultOpened)
	return &conn{
		transport: t, ws: ws, remote: remote, address: address, isClient: isClient, ctx: ctx, cancel: cancel,
		done: make(chan struct{}), startedAt: time.Now(), wake: make(chan struct{}, 1), calls: map[uint64]*pendingCall{},
	}
}

// run serves the connection until it ends. It calls unregister before it fails
// the pending calls, so that a retried call gets a new connection.
func (c *conn) run(unregister func()) {
	c.transport.startGoroutine(c.writeLoop)
	timer := c.startKeepalive()
	c.cancel(c.readLoop())
	timer.Stop()
	_ = c.ws.CloseNow() // the connection is broken or no longer needed
	unregister()
	c.mu.Lock()
	c.closed = true
	calls := c.calls
	c.calls, c.waiting, c.queue = nil, nil, nil
	c.mu.Unlock()
	cause := context.Cause(c.ctx)
	for _, p := range calls {
		if p.dequeued {
			p.done <- answer{err: notAnsweredError(p.method, c.address, cause)}
		} else {
			p.done <- answer{err: notSentError(p.method, c.address, cause)}
		}
	}
	c.transport.metrics.countConnection(closeResult(c.transport.ctx, cause))
	close(c.done)
}

// closeResult returns the metric label for the end of a connection.
func closeResult(transport context.Context, cause error) string {
	switch {
	case transport.Err() != nil:
		return resultClosed
	case errors.Is(cause, errSilent):
		return resultSilent
	case errors.Is(cause, errIdle):
		return resultIdle
	}
	return resultBroken
}

// startKeepalive starts a timer that sends keepalives and closes a silent or
// idle connection. It fires twice per keepalive interval, so that two sends are
// less than one and a half intervals apart.
func (c *conn) startKeepalive() *time.Timer {
	interval := c.transport.opts.KeepaliveInterval / 2
	var timer *time.Timer
	armed := make(chan struct{})
	timer = time.AfterFunc(interval, func() {
		<-armed
		if c.ctx.Err() == nil {
			c.checkTimers()
			timer.Reset(interval)
		}
	})
	close(armed)
	return timer
}

func (c *conn) checkTimers() {
	now := time.Since(c.startedAt)
	if now-time.Duration(c.lastRead.Load()) >= c.transport.opts.SilenceTimeout {
		c.cancel(errSilent)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClient && len(c.calls) == 0 && now-c.lastCall >= c.transport.opts.IdleTimeout {
		c.closed = true
		c.cancel(errIdle)
		return
	}
	if now-c.lastSend >= c.transport.opts.KeepaliveInterval && len(c.queue) == 0 {
		c.enqueue(message{Type: typeKeepalive}, methodKeepalive, nil)
	}
}

// send queues a call. It returns false if the connection is closed.
func (c *conn) send(ctx context.Context, method Method, body []byte) (*pendingCall, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false
	}
	c.lastCallID++
	c.lastCall = time.Since(c.startedAt)
	p := &pendingCall{method: method, id: c.lastCallID, done: make(chan answer, 1)}
	if c.queuedBytes > maxQueuedBytes {
		p.done <- answer{err: notSentError(method, c.address, errSlowPeer)}
		return p, true
	}
	c.calls[p.id] = p
	c.enqueue(message{
		Type: typeCall, CallID: p.id, Method: method, TimeoutMillis: roundUpMillis(remaining(ctx)), Body: body,
	}, string(method), p)
	return p, true
}

// awaitAnswer waits for the answer to a call. A call that the writer has not
// taken when ctx ends is never sent.
func (c *conn) awaitAnswer(ctx context.Context, p *pendingCall) answer {
	select {
	case a := <-p.done:
		return a
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case a := <-p.done:
		return a
	default:
	}
	delete(c.calls, p.id)
	if p.dequeued {
		return answer{err: notAnsweredError(p.method, c.address, ctx.Err())}
	}
	p.abandoned = true
	return answer{err: notSentError(p.method, c.address, ctx.Err())}
}

// enqueue adds a message to the send queue. It must be called with mu held.
func (c *conn) enqueue(m message, method string, p *pendingCall) {
	data, err := Marshal(m)
	if err != nil {
		panic(err) // a message can always be encoded
	}
	c.queue = append(c.queue, &queuedMessage{data: data, method: method, call: p})
	c.queuedBytes += len(data)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *conn) writeLoop() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.wake:
		}
		for batch := c.nextBatch(); len(batch) > 0; batch = c.nextBatch() {
			if err := c.writeBatch(batch); err != nil {
				c.cancel(errors.Wrap(err, "write to the connection"))
				return
			}
		}
	}
}

func (c *conn) writeBatch(batch []byte) error {
	ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
	defer cancel()
	return c.ws.Write(ctx, websocket.MessageBinary, batch)
}

// nextBatch removes the next messages from the queue and joins them into at
// most maxBatchBytes, or into one larger message. It returns nothing if the
// queue is empty.
func (c *conn) nextBatch() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch []byte
	numTaken := 0
	for _, queued := range c.queue {
		if len(batch) > 0 && len(batch)+len(queued.data) > maxBatchBytes {
			break
		}
		numTaken++
		c.queuedBytes -= len(queued.data)
		if queued.call != nil {
			if queued.call.abandoned {
				continue
			}
			queued.call.dequeued = true
		}
		batch = append(batch, queued.data...)
		c.transport.metrics.countMessage(queued.method, directionSent, len(queued.data))
	}
	if c.queue = c.queue[numTaken:]; len(c.queue) == 0 {
		c.queue = nil
	}
	if len(batch) > 0 {
		c.lastSend = time.Since(c.startedAt)
	}
	return batch
}
