package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/standins/machines"
)

// listRunners replaces the list of endpoints by the runners with the given start time.
func (g *testGateway) listRunners(revision uint64, started int64, runners ...*machines.Runner) {
	list := catalog.EndpointList{Revision: revision}
	for _, r := range runners {
		list.Endpoints = append(list.Endpoints, catalog.Endpoint{ID: r.ID, Service: "s", Address: r.Address(), Domain: "z", Started: started})
	}
	g.pool.Update(list, time.Now())
}

// respond returns a script that sends a response with a body and the given header lines.
func respond(status int, body string, header ...string) machines.Script {
	return func(q *http.Request, _ []byte, c net.Conn) bool {
		_, err := io.WriteString(c, machines.ResponseHead(q, status, append(header, "Content-Length: "+strconv.Itoa(len(body)))...)+body)
		return err == nil
	}
}

// refuse returns a script that rejects requests with the given header lines.
func refuse(status int, header ...string) machines.Script {
	return func(_ *http.Request, _ []byte, c net.Conn) bool {
		text := fmt.Sprintf("HTTP/1.1 %d Refused\r\n%s: 1\r\nContent-Length: 0\r\n", status, machines.HeaderNotExecuted)
		for _, line := range header {
			text += line + "\r\n"
		}
		_, err := io.WriteString(c, text+"\r\n")
		return err == nil
	}
}

// Guards against further requests to an endpoint that has said in an answer that it leaves.
func TestEndpointThatSaysItLeavesGetsNoRequests(t *testing.T) {
	const leaving = machines.HeaderLeaving + ": 1"
	for desc, answer := range map[string]machines.Script{
		"success":        respond(200, "whole", leaving),
		"empty success":  respond(204, "", leaving),
		"error":          respond(500, "failed", leaving),
		"client's error": respond(404, "none", leaving),
		"rejection":      refuse(503, leaving),
		"broken off": func(q *http.Request, _ []byte, c net.Conn) bool {
			_, _ = io.WriteString(c, machines.ResponseHead(q, 200, leaving, "Content-Length: 9")+"short")
			return false
		},
		"stream": func(q *http.Request, _ []byte, c net.Conn) bool {
			_, err := io.WriteString(c, machines.ResponseHead(q, 200, leaving, "Transfer-Encoding: chunked")+"0\r\n\r\n")
			return err == nil
		},
	} {
		t.Run(desc, func(t *testing.T) {
			g := newTestGateway(t, answer, machines.Answer(200, "other"))
			first, other := g.runners[0], g.runners[1]
			g.listRunners(2, 7, first)
			g.send(g.newRequest("/chat/1", "body"))
			before := len(first.Requests())
			check := func(when string) {
				for range 5 {
					g.send(g.newRequest("/book/1", "body"))
				}
				if n := len(first.Requests()) - before; n > 0 || before == 0 {
					t.Errorf("%s: %d of %d requests came after the notice", when, n, before+n)
				}
			}
			g.listRunners(3, 7, first, other)
			check("listed as before")
			g.listRunners(4, 7, other)
			g.listRunners(5, 7, first, other)
			check("listed again")
			g.listRunners(6, 8, first)
			g.send(g.newRequest("/book/1", "body"))
			if len(first.Requests()) == before {
				t.Error("a new process of the endpoint gets no requests")
			}
		})
	}
}

// Guards against requests to an endpoint within the time for which it has turned this instance away.
func TestEndpointIsSparedForItsRetryAfter(t *testing.T) {
	const pause = 600 * time.Millisecond
	for _, tc := range []struct {
		desc   string
		answer machines.Script
		spared bool
	}{
		{"rejection", refuse(503, machines.HeaderRetryAfter+": 0.6"), true},
		{"whole seconds", refuse(503, machines.HeaderRetryAfter+": 1"), true},
		{"failure", respond(503, "full", machines.HeaderRetryAfter+": 0.6"), true},
		{"very long", refuse(503, machines.HeaderRetryAfter+": 1e300"), true},
		{"no time", refuse(503), false},
		{"not a number", refuse(503, machines.HeaderRetryAfter+": soon"), false},
		{"negative", refuse(503, machines.HeaderRetryAfter+": -5"), false},
		{"undefined", refuse(503, machines.HeaderRetryAfter+": NaN"), false},
		{"other status", respond(500, "failed", machines.HeaderRetryAfter+": 5"), false},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			t.Parallel()
			g := newTestGateway(t, tc.answer)
			runner := g.runners[0]
			g.send(g.newRequest("/book/1", "body"))
			runner.SetScript(machines.Answer(200, "whole"))
			start := time.Now()
			got := g.send(g.newRequest("/book/1", "body"))
			if spared := len(runner.Requests()) == 1; spared != tc.spared {
				t.Fatalf("spared: %v, status %d", spared, got.status)
			}
			if !tc.spared {
				return
			}
			if after, err := strconv.ParseFloat(got.header.Get(machines.HeaderRetryAfter), 64); got.status != 503 || err != nil || after < 0.3 || time.Since(start) > pause/2 {
				t.Errorf("status %d after %s, Retry-After %q", got.status, time.Since(start), got.header.Get(machines.HeaderRetryAfter))
			}
			if tc.desc != "rejection" {
				return
			}
			g.listRunners(2, 0)
			g.listRunners(3, 0, runner)
			if got := g.send(g.newRequest("/book/1", "body")); got.status != 503 {
				t.Errorf("status %d after the endpoint was listed again within its pause", got.status)
			}
			time.Sleep(pause)
			if got := g.send(g.newRequest("/book/1", "body")); got.status != 200 {
				t.Errorf("status %d after the pause", got.status)
			}
		})
	}
}

// Guards against requests to an endpoint whose notice stood in an answer that does not name its request.
func TestNoticeInForeignAnswerCounts(t *testing.T) {
	for desc, line := range map[string]string{"leaves": machines.HeaderLeaving + ": 1", "pauses": machines.HeaderRetryAfter + ": 5"} {
		for answer, script := range map[string]machines.Script{
			"alone":           refuse(503, line),
			"with another ID": refuse(503, line, machines.HeaderRequestID+": former"),
			"with its own after": func(q *http.Request, b []byte, c net.Conn) bool {
				return refuse(503, line)(q, b, c) && machines.Answer(200, "whole")(q, b, c)
			},
			"cut": func(q *http.Request, b []byte, c net.Conn) bool { _ = refuse(503, line)(q, b, c); return false },
		} {
			t.Run(desc+"/"+answer, func(t *testing.T) {
				t.Parallel()
				g := newTestGateway(t, machines.Answer(200, "earlier"))
				g.send(g.newRequest("/book/0", "body")) // leaves a connection to be reused
				g.runners[0].SetScript(script)
				g.send(g.newRequest("/book/1", "body", machines.HeaderDeadline+": 300"))
				before := len(g.runners[0].Requests())
				if got := g.send(g.newRequest("/book/2", "body")); got.status != 503 || len(g.runners[0].Requests()) > before {
					t.Errorf("status %d, %d requests after the notice", got.status, len(g.runners[0].Requests())-before)
				}
			})
		}
	}
}
