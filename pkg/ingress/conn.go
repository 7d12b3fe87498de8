package ingress

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// Conn is a connection of a caller. Its methods for requests do nothing on a nil Conn.
type Conn struct {
	net.Conn
	gate      *Gate
	account   *Account
	headBytes int64 // received of the current head
	headCost  int64 // estimated memory of the current head
	bodyRead  bool  // the body of the current request was read to its end
}

// NetConn returns the original connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side, for net/http.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.gate.guard.close(c.account)
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.account.received.Add(int64(n))
	if c.account.move(waiting, inHead) {
		c.account.heads.Add(1)
		c.headBytes, c.headCost = 0, 0
	}
	switch c.account.currentPhase() {
	case inHead:
		if !c.receiveHead(p[:n]) {
			return 0, io.EOF // net/http closes the connection without an answer
		}
	case ended:
		return 0, io.EOF
	}
	return n, err
}

const (
	// headSlack is the part of a read that may belong to a body.
	headSlack = 4 << 10
	// headByteCost and headLineCost estimate, in bytes, the memory that a byte and a line of a
	// head take once it is parsed. freeHeadCost is the cost up to which a head takes nothing.
	headByteCost, headLineCost, freeHeadCost = 4, 160, 8 << 10
	headTooLong                              = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// receiveHead takes the memory of a part of a head. It reports false if the connection must end.
func (c *Conn) receiveHead(part []byte) bool {
	c.headBytes += int64(len(part))
	if c.headBytes > c.gate.rules().HeadBytes+headSlack {
		c.gate.count(LongHead)
		_, _ = c.Conn.Write([]byte(headTooLong)) // the connection ends in any case
		_ = c.CloseWrite()
		return false
	}
	cost := headByteCost*int64(len(part)) + headLineCost*int64(bytes.Count(part, []byte("\n")))
	c.headCost += cost
	if cost = min(cost, c.headCost-freeHeadCost); cost <= 0 {
		return true
	}
	ok, victims := c.gate.guard.takeHead(c.account, cost, time.Now())
	c.gate.endAll(victims)
	if !ok {
		c.gate.count(Memory)
	}
	return ok
}

// maxWriteBytes is the most that is written at a time, so that the progress of a slow reader shows.
const maxWriteBytes = 32 << 10

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (written int, err error) {
	c.account.writing.Store(true)
	defer c.account.writing.Store(false)
	for {
		n, err := c.Conn.Write(p[written:min(len(p), written+maxWriteBytes)])
		written += n
		c.account.sent.Add(int64(n))
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// end ends a connection that the guard has ended. A request whose body arrives is answered,
// unless its descriptor is needed.
func (c *Conn) end(cause Cause, in phase) {
	c.gate.count(cause)
	if in == inBody && cause != Connections {
		_ = c.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
		return
	}
	_ = c.Conn.Close() // its server notices that and calls Close
}

// connKey is the key of the connection in the contexts of its requests.
type connKey struct{}

// ConnContext makes the connection known to its requests. It is for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if conn := unwrap(c); conn != nil {
		return context.WithValue(ctx, connKey{}, conn)
	}
	return ctx
}

// unwrap returns the Conn below a connection, nil if there is none.
func unwrap(c net.Conn) *Conn {
	for {
		switch conn := c.(type) {
		case *Conn:
			return conn
		case interface{ NetConn() net.Conn }: // *tls.Conn
			c = conn.NetConn()
		default:
			return nil
		}
	}
}

// fromContext returns the connection of a request, nil if it is not known.
func fromContext(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// observe follows the state of a connection. It is for http.Server.ConnState.
func observe(c net.Conn, state http.ConnState) {
	if state != http.StateIdle {
		return
	}
	if conn := unwrap(c); conn != nil {
		conn.account.move(running, waiting)
	}
}
