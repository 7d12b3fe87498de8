package peer

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

func (c *conn) readLoop() error {
	var buf bytes.Buffer
	for {
		_, r, err := c.ws.Reader(c.ctx)
		if err != nil {
			return errors.Wrap(err, "read from the connection")
		}
		if buf.Cap() > maxReusedBufferBytes {
			buf = bytes.Buffer{}
		}
		buf.Reset()
		if _, err := buf.ReadFrom(activityReader{r, c}); err != nil {
			return errors.Wrap(err, "read from the connection")
		}
		if err := c.handleBatch(buf.Bytes()); err != nil {
			return err
		}
	}
}

// activityReader records the time of each read, so that every part of a long
// message counts as activity.
type activityReader struct {
	io.Reader
	conn *conn
}

func (r activityReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.conn.lastRead.Store(int64(time.Since(r.conn.startedAt)))
	return n, err
}

// handleBatch processes the messages of one WebSocket message. An error ends the
// connection.
func (c *conn) handleBatch(batch []byte) error {
	for len(batch) > 0 {
		var m message
		rest, err := decMode.UnmarshalFirst(batch, &m)
		if err != nil {
			return failure.New(failure.Format, "run compatible versions on all instances", "message of peer %s cannot be decoded: %v", c.address, err)
		}
		size := len(batch) - len(rest)
		batch = rest
		switch {
		case m.Type == typeKeepalive:
			c.transport.metrics.countMessage(methodKeepalive, directionReceived, size)
		case m.Type == typeCall && !c.isClient:
			c.transport.metrics.countMessage(c.transport.methodLabel(m.Method), directionReceived, size)
			c.acceptCall(incomingCall{m, time.Now().Add(m.timeout())})
		case m.Type == typeAnswer && c.isClient:
			c.completeCall(m, size)
		default:
			return failure.New(failure.Format, "run compatible versions on all instances", "peer %s sent a message of unexpected type %d", c.address, m.Type)
		}
	}
	return nil
}

// methodLabel returns the metric label for a method named by a peer.
func (t *Transport) methodLabel(m Method) string {
	if _, ok := t.handlers[m]; ok {
		return string(m)
	}
	return methodUnknown
}

// completeCall passes an answer to its caller, if the caller still waits.
func (c *conn) completeCall(m message, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.calls[m.CallID]
	if !ok {
		c.transport.metrics.countMessage(methodUnknown, directionReceived, size)
		return
	}
	delete(c.calls, m.CallID)
	c.transport.metrics.countMessage(string(p.method), directionReceived, size)
	a := answer{body: m.Body}
	if m.Error != nil {
		a.err = m.Error
	}
	p.done <- a
}

// acceptCall starts the handler of a call, queues the call, or refuses it if
// the queue is full.
func (c *conn) acceptCall(in incomingCall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.runningHandlers < c.transport.opts.MaxHandlers:
		if c.transport.startGoroutine(func() { c.serveCalls(in) }) {
			c.runningHandlers++
		}
	case len(c.waiting) < c.transport.opts.MaxWaiting:
		c.waiting = append(c.waiting, in)
	default:
		c.sendAnswer(in, answer{err: failure.New(failure.Limited, "repeat the call later",
			"peer %s already has %d calls in progress", c.transport.self.Instance, c.runningHandlers+len(c.waiting))})
	}
}

// serveCalls runs the handler of in and then those of the waiting calls.
func (c *conn) serveCalls(in incomingCall) {
	for ok := true; ok; in, ok = c.nextCall() {
		a := c.runHandler(in)
		c.mu.Lock()
		c.sendAnswer(in, a)
		c.mu.Unlock()
	}
}

func (c *conn) runHandler(in incomingCall) answer {
	if !time.Now().Before(in.deadline) {
		return answer{err: failure.New(failure.Unavailable, "repeat the call", "call %s waited for a handler past its deadline and did not run", in.Method)}
	}
	ctx, cancel := context.WithDeadline(c.ctx, in.deadline)
	defer cancel()
	return c.transport.runHandler(ctx, c.remote, in.Method, in.Body)
}

func (c *conn) nextCall() (incomingCall, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting) == 0 {
		c.runningHandlers--
		return incomingCall{}, false
	}
	in := c.waiting[0]
	c.waiting = c.waiting[1:]
	return in, true
}

// sendAnswer queues the answer to a call. It must be called with mu held.
func (c *conn) sendAnswer(in incomingCall, a answer) {
	if c.closed {
		return
	}
	if c.queuedBytes > maxQueuedBytes {
		c.cancel(errSlowPeer)
		return
	}
	m := message{Type: typeAnswer, CallID: in.CallID, Body: a.body}
	if a.err != nil {
		m.Error = failure.From(a.err)
	}
	c.enqueue(m, c.transport.methodLabel(in.Method), nil)
}
