package gateway_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/gateway"
	"github.com/clementinerack/clementinerack/pkg/hedge"
	"github.com/clementinerack/clementinerack/standins/machines"
)

// newHedgingGateway starts a gateway with second attempts at the service of its runners, which has no engine.
func newHedgingGateway(t *testing.T, share float64, scripts ...machines.Script) *testGateway {
	g := newTestGateway(t, scripts...)
	g.doc.Services[0].Engine = nil
	g.second = hedge.New(hedge.Shares{hedge.AllServices: share}, 0)
	for range 50 { // so that the delay is short
		g.second.RecordAnswer(hedge.Target{Route: "look", Service: "s"}, time.Millisecond, time.Now())
	}
	g.restartPatient()
	return g
}

// stuck returns a script that answers nothing until its connection ends, which it reports.
func stuck(ended chan<- struct{}) machines.Script {
	return func(_ *http.Request, _ []byte, c net.Conn) bool {
		_, _ = io.Copy(io.Discard, c)
		ended <- struct{}{}
		return false
	}
}

// firstThen returns a script for all runners: the first request gets first, the others then.
func firstThen(first, then machines.Script) machines.Script {
	requests := make(chan struct{}, 1)
	return func(q *http.Request, b []byte, c net.Conn) bool {
		select {
		case requests <- struct{}{}:
			return first(q, b, c)
		default:
			return then(q, b, c)
		}
	}
}

// Guards against a slow first attempt that holds the answer up, and against one that goes on after the answer.
func TestSecondAttemptAnswersAndEndsTheFirst(t *testing.T) {
	ended := make(chan struct{}, 1)
	script := firstThen(stuck(ended), machines.Answer(200, "second"))
	g := newHedgingGateway(t, 1, script, script, script)
	if got := g.send(g.newRequest("/look/1", "", machines.HeaderDeadline+": 60000")); got.status != 200 || got.body != "second" || g.countArrivals() != 2 {
		t.Errorf("status %d, body %q, %d arrivals", got.status, got.body, g.countArrivals())
	}
	<-ended
	if n := g.deaths.Load(); n != 0 {
		t.Errorf("the cancelled attempt counts as %d deaths", n)
	}
}

// Guards against a second attempt that goes on after the first one has answered.
func TestFirstAttemptAnswersAndEndsTheSecond(t *testing.T) {
	ended, second := make(chan struct{}, 1), make(chan struct{})
	script := firstThen(func(q *http.Request, b []byte, c net.Conn) bool {
		<-second
		return machines.Answer(200, "first")(q, b, c)
	}, func(q *http.Request, b []byte, c net.Conn) bool {
		close(second)
		return stuck(ended)(q, b, c)
	})
	g := newHedgingGateway(t, 1, script, script)
	if got := g.send(g.newRequest("/look/1", "", machines.HeaderDeadline+": 60000")); got.status != 200 || got.body != "first" {
		t.Errorf("status %d, body %q", got.status, got.body)
	}
	<-ended
}

// Guards against an answer that is lost, or a third run, because the faster attempt does not serve the caller.
func TestSecondAttemptThatFailsLeavesTheFirst(t *testing.T) {
	for desc, fails := range map[string]machines.Script{"500": machines.Answer(500, "failed"), "cut": machines.Cut, "shed": machines.Shed,
		"short": func(q *http.Request, _ []byte, c net.Conn) bool {
			_, _ = io.WriteString(c, machines.ResponseHead(q, 200, "Content-Length: 9")+"short")
			return false
		}} {
		second := make(chan struct{})
		script := firstThen(func(q *http.Request, b []byte, c net.Conn) bool {
			<-second
			time.Sleep(10 * time.Millisecond)
			return machines.Answer(200, "first")(q, b, c)
		}, func(q *http.Request, b []byte, c net.Conn) bool {
			defer close(second)
			return fails(q, b, c)
		})
		g := newHedgingGateway(t, 1, script, script, script)
		if got := g.send(g.newRequest("/look/1", "", machines.HeaderDeadline+": 60000")); got.status != 200 || got.body != "first" || g.countArrivals() != 2 {
			t.Errorf("%s: status %d, body %q, %d arrivals", desc, got.status, got.body, g.countArrivals())
		}
	}
}

// Guards against a second attempt of a request that may run once, of a stream or of a metered one, or without the operator's leave or budget.
func TestNoSecondAttempt(t *testing.T) {
	slow := func(q *http.Request, b []byte, c net.Conn) bool {
		time.Sleep(200 * time.Millisecond)
		return machines.Stream(1, 2, true)(q, b, c)
	}
	for _, tc := range []struct {
		desc, path, header string
		share              float64
		change             func(*testGateway)
	}{
		{"off", "/look/1", "", 0, nil},
		{"may run once", "/book/1", "", 1, nil},
		{"resumable stream", "/chat/1", "", 1, nil},
		{"metered", "/look/1", tokensHeader(), 1, nil},
		{"one attempt", "/look/1", "", 1, func(g *testGateway) { g.doc.Routes[1].MaxAttempts = 1 }},
		{"share used", "/look/1", "", 0.5, nil},
		{"retry budget used", "/look/1", "", 1, func(g *testGateway) {
			g.retries = gateway.NewRetryBudget(0, 2, 10*time.Second, func() int { return 1 })
		}},
		{"no room", "/look/1", "", 1, func(g *testGateway) { g.second.RecordFull("s", time.Now().Add(time.Hour)) }},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			t.Parallel()
			g := newHedgingGateway(t, tc.share, slow, slow)
			if tc.change != nil {
				tc.change(g)
				g.startGateway()
			}
			headers := []string{machines.HeaderDeadline + ": 60000"}
			if tc.header != "" {
				headers = append(headers, tc.header)
			}
			if got := g.send(g.newRequest(tc.path, "body", headers...)); got.status != 200 || g.countArrivals() != 1 {
				t.Errorf("status %d, %d arrivals", got.status, g.countArrivals())
			}
		})
	}
}

// Guards against attempts that go on after the caller has left.
func TestCallerThatLeavesEndsBothAttempts(t *testing.T) {
	ended := make(chan struct{}, 2)
	g := newHedgingGateway(t, 1, stuck(ended), stuck(ended))
	g.client.Timeout = time.Second
	if got := g.send(g.newRequest("/look/1", "", machines.HeaderDeadline+": 60000")); got.err == nil {
		t.Errorf("status %d", got.status)
	}
	for range g.countArrivals() {
		<-ended
	}
}
