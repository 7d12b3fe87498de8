package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/clementinerack/clementinerack/pkg/upstream"
	"github.com/clementinerack/clementinerack/standins/machines"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startRunner(t *testing.T, s machines.Script) *machines.Runner {
	t.Helper()
	r, err := machines.StartRunner("r", s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func newClient(t *testing.T) *upstream.Client {
	t.Helper()
	c := upstream.New()
	t.Cleanup(c.Close)
	return c
}

func newRequest(id, body string) *upstream.Request {
	return &upstream.Request{Method: http.MethodPost, Target: "/p/%2f?q=1", Host: "h.example", Header: http.Header{machines.HeaderRequestID: {id}},
		Body: []byte(body), IsOwnResponse: func(h http.Header, _ bool) bool { return h.Get(machines.HeaderRequestID) == id }}
}

// doAndRead sends a request and returns the body of the response.
func doAndRead(c *upstream.Client, address string, r *upstream.Request) (string, error) {
	a, err := c.Do(context.Background(), address, r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := a.ReadAll(1 << 20)
	return string(b), err
}

// Guards against a request that is changed in transit, and against opening a
// connection for each request.
func TestUnchangedOnKeptConnection(t *testing.T) {
	r := startRunner(t, machines.Answer(200, "body"))
	c := newClient(t)
	dials := 0
	c.OnDial = func() { dials++ }
	for i := range 3 {
		if got, err := doAndRead(c, r.Address(), newRequest(fmt.Sprint(i), "x")); err != nil || got != "body" {
			t.Fatalf("response %q, %v", got, err)
		}
	}
	q := r.Requests()[0]
	if q.RequestURI != "/p/%2f?q=1" || q.Host != "h.example" || q.ContentLength != 1 || len(q.Header) != 2 {
		t.Errorf("request %s %s, header %v", q.RequestURI, q.Host, q.Header)
	}
	if dials != 1 {
		t.Errorf("%d connections for 3 requests", dials)
	}
}

// Guards against taking data that belongs to no request or to another one as the
// response.
func TestForeignBytes(t *testing.T) {
	for _, tc := range []struct {
		desc   string
		first  machines.Script // for the first request; the second gets a correct response
		second string
	}{
		{"second response to the first request", func(q *http.Request, _ []byte, c net.Conn) bool {
			text := machines.ResponseHead(q, 200, "Content-Length: 5") + "first"
			_, err := io.WriteString(c, text+text)
			return err == nil
		}, "response to 2"},
		{"late second response to the first request", func(q *http.Request, _ []byte, c net.Conn) bool {
			text := machines.ResponseHead(q, 200, "Content-Length: 5") + "first"
			_, err := io.WriteString(c, text)
			time.AfterFunc(20*time.Millisecond, func() { _, _ = io.WriteString(c, text) })
			return err == nil
		}, "response to 2"},
		{"garbage after the response", func(q *http.Request, _ []byte, c net.Conn) bool {
			_, err := io.WriteString(c, machines.ResponseHead(q, 200, "Content-Length: 5")+"first\r\ngarbage")
			return err == nil
		}, "response to 2"},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			r := startRunner(t, tc.first)
			c := newClient(t)
			if got, err := doAndRead(c, r.Address(), newRequest("1", "")); err != nil || got != "first" {
				t.Fatalf("first response %q, %v", got, err)
			}
			time.Sleep(5 * time.Millisecond)
			r.SetScript(func(q *http.Request, _ []byte, c net.Conn) bool {
				time.Sleep(40 * time.Millisecond) // later than the extra response
				return machines.Answer(200, "response to "+q.Header.Get(machines.HeaderRequestID))(q, nil, c)
			})
			got, err := doAndRead(c, r.Address(), newRequest("2", ""))
			if err != nil || got != tc.second {
				t.Errorf("second response %q, %v", got, err)
			}
		})
	}
}

// Guards against a refused request that is sent again where a copy of its refusal would look like the response to it.
func TestRefusedRequestIsRepeatedOnAnotherConnection(t *testing.T) {
	const requests = 200
	r := startRunner(t, machines.Answer(503, "full"))
	c := newClient(t)
	dials := 0
	c.OnDial = func() { dials++ }
	send := func(i int) {
		q := newRequest(fmt.Sprint(i), "")
		q.ID = fmt.Sprint(i)
		if _, err := doAndRead(c, r.Address(), q); err != nil {
			t.Fatal(err)
		}
	}
	for i := range requests {
		send(i)
	}
	if dials < 2 || dials > requests/20 {
		t.Errorf("%d connections for %d refused requests", dials, requests)
	}
	remote := map[string]bool{} // request ID and address of the connection
	r.SetScript(func(q *http.Request, b []byte, conn net.Conn) bool {
		pair := q.Header.Get(machines.HeaderRequestID) + " " + conn.RemoteAddr().String()
		if remote[pair] {
			t.Errorf("request and connection %s twice", pair)
		}
		remote[pair] = true
		return machines.Answer(503, "full")(q, b, conn)
	})
	for i := range 3 * requests {
		send(i % 7)
	}
}

// Guards against a request that reaches an endpoint after it was given up, when what held its bytes up has ended.
func TestGivenUpRequestIsNotDeliveredLate(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	for _, tc := range []struct {
		desc, head string // of the response that has arrived when the request is given up
	}{{"no response", ""}, {"response has begun", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"}} {
		t.Run(tc.desc, func(t *testing.T) {
			accepted := make(chan net.Conn, 1)
			go func() {
				c, err := l.Accept()
				if err == nil {
					_, _ = io.WriteString(c, tc.head)
					accepted <- c
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			if a, err := newClient(t).Do(ctx, l.Addr().String(), newRequest("1", "x")); err == nil {
				_, _ = a.ReadAll(1 << 20) // ends with ctx
				a.Close()
			}
			c := <-accepted
			defer func() { _ = c.Close() }()
			if got, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the endpoint reads %q, %v after the request was given up", got, err)
			}
		})
	}
}

// Guards against a request on an idle connection that a partition has made dead, which may deliver it when it ends.
func TestIdleConnectionIsNotUsedAfterSilence(t *testing.T) {
	t.Parallel()
	r := startRunner(t, machines.Answer(200, "x"))
	c := newClient(t)
	dials := 0
	c.OnDial = func() { dials++ }
	for _, tc := range []struct {
		domain string
		pause  time.Duration
		dials  int // so far
	}{{"d", 0, 1}, {"d", 0, 1}, {"d", 700 * time.Millisecond, 1}, {"", 1200 * time.Millisecond, 1}, {"other", 0, 2}, {"d", 1200 * time.Millisecond, 3}, {"d", 0, 3}} {
		time.Sleep(tc.pause)
		req := newRequest("", "")
		req.Domain = tc.domain
		if got, err := doAndRead(c, r.Address(), req); err != nil || got != "x" {
			t.Fatalf("response %q, %v", got, err)
		}
		if dials != tc.dials {
			t.Errorf("%d connections were opened after a pause of %s, domain %q, want %d", dials, tc.pause, tc.domain, tc.dials)
		}
	}
}

// Guards against a broken response that is taken as complete, and against an error
// that does not say that the endpoint may have read the request.
func TestBrokenAnswers(t *testing.T) {
	for _, tc := range []struct {
		desc   string
		script machines.Script
	}{
		{"no response", machines.Cut},
		{"response that is not HTTP", func(_ *http.Request, _ []byte, c net.Conn) bool {
			_, _ = io.WriteString(c, "garbage\r\n\r\n")
			return false
		}},
		{"short body", func(q *http.Request, _ []byte, c net.Conn) bool {
			_, _ = io.WriteString(c, machines.ResponseHead(q, 200, "Content-Length: 9")+"short")
			return false
		}},
		{"chunked body without a last chunk", machines.Stream(1, 2, false)},
		{"reset in a body without a length", func(q *http.Request, _ []byte, c net.Conn) bool {
			_, _ = io.WriteString(c, machines.ResponseHead(q, 200)+"part")
			time.Sleep(10 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}},
		{"only responses to other requests", func(_ *http.Request, _ []byte, c net.Conn) bool {
			_, _ = io.WriteString(c, strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 9))
			return false
		}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			r := startRunner(t, tc.script)
			c := newClient(t)
			a, err := c.Do(t.Context(), r.Address(), newRequest("1", "x"))
			if err == nil {
				_, err = a.ReadAll(1 << 20)
				a.Close()
			} else if failed := new(upstream.Error); !errors.As(err, &failed) || failed.Progress != upstream.MaybeRead {
				t.Errorf("the error does not say that the endpoint may have read the request: %v", err)
			}
			if err == nil {
				t.Error("the response is taken as complete")
			}
			r.SetScript(machines.Answer(200, "next"))
			if got, err := doAndRead(c, r.Address(), newRequest("2", "")); err != nil || got != "next" {
				t.Errorf("next response %q, %v", got, err)
			}
		})
	}
}

// Guards against reporting that a request may have been read although no connection
// was opened.
func TestNotSent(t *testing.T) {
	r := startRunner(t, machines.Cut)
	r.Close()
	_, err := newClient(t).Do(t.Context(), r.Address(), newRequest("1", "x"))
	if failed := new(upstream.Error); !errors.As(err, &failed) || failed.Progress != upstream.NotSent {
		t.Errorf("dial of a closed port: %v", err)
	}
}

// Guards against sending a request on a connection that the endpoint has closed while
// it was idle: the request could not be retried if it must run at most once.
func TestClosedWhileIdle(t *testing.T) {
	r := startRunner(t, func(q *http.Request, b []byte, c net.Conn) bool { machines.Answer(200, "one")(q, b, c); return false })
	c := newClient(t)
	for range 3 {
		if got, err := doAndRead(c, r.Address(), newRequest("1", "")); err != nil || got != "one" {
			t.Fatalf("response %q, %v", got, err)
		}
		for r.Connections() > 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// Guards against a connection that stays open after its caller has disconnected.
// Endpoints rely on its end to stop the request.
func TestCallerLeaves(t *testing.T) {
	ended := make(chan struct{})
	r := startRunner(t, func(_ *http.Request, _ []byte, c net.Conn) bool {
		_, _ = c.Read(make([]byte, 1)) // returns when the connection ends
		close(ended)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for len(r.Requests()) == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	if _, err := newClient(t).Do(ctx, r.Address(), newRequest("1", "")); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
	<-ended
}

// Guards against reusing a connection after the endpoint has responded before reading
// the whole request body: it would take the rest of the body as the next request.
func TestEarlyAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	kept := make(chan net.Conn, 4)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 512)) // the head and the beginning of the body
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\n"+machines.HeaderRequestID+": 1\r\nContent-Length: 0\r\n\r\n")
			kept <- conn
		}
	}()
	c := newClient(t)
	dials := 0
	c.OnDial = func() { dials++ }
	for range 2 {
		if _, err := doAndRead(c, l.Addr().String(), newRequest("1", strings.Repeat("x", 16<<20))); err != nil {
			t.Fatal(err)
		}
	}
	if dials != 2 {
		t.Errorf("%d connections for 2 requests whose bodies were not read, want 2", dials)
	}
	for range 2 {
		_ = (<-kept).Close()
	}
}

// Guards against an endpoint in trouble that takes the memory or the time of an instance
// by bytes without end: the request must fail long before its context ends.
func TestBytesWithoutEnd(t *testing.T) {
	const answerToOther = "HTTP/1.1 200 OK\r\n" + machines.HeaderRequestID + ": other\r\n"
	for _, tc := range []struct{ desc, start, repeated string }{
		{"status line", "HTTP/1.1 200 ", "OK"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
		{"one header line", "HTTP/1.1 200 OK\r\nX-Field: ", "value"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"no response", "", "\x00\xff"},
		{"body of another response", answerToOther + "\r\n", "bytes"},
		{"chunks of another response", answerToOther + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nbytes\r\n"},
		{"chunk extensions", answerToOther + "Transfer-Encoding: chunked\r\n\r\n", "1;extension=long\r\nx\r\n"},
		{"trailers of another response", answerToOther + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Field: value\r\n"},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			const maxSent = 8 << 20 // more than all socket buffers between both ends
			sent := make(chan int, 1)
			r := startRunner(t, func(_ *http.Request, _ []byte, c net.Conn) bool {
				block := []byte(strings.Repeat(tc.repeated, 1000))
				n, err := c.Write([]byte(tc.start))
				for err == nil && n < 2*maxSent {
					var written int
					written, err = c.Write(block)
					n += written
				}
				sent <- n
				return false
			})
			c := newClient(t)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			a, err := c.Do(ctx, r.Address(), newRequest("a", ""))
			if err == nil {
				a.Close()
				t.Fatalf("a response with status %d", a.Status)
			}
			if ctx.Err() != nil {
				t.Errorf("the request ended only with its context: %v", err)
			}
			if n := <-sent; n >= maxSent {
				t.Errorf("%d bytes were received", n)
			}
		})
	}
}

// Guards against a whole early answer that is lost because its endpoint reads no more of the request, or that ends as if it were reset.
func TestEarlyAnswerThatEndsWithItsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	kept := make(chan net.Conn, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 512))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+machines.HeaderRequestID+": 1\r\n\r\nwhole")
		_ = conn.(*net.TCPConn).CloseWrite()
		kept <- conn
	}()
	if got, err := doAndRead(newClient(t), l.Addr().String(), newRequest("1", strings.Repeat("x", 16<<20))); err != nil || got != "whole" {
		t.Errorf("response %q, %v", got, err)
	}
	_ = (<-kept).Close()
}
