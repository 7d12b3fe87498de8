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
	// batchBytes bounds the messages that are joined into one WebSocket message.
	// 16 KiB is far above the usual batch and keeps a beat from waiting long.
	batchBytes = 16 << 10
	// maxQueuedBytes bounds what waits for a slow peer, beyond one message.
	maxQueuedBytes = 16 << 20
	// messageOverhead is the room for everything in a message but its body.
	messageOverhead = 4 << 10
	// keptBufferBytes is the largest read buffer that is kept for reuse.
	keptBufferBytes = 64 << 10
	// writeTimeout ends a connection whose peer sends beats but reads nothing.
	writeTimeout = 10 * time.Second
)

var (
	errSilent = errors.New("the connection was silent")
	errIdle   = errors.New("the connection was idle")
	errQueue  = errors.New("the peer reads too slowly")
)

// conn is an established connection. The side that opened it sends calls, the
// other side answers.
type conn struct {
	t       *Transport
	ws      *websocket.Conn
	remote  Identity
	address string
	opened  bool // by this side
	ctx     context.Context
	end     context.CancelCauseFunc
	done    chan struct{} // closed when the connection is forgotten
	start   time.Time
	read    atomic.Int64  // time of the last received byte, since start
	wake    chan struct{} // tells the writer that the queue is not empty

	mu       sync.Mutex
	closed   bool
	queue    []*item
	queued   int // bytes
	number   uint64
	calls    map[uint64]*call
	lastSend time.Duration // since start
	lastCall time.Duration
	handling int
	waiting  []incoming
}

// item is an encoded message in the queue.
type item struct {
	data   []byte
	method string
	call   *call // nil for answers and beats
}

// call is a call of this side.
type call struct {
	method    Method
	number    uint64
	done      chan answer // buffered
	taken     bool        // by the writer, so it may have been sent
	abandoned bool        // the caller gave up before that
}

// incoming is a call of the peer.
type incoming struct {
	message
	deadline time.Time
}

func newConn(t *Transport, ws *websocket.Conn, remote Identity, address string, opened bool) *conn {
	ws.SetReadLimit(int64(max(t.opts.MaxMessageBytes, batchBytes) + messageOverhead))
	ctx, end := context.WithCancelCause(t.ctx)
	t.metrics.connection(resultOpened)
	return &conn{
		t: t, ws: ws, remote: remote, address: address, opened: opened, ctx: ctx, end: end,
		done: make(chan struct{}), start: time.Now(), wake: make(chan struct{}, 1), calls: map[uint64]*call{},
	}
}

// run serves the connection until it ends. It calls forget before it fails the
// open calls, so that a repeated call gets a new connection.
func (c *conn) run(forget func()) {
	c.t.start(c.writeLoop)
	ticker := c.watch()
	c.end(c.readLoop())
	ticker.Stop()
	_ = c.ws.CloseNow() // it is broken or no longer needed
	forget()
	c.mu.Lock()
	c.closed = true
	calls := c.calls
	c.calls, c.waiting, c.queue = nil, nil, nil
	c.mu.Unlock()
	cause := context.Cause(c.ctx)
	for _, p := range calls {
		if p.taken {
			p.done <- answer{err: notAnswered(p.method, c.address, cause)}
		} else {
			p.done <- answer{err: notSent(p.method, c.address, cause)}
		}
	}
	c.t.metrics.connection(endResult(c.t.ctx, cause))
	close(c.done)
}

func endResult(transport context.Context, cause error) string {
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

// watch sends beats and ends a silent or idle connection. Half the heartbeat
// interval keeps the gap between two sends below one and a half intervals.
func (c *conn) watch() *time.Timer {
	period := c.t.opts.KeepaliveInterval / 2
	var timer *time.Timer
	armed := make(chan struct{})
	timer = time.AfterFunc(period, func() {
		<-armed
		if c.ctx.Err() == nil {
			c.tick()
			timer.Reset(period)
		}
	})
	close(armed)
	return timer
}

func (c *conn) tick() {
	now := time.Since(c.start)
	if now-time.Duration(c.read.Load()) >= c.t.opts.SilenceTimeout {
		c.end(errSilent)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.opened && len(c.calls) == 0 && now-c.lastCall >= c.t.opts.IdleTimeout {
		c.closed = true
		c.end(errIdle)
		return
	}
	if now-c.lastSend >= c.t.opts.KeepaliveInterval && len(c.queue) == 0 {
		c.enqueue(message{Type: typeBeat}, methodBeat, nil)
	}
}

// send queues a call. It reports false when the connection takes none.
func (c *conn) send(ctx context.Context, method Method, body []byte) (*call, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false
	}
	c.number++
	c.lastCall = time.Since(c.start)
	p := &call{method: method, number: c.number, done: make(chan answer, 1)}
	if c.queued > maxQueuedBytes {
		p.done <- answer{err: notSent(method, c.address, errQueue)}
		return p, true
	}
	c.calls[p.number] = p
	c.enqueue(message{
		Type: typeCall, Number: p.number, Method: method, TimeoutMillis: millis(remaining(ctx)), Body: body,
	}, string(method), p)
	return p, true
}

// await waits for the answer of a call. A call that the writer has not taken
// when ctx ends is never sent.
func (c *conn) await(ctx context.Context, p *call) answer {
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
	delete(c.calls, p.number)
	if p.taken {
		return answer{err: notAnswered(p.method, c.address, ctx.Err())}
	}
	p.abandoned = true
	return answer{err: notSent(p.method, c.address, ctx.Err())}
}

// enqueue must be called with mu held.
func (c *conn) enqueue(m message, method string, p *call) {
	data, err := Marshal(m)
	if err != nil {
		panic(err) // the type always encodes
	}
	c.queue = append(c.queue, &item{data: data, method: method, call: p})
	c.queued += len(data)
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
		for batch := c.take(); len(batch) > 0; batch = c.take() {
			if err := c.write(batch); err != nil {
				c.end(errors.Wrap(err, "writing to the connection"))
				return
			}
		}
	}
}

func (c *conn) write(batch []byte) error {
	ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
	defer cancel()
	return c.ws.Write(ctx, websocket.MessageBinary, batch)
}

// take removes the next messages from the queue and joins them.
func (c *conn) take() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	var batch []byte
	taken := 0
	for _, it := range c.queue {
		if len(batch) > 0 && len(batch)+len(it.data) > batchBytes {
			break
		}
		taken++
		c.queued -= len(it.data)
		if it.call != nil {
			if it.call.abandoned {
				continue
			}
			it.call.taken = true
		}
		batch = append(batch, it.data...)
		c.t.metrics.message(it.method, sent, len(it.data))
	}
	if c.queue = c.queue[taken:]; len(c.queue) == 0 {
		c.queue = nil
	}
	if len(batch) > 0 {
		c.lastSend = time.Since(c.start)
	}
	return batch
}
