package clients

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	largeCrowd = 80  // clients that send much
	manyConns  = 600 // clients that send little, more than descriptors
	chunked    = "Transfer-Encoding: chunked\r\n\r\n"
)

var (
	largeChunk = fmt.Sprintf("%x\r\n%s\r\n", 1<<20, strings.Repeat("x", 1<<20))
	tinyChunks = strings.Repeat("1\r\nx\r\n", 4<<10)
)

// send writes parts one after the other.
func send(c net.Conn, head string, part string, times int) error {
	_, err := io.WriteString(c, head)
	for i := 0; i < times && err == nil; i++ {
		_, err = io.WriteString(c, part)
	}
	return err
}

// Guards against a process that holds all bodies that never end.
func TestLargeChunksThatStopShort(t *testing.T) {
	n := startInstance(t)
	n.crowd(largeCrowd, func(c net.Conn) error { return send(c, n.head("1", chunked), largeChunk, 7) })
	n.check()
}

// Guards against tiny chunks that take the memory or the processor from ordinary callers.
func TestOneByteChunksThatStopShort(t *testing.T) {
	n := startInstance(t)
	n.crowd(largeCrowd, func(c net.Conn) error { return send(c, n.head("1", chunked), tinyChunks, 256) })
	n.check()
}

// Guards against a body over the limit whose announcement or start is held.
func TestBodiesOverTheLimitAnnounced(t *testing.T) {
	n := startInstance(t)
	n.crowd(largeCrowd, func(c net.Conn) error {
		return send(c, n.head("1", "Content-Length: 67108864\r\n\r\n"), strings.Repeat("x", 1<<20), 64)
	})
	n.check()
}

// Guards against a body over the limit that is read on without end.
func TestBodiesOverTheLimitSent(t *testing.T) {
	n := startInstance(t)
	n.crowd(largeCrowd, func(c net.Conn) error { return send(c, n.head("1", chunked), largeChunk, 64) })
	n.check()
}

// Guards against heads over the limit that are held.
func TestHeadsOverTheLimit(t *testing.T) {
	n := startInstance(t)
	n.crowd(largeCrowd, func(c net.Conn) error {
		return send(c, n.head("1", ""), "X-Field: "+strings.Repeat("x", 64<<10)+"\r\n", 64)
	})
	n.check()
}

// Guards against many heads inside the limit that never end, and against running out of descriptors.
func TestHeadsWithoutEnd(t *testing.T) {
	n := startInstance(t)
	n.crowd(manyConns, func(c net.Conn) error { return send(c, n.head("1", ""), strings.Repeat("x:\r\n", 256), 60) })
	n.check()
}

// Guards against a process that reads empty lines without end.
func TestEmptyLinesBeforeARequest(t *testing.T) {
	n := startInstance(t)
	n.crowd(largeCrowd, func(c net.Conn) error { return send(c, "", strings.Repeat("\r\n", 32<<10), 256) })
	n.check()
}

// Guards against bodies that are held for as long as nobody reads the answers.
func TestWholeBodiesWithUnreadAnswers(t *testing.T) {
	n := startInstance(t)
	n.crowd(largeCrowd, func(c net.Conn) error {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10) // only a larger one makes the test easier
		return send(c, n.head("big", "Content-Length: 6291456\r\n\r\n"), strings.Repeat("x", 1<<20), 6)
	})
	n.check()
}

// Guards against large answers that are held for clients that read a little at a time.
func TestSlowReadersOfLargeAnswers(t *testing.T) {
	n := startInstance(t)
	n.crowd(largeCrowd, func(c net.Conn) error {
		_ = c.(*net.TCPConn).SetReadBuffer(4 << 10) // only a larger one makes the test easier
		if err := send(c, n.head("big", "Content-Length: 4\r\n\r\n"), "body", 1); err != nil {
			return err
		}
		buf := make([]byte, 1<<10)
		for {
			if _, err := c.Read(buf); err != nil {
				return err
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	n.check()
}

// Guards against idle connections that use up the descriptors.
func TestIdleConnectionsBeyondTheDescriptors(t *testing.T) {
	n := startInstance(t)
	n.crowd(manyConns, func(c net.Conn) error { return send(c, n.head("1", "Content-Length: 0\r\n\r\n"), "", 1) })
	n.check()
}

// Guards against a limit that refuses a body inside the declared limits when nothing else is going on.
func TestOneLargeBodyIsServedInCalm(t *testing.T) {
	n := startInstance(t)
	for _, framing := range []struct{ fields, part, end string }{
		{"Content-Length: " + strconv.Itoa(8<<20) + "\r\n\r\n", strings.Repeat("x", 1<<20), ""}, {chunked, largeChunk, "0\r\n\r\n"}, {chunked, strings.Repeat(tinyChunks, 256), "0\r\n\r\n"},
	} {
		c, err := net.Dial("tcp", n.ip+":8227")
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(patience)) // fails only on a closed connection
		if err := send(c, n.head("1", framing.fields), framing.part, 8); err != nil {
			t.Error(err)
		}
		if _, err := io.WriteString(c, framing.end); err != nil {
			t.Error(err)
		}
		status := make([]byte, len("HTTP/1.1 200"))
		if _, err := io.ReadFull(c, status); err != nil || string(status) != "HTTP/1.1 200" {
			t.Errorf("%q: %q, %v", framing.fields, status, err)
		}
		_ = c.Close()
	}
	n.check()
}
