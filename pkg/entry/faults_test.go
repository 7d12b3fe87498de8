package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// Guards against malformed requests that reach the ledger or an endpoint.
func TestBadInput(t *testing.T) {
	f := newFixture(t, http.HandlerFunc(serveStream))
	chatWith := func(member string) string {
		return `{"model":"llm","messages":[{"role":"user","content":"x"}]` + member + `}`
	}
	tests := []struct {
		desc, method, path, body string
		headers                  []string
		status                   int
		outcome                  string
	}{
		{desc: "wrong key", method: "GET", path: statusPrefix + "x", headers: []string{"Authorization: Bearer x"}, status: 400},
		{desc: "unknown path", method: "GET", path: "/v2", status: 404},
		{desc: "two budgets", method: "POST", path: chatPath, body: chatWith(""), headers: []string{budgetHeader + ": main", budgetHeader + ": main"}, status: 400, outcome: "not-run"},
		{desc: "two ids", method: "POST", path: chatPath, body: chatWith(""), headers: []string{keyHeader + ": a", keyHeader + ": b"}, status: 400},
		{desc: "malformed budget", method: "POST", path: chatPath, body: chatWith(""), headers: []string{budgetHeader + ": other/main"}, status: 400, outcome: "not-run"},
		{desc: "empty id", method: "POST", path: chatPath, body: chatWith(""), headers: []string{keyHeader + ": "}, status: 400},
		{desc: "malformed issued id", method: "POST", path: chatPath, body: chatWith(""), headers: []string{keyHeader + ": r1.x"}, status: 400},
		{desc: "bad priority", method: "POST", path: chatPath, body: chatWith(""), headers: []string{priorityHeader + ": urgent"}, status: 400, outcome: "not-run"},
		{desc: "bad timeout", method: "POST", path: chatPath, body: chatWith(""), headers: []string{timeoutHeader + ": -1s"}, status: 400, outcome: "not-run"},
		{desc: "not JSON", method: "POST", path: chatPath, body: "{", status: 400, outcome: "not-run"},
		{desc: "trailing data", method: "POST", path: chatPath, body: chatWith("") + "{}", status: 400, outcome: "not-run"},
		{desc: "duplicate member", method: "POST", path: chatPath, body: chatWith(`,"max_tokens":1,"max_tokens":99`), status: 400, outcome: "not-run"},
		{desc: "negative max_tokens", method: "POST", path: chatPath, body: chatWith(`,"max_tokens":-1`), status: 400, outcome: "not-run"},
		{desc: "huge max_tokens", method: "POST", path: chatPath, body: chatWith(`,"max_tokens":99999999999`), status: 400, outcome: "not-run"},
		{desc: "null max_tokens", method: "POST", path: chatPath, body: chatWith(`,"max_tokens":null`), status: 400, outcome: "not-run"},
		{desc: "several answers", method: "POST", path: chatPath, body: chatWith(`,"n":2`), status: 400, outcome: "not-run"},
		{desc: "unknown member", method: "POST", path: chatPath, body: chatWith(`,"best_of":2`), status: 400, outcome: "not-run"},
		{desc: "image content", method: "POST", path: chatPath, body: `{"model":"llm","messages":[{"role":"user","content":[{"type":"image_url","Type":"text","text":"x"}]}]}`, status: 400, outcome: "not-run"},
		{desc: "unknown model", method: "POST", path: chatPath, body: strings.Replace(chatWith(""), "llm", "x", 1), status: 404, outcome: "not-run"},
		{desc: "not repeatable without id", method: "POST", path: appPrefix + "rounds/book", status: 400, outcome: "not-run"},
		{desc: "no route", method: "PUT", path: appPrefix + "rounds/book", status: 404, outcome: "not-run"},
		{desc: "prefix inside a segment", method: "POST", path: appPrefix + "rounds/bookings", headers: []string{keyHeader + ": a"}, status: 404},
		{desc: "dot segments", method: "GET", path: appPrefix + "rounds/x/%2e%2e/book", status: 400, outcome: "not-run"},
		{desc: "too many ids", method: "POST", path: idsPath, body: `{"count":5000}`, status: 400},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			got := f.send(tt.method, tt.path, tt.body, tt.headers...)
			if got.status != tt.status || got.outcome != tt.outcome || !strings.Contains(got.body, `"remedy"`) {
				t.Errorf("%+v, want status %d outcome %q and a remedy", got, tt.status, tt.outcome)
			}
		})
	}
	if len(f.ledger.reserves) != 0 {
		t.Errorf("the owner was asked %d times", len(f.ledger.reserves))
	}
}

