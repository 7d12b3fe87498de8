package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// largeBytes exceeds what the gateway buffers of a response.
const largeBytes = 4<<20 + 64<<10

// beginBody returns the head of a response and the part of its body that is sent, in a
// framing whose end does not follow.
func beginBody(q *http.Request, framing, contentType, part string) string {
	header := map[string]string{"length": fmt.Sprintf("Content-Length: %d", len(part)+9), "chunks": "Transfer-Encoding: chunked", "connection": "Connection: close"}
	if framing == "chunks" {
		part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	return machines.ResponseHead(q, 200, "Content-Type: "+contentType, header[framing]) + part
}

// rawCaller is a caller that can close its sending side and still read.
type rawCaller struct {
	*net.TCPConn
	reader *bufio.Reader
}

// sendRaw sends a request on a connection of its own.
func (g *testGateway) sendRaw(t *testing.T, proto, path string, headers ...string) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	headers = append(headers, "Host: h.example", "Authorization: "+machines.KeyScheme+key, machines.HeaderRequestID+": id1", tokensHeader())
	if _, err := fmt.Fprintf(conn, "GET %s %s\r\n%s\r\n\r\n", path, proto, strings.Join(headers, "\r\n")); err != nil {
		t.Fatal(err)
	}
	return &rawCaller{conn.(*net.TCPConn), bufio.NewReader(conn)}
}

// read reads the response. The error says that it is not complete.
func (c *rawCaller) read() callerResponse {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second)) // cannot fail on an open connection
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return callerResponse{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	return callerResponse{resp.StatusCode, resp.Header, string(body), err, resp.Close}
}

// Guards against a response that the gateway gives up and that ends like a whole one.
func TestGivenUpResponseIsNeverWhole(t *testing.T) {
	causes := []struct {
		desc  string
		cause func(*testing.T, *testGateway, *rawCaller)
	}{
		{"caller closes its sending side", func(t *testing.T, _ *testGateway, c *rawCaller) { closeSendingSide(t, c) }},
		{"stop", func(t *testing.T, g *testGateway, _ *rawCaller) { endDrain(t, g) }},
		{"caller closes its sending side, then stop", func(t *testing.T, g *testGateway, c *rawCaller) {
			closeSendingSide(t, c)
			time.Sleep(20 * time.Millisecond) // until the gateway has noticed
			endDrain(t, g)
		}},
		{"deadline", func(*testing.T, *testGateway, *rawCaller) {}},
	}
	for _, body := range []struct{ desc, path, contentType, part string }{
		{"silent read", "/look/1", "", ""},
		{"silent booking", "/book/1", "", ""},
		{"silent stream", "/once/1", "", ""},
		{"read", "/look/1", "text/plain", "part"},
		{"stream before its first event", "/once/1", "text/event-stream", "id: 1\nda"},
		{"stream", "/once/1", "text/event-stream", eventRange(1, 2)},
		{"resumable stream", "/chat/1", "text/event-stream", eventRange(1, 2)},
		{"large read", "/look/1", "text/plain", strings.Repeat("x", largeBytes)},
		{"large booking", "/book/1", "text/plain", strings.Repeat("x", largeBytes)},
	} {
		for framing := range framings {
			for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
				for _, cause := range causes {
					if body.contentType == "" && framing != "length" {
						continue // no body, no framing
					}
					t.Run(strings.Join([]string{body.desc, framing, proto, cause.desc}, "/"), func(t *testing.T) {
						t.Parallel()
						begun := make(chan struct{}, 8) // attempts
						g := newTestGateway(t, func(q *http.Request, _ []byte, c net.Conn) bool {
							if body.contentType != "" {
								_, _ = io.WriteString(c, beginBody(q, framing, body.contentType, body.part))
							}
							begun <- struct{}{}
							_, _ = c.Read(make([]byte, 1)) // until the gateway closes the connection
							return false
						})
						caller := g.sendRaw(t, proto, body.path, machines.HeaderDeadline+": 600")
						answer := make(chan callerResponse, 1)
						go func() { answer <- caller.read() }()
						<-begun
						time.Sleep(20 * time.Millisecond) // until what was sent has been forwarded
						cause.cause(t, g, caller)
						if got := <-answer; got.err == nil && got.status < 300 {
							t.Errorf("status %d and %d bytes without an error", got.status, len(got.body))
						}
					})
				}
			}
		}
	}
}

func closeSendingSide(t *testing.T, c *rawCaller) {
	t.Helper()
	if err := c.CloseWrite(); err != nil {
		t.Error(err)
	}
}

// endDrain stops the gateway and lets the time for open requests pass.
func endDrain(t *testing.T, g *testGateway) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = g.gateway.Drain(ctx) // fails if the request is still in flight
}

// Guards against an empty success, in place of a refusal or an answer, for callers that close their sending side.
func TestCallerThatClosesItsSendingSideIsAnswered(t *testing.T) {
	for _, tc := range []struct {
		desc, path string
		script     machines.Script
		status     int
		body       string
	}{
		{"booking that runs on", "/book/1", machines.Answer(200, "whole"), 200, "whole"},
		{"booking that is rejected", "/book/1", machines.Shed, 503, "not-run"},
		{"booking that is lost", "/book/1", machines.Cut, 502, "unknown"},
		{"read", "/look/1", machines.Cut, 502, "unknown"},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			arrived, proceed := make(chan struct{}, 8), make(chan struct{})
			g := newTestGateway(t, func(q *http.Request, b []byte, c net.Conn) bool {
				arrived <- struct{}{}
				<-proceed
				return tc.script(q, b, c)
			})
			caller := g.sendRaw(t, "HTTP/1.1", tc.path)
			<-arrived
			closeSendingSide(t, caller)
			time.Sleep(20 * time.Millisecond) // until the gateway has noticed
			close(proceed)
			if got := caller.read(); got.err != nil || got.status != tc.status || !strings.Contains(got.body, tc.body) {
				t.Errorf("status %d, body %q, %v", got.status, got.body, got.err)
			}
		})
	}
}
