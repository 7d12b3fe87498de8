package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// writeFirstConn is a connection whose reader comes to the end of the connection after its
// writer, which then gets the error of a reset in place of the reader.
type writeFirstConn struct {
	net.Conn
	reads    atomic.Int64
	failOnce sync.Once
	failed   chan struct{} // closed when a write has failed
	writeErr error
}

func (c *writeFirstConn) Read(p []byte) (int, error) {
	if c.reads.Add(1) > 1 {
		<-c.failed
	}
	return c.Conn.Read(p)
}

func (c *writeFirstConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failOnce.Do(func() { c.writeErr = err; close(c.failed) })
	}
	return n, err
}

// restartPatient starts the gateway again with routes and a dialer that a slow machine cannot time out.
func (g *testGateway) restartPatient() {
	if g.dial == nil {
		g.dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
	}
	for i := range g.doc.Routes {
		g.doc.Routes[i].Timeout, g.doc.Routes[i].Objective = time.Minute, time.Minute
	}
	g.startGateway()
}

// startEarlyRunner starts a server that answers each request as soon as it has its head, and then
// resets the connection.
func startEarlyRunner(t *testing.T, answer func(*http.Request) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var done sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); done.Wait() })
	done.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, answer(r))
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	})
	return l.Addr().String()
}

// Guards against a reset that only the writer of a long request sees, so that the reader takes a part of the answer as the whole one.
func TestAnswerResetDuringUploadIsNotComplete(t *testing.T) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, path := range []string{"/book/1", "/look/1", "/once/1", "/chat/1"} {
			for _, body := range []string{"part", machines.Event(1), strings.Repeat("x", 9<<10)} {
				t.Run(fmt.Sprintf("%s%s/%d", proto, path, len(body)), func(t *testing.T) {
					address := startEarlyRunner(t, func(r *http.Request) string {
						return strings.Replace(machines.ResponseHead(r, 200), "HTTP/1.1", proto, 1) + body
					})
					g := newTestGateway(t, machines.Cut)
					g.doc.Limits.BodyBytes = 8 << 20
					opened := make(chan *writeFirstConn, 8)
					g.dial = func(ctx context.Context, _ string) (net.Conn, error) {
						c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
						if err != nil {
							return nil, err
						}
						_ = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
						held := &writeFirstConn{Conn: c, failed: make(chan struct{})}
						opened <- held
						return held, nil
					}
					g.restartPatient()
					got := g.send(g.newRequest(path, strings.Repeat("u", 3<<20), machines.HeaderDeadline+": 60000"))
					if got.err == nil && got.status < 300 {
						t.Errorf("status %d, body of %d bytes", got.status, len(got.body))
					}
					if len(opened) == 0 {
						t.Fatalf("the request was not sent: %+v", got)
					}
					first := <-opened
					<-first.failed
					if !errors.Is(first.writeErr, syscall.ECONNRESET) {
						t.Errorf("the writer did not see the reset: %v", first.writeErr)
					}
				})
			}
		}
	}
}

// Guards against a status that no final answer has and that is passed on, or skipped with its body read as the next answer.
func TestStatusThatNoAnswerHasIsSpoiled(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "100", "101", "199", "600", "700", "999", "-01", "+20", "0x2", "20", "2000"} {
		for _, path := range []string{"/book/1", "/look/1", "/once/1", "/chat/1"} {
			for desc, rest := range map[string]func(inner string) string{
				"body":           func(string) string { return "Content-Length: 5\r\n\r\nwrong" },
				"no length":      func(string) string { return "\r\nwrong" },
				"no body":        func(string) string { return "Content-Length: 0\r\n\r\n" },
				"answer as body": func(inner string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(inner), inner) },
			} {
				t.Run(status+path+desc, func(t *testing.T) {
					t.Parallel()
					var sent atomic.Int64
					script := func(q *http.Request, b []byte, c net.Conn) bool {
						if sent.Add(1) > 1 {
							return machines.Stream(1, 2, true)(q, b, c)
						}
						head := strings.TrimSuffix(machines.ResponseHead(q, 200), "\r\n")
						inner := machines.ResponseHead(q, 200, "Content-Length: 5") + "wrong"
						_, _ = io.WriteString(c, strings.Replace(head, " 200 OK", " "+status+" Odd", 1)+rest(inner))
						return false
					}
					g := newTestGateway(t, script, script)
					g.restartPatient()
					got := g.send(g.newRequest(path, "body", machines.HeaderDeadline+": 60000"))
					want, arrivals := http.StatusOK, int64(2)
					if path == "/book/1" || path == "/once/1" {
						want, arrivals = http.StatusBadGateway, 1
					}
					if got.err != nil || got.status != want || strings.Contains(got.body, "wrong") || sent.Load() != arrivals {
						t.Errorf("status %d, body %q, %v; %d arrivals", got.status, got.body, got.err, sent.Load())
					}
				})
			}
		}
	}
}

// Guards against chunks of an HTTP/1.0 answer that are passed on as its body, without a sign of its end.
func TestChunksOfHTTP10AreSpoiled(t *testing.T) {
	for desc, tail := range map[string]string{"cut": "", "whole": "0\r\n\r\n"} {
		for _, header := range []string{"", "\r\nContent-Length: 9", "\r\nConnection: keep-alive"} {
			script := func(q *http.Request, _ []byte, c net.Conn) bool {
				head := strings.Replace(machines.ResponseHead(q, 200, "Transfer-Encoding: chunked"+header), "HTTP/1.1", "HTTP/1.0", 1)
				_, _ = io.WriteString(c, head+"4\r\npart\r\n"+tail)
				return false
			}
			g := newTestGateway(t, script)
			if got := g.send(g.newRequest("/book/1", "body")); got.status != http.StatusBadGateway {
				t.Errorf("%s, %q: status %d, body %q", desc, header, got.status, got.body)
			}
		}
	}
}