// Guards against an outcome that the owner's decision does not support.
func TestDecisions(t *testing.T) {
	unavailable := failure.New(failure.Unavailable, "", "no answer")
	alwaysDecide := func(d ledger.Decision) func(ledger.ReserveRequest) (*ledger.ReserveReply, error) {
		return func(ledger.ReserveRequest) (*ledger.ReserveReply, error) {
			return &ledger.ReserveReply{Decision: d, Attempt: 1}, nil
		}
	}
	tests := []struct {
		desc         string
		reserve      func(ledger.ReserveRequest) (*ledger.ReserveReply, error)
		prepare      func(f *fixture)
		sendKey      bool
		status       int
		outcome      string
		body         string
		reserveCalls int
	}{
		{desc: "admitted", status: 200, body: "[DONE]", reserveCalls: 1},
		{desc: "admitted after a lost reply", sendKey: true, status: 200, body: "[DONE]", reserveCalls: 2,
			prepare: func(f *fixture) { f.ledger.repliesToLose = 1 }},
		{desc: "owner changes", status: 200, body: "[DONE]", reserveCalls: 2, prepare: func(f *fixture) {
			f.ledger.onReserve = func(ledger.ReserveRequest) (*ledger.ReserveReply, error) {
				if len(f.ledger.reserves) == 1 {
					return nil, failure.New(failure.NotOwner, "", "moved")
				}
				return nil, nil
			}
		}},
		{desc: "answered", sendKey: true, status: 202, body: "kept", reserveCalls: 1,
			reserve: func(ledger.ReserveRequest) (*ledger.ReserveReply, error) {
				return &ledger.ReserveReply{Decision: ledger.Answered, Answer: &ledger.StoredAnswer{Status: 202, ContentType: "a/b", Body: []byte("kept")}}, nil
			}},
		{desc: "answer dropped", sendKey: true, status: 409, outcome: "answered", body: "already-answered", reserveCalls: 1, reserve: alwaysDecide(ledger.AnswerDropped)},
		{desc: "unknown outcome, caller's id", sendKey: true, status: 409, outcome: "unknown", body: "outcome-unknown", reserveCalls: 1, reserve: alwaysDecide(ledger.OutcomeUnknown)},
		{desc: "unknown outcome, internal id twice", status: 409, outcome: "unknown", body: "outcome-unknown", reserveCalls: 2, reserve: alwaysDecide(ledger.OutcomeUnknown)},
		{desc: "mismatch", sendKey: true, status: 409, body: "conflict", reserveCalls: 1, reserve: alwaysDecide(ledger.Mismatch)},
		{desc: "exhausted, internal id", status: 402, outcome: "not-run", body: "budget-exhausted", reserveCalls: 1, prepare: func(f *fixture) { f.ledger.state.Commit(f.ledger.state.PlanSyncGrant(testBudget, 1, 2)) }},
		{desc: "exhausted is recorded for the caller's id", sendKey: true, status: 402, outcome: "not-run", body: "budget-exhausted", reserveCalls: 2,
			prepare: func(f *fixture) { f.ledger.state.Commit(f.ledger.state.PlanSyncGrant(testBudget, 1, 2)) }},
		{desc: "no tokens granted and no store", sendKey: true, status: 503, outcome: "not-run", body: "unavailable", prepare: func(f *fixture) {
			f.ledger.onReserve = func(req ledger.ReserveRequest) (*ledger.ReserveReply, error) {
				if req.Refuse {
					return &ledger.ReserveReply{Decision: ledger.Refused}, nil
				}
				return &ledger.ReserveReply{Decision: ledger.Exhausted, Kind: failure.Unavailable}, nil
			}
		}},
		{desc: "exhausted, record not confirmed", sendKey: true, status: 402, outcome: "unknown", body: "budget-exhausted", prepare: func(f *fixture) {
			f.ledger.onReserve = func(req ledger.ReserveRequest) (*ledger.ReserveReply, error) {
				if req.Refuse {
					return nil, unavailable
				}
				return &ledger.ReserveReply{Decision: ledger.Exhausted}, nil
			}
		}},
		{desc: "refused", sendKey: true, status: 409, outcome: "not-run", body: "conflict", reserveCalls: 1, reserve: alwaysDecide(ledger.Refused)},
		{desc: "owner silent, caller's id", sendKey: true, status: 504, outcome: "unknown",
			reserve: func(ledger.ReserveRequest) (*ledger.ReserveReply, error) { return nil, unavailable }},
		{desc: "owner silent, internal id", status: 504, outcome: "not-run",
			reserve: func(ledger.ReserveRequest) (*ledger.ReserveReply, error) { return nil, unavailable }},
		{desc: "older than the record of not run", sendKey: true, status: 409, outcome: "not-run", body: "conflict", reserveCalls: 1, prepare: func(f *fixture) {
			f.ledger.onReserve = func(req ledger.ReserveRequest) (*ledger.ReserveReply, error) {
				reply, m, err := f.ledger.state.PlanReserve(req, time.Now())
				f.ledger.state.Commit(m)
				reply.AfterNotRun = true // recorded at this moment
				return &reply, err
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			f := newFixture(t, http.HandlerFunc(serveStream))
			f.ledger.onReserve = tt.reserve
			if tt.prepare != nil {
				tt.prepare(f)
			}
			headers := []string{timeoutHeader + ": 20s"}
			if strings.HasPrefix(tt.desc, "owner silent") || strings.Contains(tt.desc, "not confirmed") {
				headers[0] = timeoutHeader + ": 200ms"
			}
			if tt.sendKey {
				headers = append(headers, keyHeader+": key")
			}
			got := f.send("POST", chatPath, chatBody, headers...)
			if got.status != tt.status || got.outcome != tt.outcome || !strings.Contains(got.body, tt.body) {
				t.Errorf("%+v, want %d %q %q", got, tt.status, tt.outcome, tt.body)
			}
			f.drain()
			if tt.status != 504 && tt.reserveCalls != 0 && len(f.ledger.reserves) != tt.reserveCalls {
				t.Errorf("the owner was asked %d times, want %d", len(f.ledger.reserves), tt.reserveCalls)
			}
			if tt.status >= 400 && f.ledger.right().Reserved != 0 {
				t.Errorf("a reservation remains: %+v", f.ledger.right())
			}
		})
	}
}

// Guards against the outcome "not-run" for a request whose earlier attempt ran,
// and against the loss of that attempt's charge.
func TestRefusedRepeatOfPartialRun(t *testing.T) {
	tests := []struct {
		desc, body string
		refuse     func(f *fixture)
	}{
		{"instance is stopping", "not-ready", func(f *fixture) { f.inFlight.drain() }},
		{"budget is exhausted", "budget-exhausted", func(f *fixture) { f.ledger.state.Commit(f.ledger.state.PlanSyncGrant(testBudget, 10, 2)) }},
		{"no endpoint", "no-endpoint", func(f *fixture) {
			f.doc.Drained = []string{"e0"}
			f.pool.Update(f.doc)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			f := newFixture(t, http.HandlerFunc(breakAfterFirstEvent))
			if got := f.send("POST", chatPath, chatBody, keyHeader+": key"); !strings.Contains(got.body, "unknown") {
				t.Fatalf("the first attempt ended with %+v", got)
			}
			if err := f.settleQueue.waitIdle(t.Context()); err != nil { // f.drain would stop the instance
				t.Fatal(err)
			}
			before := f.ledger.right().Charged
			tt.refuse(f)
			got := f.send("POST", chatPath, chatBody, keyHeader+": key")
			if got.outcome != "unknown" || !strings.Contains(got.body, tt.body) {
				t.Errorf("the repeat was told %+v, want %q with outcome unknown", got, tt.body)
			}
			f.drain()
			if after := f.ledger.right(); after.Charged != before || after.Reserved != 0 {
				t.Errorf("%d tokens were charged before the repeat, now %+v", before, after)
			}
		})
	}
}

// fakeEndpoint handles requests with its fault and counts them.
type fakeEndpoint struct {
	fault       func(w http.ResponseWriter, r *http.Request)
	runs        atomic.Int64
	incarnation atomic.Int64
}

func (e *fakeEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		_, _ = io.WriteString(w, `{"usage":{"prompt_tokens":7,"completion_tokens":1}}`)
		return
	}
	if r.URL.Path == "/v1/load" || r.URL.Path == "/healthz" {
		fmt.Fprintf(w, `{"incarnation":"i%d"}`, e.incarnation.Load())
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.runs.Add(1)
	e.fault(w, r)
}

func breakAfterFirstEvent(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Resume-After") == "" {
		writeEvents(w, 1, 1)
	}
	breakConnection(w, r)
}

