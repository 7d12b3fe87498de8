package gateway_test

import (
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/quarantine"
	"github.com/clementinerack/clementinerack/standins/machines"
)

const promptHeader = machines.HeaderPrompt + ": a1:10,b2:10,c3:10"

// Guards against parts that are blamed although an endpoint survived them, or not reported.
func TestReportedParts(t *testing.T) {
	whole := machines.Stream(1, 3, true)
	headOnly := func(q *http.Request, _ []byte, c net.Conn) bool {
		_, _ = io.WriteString(c, streamHead(q))
		return false
	}
	for _, tc := range []struct {
		desc, path    string
		first, second machines.Script
		header        string
		want          []string
	}{
		{"whole", "/once/1", whole, whole, promptHeader, []string{"survived a1 b2"}},
		{"no shared parts", "/once/1", whole, whole, machines.HeaderPrompt + ": c3:10", []string{"survived"}},
		{"no prompt", "/look/1", machines.Cut, machines.Answer(200, "x"), "X-None: 1", []string{"closed", "survived"}},
		{"broken off before the first event", "/once/1", headOnly, whole, promptHeader, []string{"closed a1 b2"}},
		{"broken off and resumed", "/chat/1", headOnly, whole, promptHeader, []string{"closed a1 b2", "survived a1 b2"}},
		{"closed without a response", "/chat/1", machines.Cut, whole, promptHeader, []string{"closed a1 b2", "survived a1 b2"}},
		{"reset", "/once/1", func(_ *http.Request, _ []byte, c net.Conn) bool {
			_ = c.(*net.TCPConn).SetLinger(0)
			return false
		}, whole, promptHeader, []string{"reset a1 b2"}},
		{"answered by a foreign program", "/once/1", func(_ *http.Request, _ []byte, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return true
		}, whole, promptHeader, []string{"interrupted a1 b2"}},
		{"broken off long after the first event", "/once/1", func(q *http.Request, b []byte, c net.Conn) bool {
			_, framed := framings["chunks"](machines.Event(1))
			_, _ = io.WriteString(c, streamHead(q)+framed[:len(framed)-len("0\r\n\r\n")])
			time.Sleep(1100 * time.Millisecond)
			return false
		}, whole, promptHeader, nil},
		{"failure while the request waits", "/once/1", machines.Answer(504, "deadline"), whole, promptHeader, nil},
		{"rejected", "/chat/1", machines.Shed, whole, promptHeader, []string{"survived a1 b2"}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			t.Parallel()
			runs := make(chan machines.Script, 2)
			runs <- tc.first
			runs <- tc.second
			script := func(q *http.Request, b []byte, c net.Conn) bool { return (<-runs)(q, b, c) }
			g := newTestGateway(t, script, script)
			_ = g.send(g.newRequest(tc.path, "body", tc.header, machines.HeaderTokens+": 30,12"))
			g.server.Close() // waits for the end of the request
			if !slices.Equal(g.traits.events, tc.want) {
				t.Errorf("reported %q, want %q", g.traits.events, tc.want)
			}
		})
	}
}

// Guards against a request with a refused part that is sent, also one that waits for its retry.
func TestRefusedPartsAreNotSent(t *testing.T) {
	refused := quarantine.Combination{0xa1, 0xb2}
	var g *testGateway
	refuseAndCut := func(*http.Request, []byte, net.Conn) bool {
		g.traits.refusals.Add(refused, time.Now(), time.Now().Add(time.Minute))
		return false
	}
	g = newTestGateway(t, refuseAndCut, refuseAndCut)
	for _, tc := range []struct {
		desc, prompt     string
		status, arrivals int
	}{
		{"refused during the first attempt", promptHeader, 502, 1},
		{"refused at the arrival", promptHeader, 503, 1},
		{"one of the parts", machines.HeaderPrompt + ": a1:10,b3:10,c3:10", 502, 3},
	} {
		got := g.send(g.newRequest("/chat/1", "body", tc.prompt, machines.HeaderTokens+": 30,12"))
		if got.status != tc.status || g.countArrivals() != tc.arrivals || got.header.Get("Retry-After") != "" {
			t.Errorf("%s: status %d, %d arrivals, header %v", tc.desc, got.status, g.countArrivals(), got.header)
		}
	}
}
