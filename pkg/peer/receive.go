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
			return errors.Wrap(err, "reading from the connection")
		}
		if buf.Cap() > keptBufferBytes {
			buf = bytes.Buffer{}
		}
		buf.Reset()
		if _, err := buf.ReadFrom(progress{r, c}); err != nil {
			return errors.Wrap(err, "reading from the connection")
		}
		if err := c.receive(buf.Bytes()); err != nil {
			return err
		}
	}
}

// progress counts each part of a long message as a sign of life.
type progress struct {
	io.Reader
	c *conn
}

func (p progress) Read(b []byte) (int, error) {
	n, err := p.Reader.Read(b)
	p.c.read.Store(int64(time.Since(p.c.start)))
	return n, err
}

func (c *conn) receive(batch []byte) error {
	for len(batch) > 0 {
		var m message
		rest, err := decMode.UnmarshalFirst(batch, &m)
		if err != nil {
			return failure.New(failure.Format, "run compatible versions on all instances", "message of peer %s cannot be decoded: %v", c.address, err)
		}
		size := len(batch) - len(rest)
		batch = rest
		switch {
		case m.Type == typeBeat:
			c.t.metrics.message(methodBeat, received, size)
		case m.Type == typeCall && !c.opened:
			c.t.metrics.message(c.t.label(m.Method), received, size)
			c.accept(incoming{m, time.Now().Add(m.timeout())})
		case m.Type == typeAnswer && c.opened:
			c.complete(m, size)
		default:
			return failure.New(failure.Format, "run compatible versions on all instances", "peer %s sent a message of unexpected type %d", c.address, m.Type)
		}
	}
	return nil
}

// label returns the metric label of a method that a peer named.
func (t *Transport) label(m Method) string {
	if _, ok := t.handlers[m]; ok {
		return string(m)
	}
	return methodUnknown
}

// complete hands an answer to its caller, if that still waits.
func (c *conn) complete(m message, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.calls[m.Number]
	if !ok {
		c.t.metrics.message(methodUnknown, received, size)
		return
	}
	delete(c.calls, m.Number)
	c.t.metrics.message(string(p.method), received, size)
	a := answer{body: m.Body}
	if m.Error != nil {
		a.err = m.Error
	}
	p.done <- a
}

// accept starts the handler of a call, or lets the call wait for one.
func (c *conn) accept(in incoming) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.handling < c.t.opts.MaxHandlers:
		if c.t.start(func() { c.serve(in) }) {
			c.handling++
		}
	case len(c.waiting) < c.t.opts.MaxWaiting:
		c.waiting = append(c.waiting, in)
	default:
		c.answer(in, answer{err: failure.New(failure.Limited, "repeat the call later",
			"peer %s has %d calls open", c.t.self.Instance, c.handling+len(c.waiting))})
	}
}

// serve runs handlers until no call waits.
func (c *conn) serve(in incoming) {
	for ok := true; ok; in, ok = c.next() {
		a := c.runHandler(in)
		c.mu.Lock()
		c.answer(in, a)
		c.mu.Unlock()
	}
}

func (c *conn) runHandler(in incoming) answer {
	if !time.Now().Before(in.deadline) {
		return answer{err: failure.New(failure.Unavailable, "repeat the call", "call %s waited past its deadline and did not run", in.Method)}
	}
	ctx, cancel := context.WithDeadline(c.ctx, in.deadline)
	defer cancel()
	return c.t.handle(ctx, c.remote, in.Method, in.Body)
}

func (c *conn) next() (incoming, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.waiting) == 0 {
		c.handling--
		return incoming{}, false
	}
	in := c.waiting[0]
	c.waiting = c.waiting[1:]
	return in, true
}

// answer queues the answer of a call. It must be called with mu held.
func (c *conn) answer(in incoming, a answer) {
	if c.closed {
		return
	}
	if c.queued > maxQueuedBytes {
		c.end(errQueue)
		return
	}
	m := message{Type: typeAnswer, Number: in.Number, Body: a.body}
	if a.err != nil {
		m.Error = failure.From(a.err)
	}
	c.enqueue(m, c.t.label(in.Method), nil)
}