// Guards against a truncated answer that ends cleanly, a second run of a call
// that is not repeatable, and a retry after part of an answer reached the caller.
func TestEndpointFaults(t *testing.T) {
	const booking = appPrefix + "rounds/book"
	tests := []struct {
		desc, path, body string
		fault            func(w http.ResponseWriter, r *http.Request)
		secondHealthy    bool // there is a second endpoint, which is healthy
		sendKey          bool
		status           int
		outcome          string
		contains         string
		charged          ledger.Tokens
		end              ledger.End
		runs             int64
		bodyBroken       bool
	}{
		{desc: "crash before the first event, other endpoint", path: chatPath, body: chatBody, fault: breakConnection, secondHealthy: true,
			status: 200, contains: "[DONE]", charged: 10, end: ledger.EndComplete},
		{desc: "crash before the first event, no other", path: chatPath, body: chatBody, fault: breakConnection,
			status: 502, outcome: "unknown", contains: "endpoint-failed", charged: 8, end: ledger.EndPartial},
		{desc: "crash after the first event", path: chatPath, body: chatBody, fault: breakAfterFirstEvent, secondHealthy: true,
			status: 200, contains: "event: error\ndata: {", charged: 8, end: ledger.EndPartial},
		{desc: "crash after the first event, no stream asked for", path: chatPath, body: strings.Replace(chatBody, "true", "false", 1),
			fault: breakAfterFirstEvent, secondHealthy: true, status: 200, contains: "w3", charged: 10, end: ledger.EndComplete},
		{desc: "connection breaks during a booking", path: booking, fault: breakConnection, secondHealthy: true, sendKey: true,
			status: 502, outcome: "unknown", contains: "endpoint-failed", charged: 50, end: ledger.EndUnknown, runs: 1},
		{desc: "connection breaks within the long answer of a booking", path: booking, sendKey: true, fault: func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", 100<<10))
			_ = http.NewResponseController(w).Flush()
			breakConnection(w, r)
		}, status: 200, bodyBroken: true, charged: 50, end: ledger.EndUnknown, runs: 1},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			e := &fakeEndpoint{fault: tt.fault}
			handlers := []http.Handler{e}
			if tt.secondHealthy && tt.path == booking {
				handlers = append(handlers, e)
			} else if tt.secondHealthy {
				handlers = append(handlers, http.HandlerFunc(serveStream))
			}
			f := newFixture(t, handlers...)
			if tt.secondHealthy && tt.path == chatPath {
				f.pool.MarkDown("e1", time.Now().Add(time.Hour)) // makes the faulty endpoint e0 the first choice
				e.fault = func(w http.ResponseWriter, r *http.Request) {
					f.pool.MarkDown("e1", time.Time{})
					tt.fault(w, r)
				}
			}
			var headers []string
			if tt.sendKey {
				headers = []string{keyHeader + ": key"}
			}
			got := f.send("POST", tt.path, tt.body, headers...)
			if got.status != tt.status || got.outcome != tt.outcome || !strings.Contains(got.body, tt.contains) || (got.err != nil) != tt.bodyBroken {
				t.Errorf("%+v, want %d %q %q", got, tt.status, tt.outcome, tt.contains)
			}
			if strings.Contains(got.body, "event: error") && strings.Contains(got.body, "[DONE]") {
				t.Error("a failed stream has the terminal marker")
			}
			f.drain()
			if end, charged := f.ledger.settles[0].End, f.ledger.right().Charged; end != tt.end || charged != tt.charged {
				t.Errorf("settled as %d for %d tokens, want %d for %d", end, charged, tt.end, tt.charged)
			}
			if tt.runs != 0 && e.runs.Load() != tt.runs {
				t.Errorf("ran %d times, want %d", e.runs.Load(), tt.runs)
			}
		})
	}
}

