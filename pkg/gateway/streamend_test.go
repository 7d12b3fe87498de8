package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// framings are the ways in which an endpoint marks the end of a body.
var framings = map[string]func(body string) (header, framed string){
	"length": func(body string) (string, string) { return "Content-Length: " + strconv.Itoa(len(body)), body },
	"chunks": func(body string) (string, string) {
		return "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	},
	"connection": func(body string) (string, string) { return "Connection: close", body },
}

// framedStream returns a script that sends a stream and closes the connection.
func framedStream(framing, body string) machines.Script {
	return func(q *http.Request, _ []byte, c net.Conn) bool {
		header, framed := framings[framing](body)
		_, _ = io.WriteString(c, machines.ResponseHead(q, 200, "Content-Type: text/event-stream", header)+framed)
		return false
	}
}

// Guards against a stream that ends inside an event and reaches the caller as a complete one.
func TestStreamCutInsideEventIsNotComplete(t *testing.T) {
	partial := "id: 3\ndata: tok"
	for framing := range framings {
		for _, tc := range []struct {
			desc, path, first string
			complete          bool
			want              string
		}{
			{"complete", "/once/1", eventRange(1, 5), true, eventRange(1, 5)},
			{"inside an event", "/once/1", eventRange(1, 2) + partial, false, eventRange(1, 2)},
			{"inside the blank line", "/once/1", eventRange(1, 2) + "id: 3\ndata: token-3\n", false, eventRange(1, 2)},
			{"inside the first event", "/once/1", partial, false, ""},
			{"inside an event, resumable", "/chat/1", eventRange(1, 2) + partial, true, eventRange(1, 5)},
			{"inside the first event, resumable", "/chat/1", "id: 1\nda", true, eventRange(1, 5)},
		} {
			t.Run(framing+"/"+tc.desc, func(t *testing.T) {
				var runs atomic.Int64
				script := func(q *http.Request, b []byte, c net.Conn) bool {
					if runs.Add(1) == 1 {
						return framedStream(framing, tc.first)(q, b, c)
					}
					after, _ := strconv.Atoi(q.Header.Get(machines.HeaderLastEventID))
					return machines.Stream(after+1, 5, true)(q, b, c)
				}
				g := newTestGateway(t, script, script)
				got := g.send(g.newRequest(tc.path, "body", tokensHeader()))
				complete := got.err == nil && got.status == http.StatusOK
				if complete != tc.complete || got.status == http.StatusOK && got.body != tc.want {
					t.Errorf("status %d, body %q, %v", got.status, got.body, got.err)
				}
				if runs.Load() > 1 && strings.HasPrefix(tc.path, "/once") {
					t.Errorf("%d runs of a stream that must not be repeated", runs.Load())
				}
			})
		}
	}
}

// Guards against a stream that is given up and looks complete to a caller with HTTP/1.0.
func TestStreamGivenUpIsNotCompleteForHTTP10(t *testing.T) {
	g := newTestGateway(t, framedStream("connection", eventRange(1, 2)+"id: 3\nda"))
	conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "GET /once/1 HTTP/1.0\r\nHost: h.example\r\nAuthorization: %s%s\r\n%s: id1\r\n\r\n", machines.KeyScheme, key, machines.HeaderRequestID); err != nil {
		t.Fatal(err)
	}
	if answer, err := io.ReadAll(conn); err == nil {
		t.Errorf("the connection ended properly after %q", answer)
	}
}

// Guards against an endpoint that breaks off before the first byte of a body without framing.
func TestEmptyBodyThatEndsWithConnectionIsNotComplete(t *testing.T) {
	empty := func(q *http.Request, _ []byte, c net.Conn) bool {
		_, _ = io.WriteString(c, machines.ResponseHead(q, 200, "Connection: close"))
		return false
	}
	for _, tc := range []struct {
		path   string
		second machines.Script
		status int
	}{
		{"/once/1", machines.Stream(1, 5, true), 502},
		{"/book/1", machines.Answer(200, "whole"), 502},
		{"/chat/1", machines.Stream(1, 5, true), 200},
		{"/look/1", machines.Answer(200, "whole"), 200},
	} {
		t.Run(tc.path, func(t *testing.T) {
			var runs atomic.Int64
			script := func(q *http.Request, b []byte, c net.Conn) bool {
				if runs.Add(1) == 1 {
					return empty(q, b, c)
				}
				return tc.second(q, b, c)
			}
			g := newTestGateway(t, script, script)
			if got := g.send(g.newRequest(tc.path, "body", tokensHeader())); got.status != tc.status || got.err != nil || tc.status == 200 && got.body == "" {
				t.Errorf("status %d, body %q, %v", got.status, got.body, got.err)
			}
		})
	}
}

// Guards against a request that waits for the end of a rejection that ends with its connection.
func TestRejectionThatEndsWithConnectionIsNotAwaited(t *testing.T) {
	left := make(chan struct{})
	var runs atomic.Int64
	script := func(q *http.Request, b []byte, c net.Conn) bool {
		if runs.Add(1) > 1 {
			return machines.Answer(200, "whole")(q, b, c)
		}
		_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n"+machines.HeaderNotExecuted+": 1\r\nConnection: close\r\n\r\nfull")
		_, _ = c.Read(make([]byte, 1)) // until the gateway closes the connection
		close(left)
		return false
	}
	g := newTestGateway(t, script, script)
	if got := g.send(g.newRequest("/book/1", "body")); got.status != 200 || got.body != "whole" {
		t.Errorf("status %d, body %q, %v", got.status, got.body, got.err)
	}
	<-left
}