// Guards against a request that crashes one endpoint after another, also when
// its caller sends it again under a new id.
func TestCrashingRequest(t *testing.T) {
	e := &fakeEndpoint{}
	e.fault = func(w http.ResponseWriter, r *http.Request) {
		e.incarnation.Add(1)
		breakConnection(w, r)
	}
	f := newFixture(t, e, e, e)
	if got := f.send("POST", chatPath, chatBody); got.status != 502 || got.outcome != "unknown" {
		t.Errorf("first: %+v", got)
	}
	crashes := e.runs.Load()
	for _, headers := range [][]string{nil, {keyHeader + ": k"}} {
		if got := f.send("POST", chatPath, chatBody, headers...); got.status != 422 || got.outcome != "not-run" {
			t.Errorf("again: %+v", got)
		}
	}
	if crashes != 2 || e.runs.Load() != crashes || len(f.notices) == 0 {
		t.Errorf("crashed %d and then %d endpoints, %d notices", crashes, e.runs.Load()-crashes, len(f.notices))
	}
}

// Guards against the outcome "not-run" for a call without an endpoint before the
// owner has recorded it, and against a lost settlement.
func TestNotRunIsConfirmed(t *testing.T) {
	f := newFixture(t) // no endpoints
	var settleCalls atomic.Int64
	f.ledger.onSettle = func(ledger.SettleRequest) error {
		if settleCalls.Add(1) <= 3 {
			return failure.New(failure.Uncertain, "", "no answer")
		}
		return nil
	}
	got := f.send("POST", appPrefix+"rounds/book", "", keyHeader+": key")
	if got.status != 503 || got.outcome != "not-run" || settleCalls.Load() != 4 {
		t.Errorf("%+v after %d calls", got, settleCalls.Load())
	}
	if status, ok := f.ledger.state.Lookup(ledger.NewCallerKeyID(testShard, "ward", "key").String()); !ok || status.State != ledger.StateNotRun {
		t.Errorf("the owner recorded %+v", status)
	}
	f.ledger.onSettle = func(ledger.SettleRequest) error { return failure.New(failure.Unavailable, "", "no answer") }
	if got := f.send("POST", appPrefix+"rounds/book", "", keyHeader+": other"); got.outcome != "unknown" {
		t.Errorf("without a confirmed settlement: %+v", got)
	}
}

// Guards against work for a caller that has disconnected, a reservation that is
// never settled, and a booking whose result is lost because its caller
// disconnected.
func TestCallerLeaves(t *testing.T) {
	running := make(chan struct{}, 2)
	e := &fakeEndpoint{}
	f := newFixture(t, e)
	sendAndLeave := func(path, body string, headers ...string) {
		ctx, cancel := context.WithCancel(context.Background())
		go func() { <-running; cancel() }()
		resp, err := f.client.Do(f.newRequest(ctx, "POST", path, body, headers...))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			resp.Body.Close()
		}
		if !errors.Is(err, context.Canceled) {
			t.Fatal("the caller got", err)
		}
	}
	e.fault = func(w http.ResponseWriter, r *http.Request) {
		writeEvents(w, 1, 1)
		running <- struct{}{}
		<-r.Context().Done()
	}
	sendAndLeave(chatPath, chatBody)
	callerLeft := make(chan struct{})
	e.fault = func(w http.ResponseWriter, _ *http.Request) {
		running <- struct{}{}
		<-callerLeft
		_, _ = io.WriteString(w, "booked")
	}
	sendAndLeave(appPrefix+"rounds/book", "", keyHeader+": k")
	close(callerLeft)
	if got := f.send("POST", appPrefix+"rounds/book", "", keyHeader+": k"); got.status != 200 || got.body != "booked" || e.runs.Load() != 2 {
		t.Errorf("repeated booking: %+v after %d runs", got, e.runs.Load())
	}
	f.drain()
	if r := f.ledger.right(); r.Charged != 8+50 || r.Reserved != 0 {
		t.Errorf("settled as %+v, want 8 tokens for the stream and 50 for the booking", r)
	}
}

// Guards against a graceful stop that aborts a request in flight or accepts new
// requests.
func TestDrain(t *testing.T) {
	running, finish := make(chan struct{}), make(chan struct{})
	e := &fakeEndpoint{fault: func(w http.ResponseWriter, r *http.Request) {
		close(running)
		<-finish
		serveStream(w, r)
	}}
	f := newFixture(t, e)
	answer := make(chan response)
	go func() { answer <- f.send("POST", chatPath, chatBody) }()
	<-running
	f.inFlight.drain()
	if got := f.send("POST", chatPath, chatBody); got.status != 503 || got.outcome != "not-run" {
		t.Errorf("while stopping: %+v", got)
	}
	if got := f.send("POST", chatPath, chatBody, keyHeader+": k"); got.status != 503 || got.outcome != "not-run" {
		t.Errorf("while stopping, caller's id: %+v", got)
	}
	close(finish)
	if got := <-answer; !isWholeStream(got.body) {
		t.Errorf("in flight: %+v", got)
	}
	f.drain()
	if r := f.ledger.right(); r.Reserved != 0 || r.Charged != 10 {
		t.Errorf("after the drain: %+v", r)
	}
}

// Guards against a repeat that runs a second time or gets a different answer, at
// the same instance and at another one.
func TestAttach(t *testing.T) {
	running, finish := make(chan struct{}), make(chan struct{})
	e := &fakeEndpoint{fault: func(w http.ResponseWriter, _ *http.Request) {
		writeEvents(w, 1, 2)
		close(running)
		<-finish
		writeEvents(w, 3, 4)
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}}
	f := newFixture(t, e)
	g := f.startSecond("other")
	answers := make(chan response, 3)
	sendRequest := func(f *fixture) { answers <- f.send("POST", chatPath, chatBody, keyHeader+": k") }
	go sendRequest(f)
	<-running
	go sendRequest(f)
	go sendRequest(g)
	id := ledger.NewCallerKeyID(testShard, "ward", "k").String()
	for !f.requests.hasReader(id) { // one repeat is enough; the other gets the same answer also if it comes later
		time.Sleep(time.Millisecond)
	}
	close(finish)
	first := <-answers
	for range 2 {
		if got := <-answers; got != first || !isWholeStream(got.body) {
			t.Errorf("%+v, want %+v", got, first)
		}
	}
	if e.runs.Load() != 1 {
		t.Errorf("ran %d times", e.runs.Load())
	}
	f.drain()
	g.drain()
}

// Guards against a second run of a booking whose dispatcher is lost, and against a
// repeatable lookup that is refused for that reason.
func TestDispatcherGone(t *testing.T) {
	for _, tt := range []struct {
		desc, method, path string
		status             int
		outcome            string
	}{
		{"booking", "POST", "/book", 409, "unknown"},
		{"lookup", "GET", "/x", 200, ""},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			f := newFixture(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			f.ledger.onReserve = func(req ledger.ReserveRequest) (*ledger.ReserveReply, error) {
				if len(f.ledger.reserves) == 1 { // first records an attempt of a dispatcher that was lost
					gone := req
					gone.Dispatcher, gone.DispatcherAddress = "gone", "gone"
					_, m, err := f.ledger.state.PlanReserve(gone, time.Now())
					f.ledger.state.Commit(m)
					if err != nil {
						return nil, err
					}
				}
				return nil, nil
			}
			got := f.send(tt.method, appPrefix+"rounds"+tt.path, "", keyHeader+": k")
			if got.status != tt.status || got.outcome != tt.outcome {
				t.Errorf("%+v, want %d %q", got, tt.status, tt.outcome)
			}
			f.drain()
		})
	}
}

// Guards against an attach that is answered on behalf of another incarnation, and
// against a reservation that is left behind for a call that was abandoned.
func TestAttachNotFound(t *testing.T) {
	f := newFixture(t)
	id := ledger.NewCallerKeyID(testShard, "ward", "k").String()
	req := ledger.ReserveRequest{ID: id, Budget: testBudget, Service: "llm", Amount: 5, Dispatcher: "self", Call: 99}
	if _, err := f.ledger.Reserve(context.Background(), req); err != nil {
		t.Fatal(err)
	}
	attach := func(dispatcher string) error {
		var part AttachReply
		return f.peers.Call(context.Background(), "self", AttachMethod, AttachRequest{ID: id, Attempt: 1, Dispatcher: dispatcher}, &part)
	}
	if err := attach("earlier incarnation"); !failure.Is(err, failure.NotFound) {
		t.Error("other incarnation:", err)
	}
	f.drain()
	if f.ledger.right().Reserved != 5 {
		t.Error("an attempt of another incarnation was settled")
	}
	if err := attach("self"); !failure.Is(err, failure.NotFound) {
		t.Error("this incarnation:", err)
	}
	f.drain()
	if f.ledger.right().Reserved != 0 {
		t.Error("the attempt was not settled as not run")
	}
}

// Guards against a late attach that reports a request with an unknown end as never
// sent.
func TestUnknownEndsAreKept(t *testing.T) {
	table, now := newRequestTable(), time.Now()
	for i, end := range []ledger.End{ledger.EndUnknown, ledger.EndComplete, ledger.EndComplete} {
		e := table.add("id", uint64(i))
		table.markAdmitted(e, uint32(i+1))
		table.markSettled(e, end, now.Add(time.Duration(i)*time.Hour))
	}
	unknown, _ := table.find(context.Background(), "id", 1)
	complete, neverSent := table.find(context.Background(), "id", 2)
	if unknown == nil || complete != nil || !neverSent {
		t.Errorf("unknown entry kept %v, complete entry kept %v, never sent %v", unknown != nil, complete != nil, neverSent)
	}
}

// Guards against rate limits that are not enforced, and against ids or a status
// that are wrong.
func TestLimitsAndIDs(t *testing.T) {
	f := newFixture(t, http.HandlerFunc(serveStream))
	if got := f.send("POST", idsPath, `{"budget":"main","count":2}`); got.status != 200 || strings.Count(got.body, "r1.yaba.0.1.") != 2 {
		t.Errorf("ids: %+v", got)
	}
	f.send("POST", chatPath, chatBody, keyHeader+": k")
	f.drain()
	if got := f.send("GET", statusPrefix+"k", ""); !strings.Contains(got.body, `"state":"answered"`) || !strings.Contains(got.body, `"charged":10`) {
		t.Errorf("status: %+v", got)
	}
	f.doc.Workspaces[0].RatePerSecond = 0.001
	g := f.startSecond("limited") // a new instance starts with an unused rate limit
	g.send("POST", chatPath, chatBody)
	if got := g.send("POST", chatPath, chatBody); got.status != 429 || got.outcome != "not-run" {
		t.Errorf("rate: %+v", got)
	}
}
