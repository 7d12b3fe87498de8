package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout is long enough not to expire by accident on a busy machine.
const testTimeout = 700 * time.Millisecond

// fakeEngine serves the connections of one stream, one step of the script for each.
// The last step serves all further connections.
type fakeEngine struct {
	script      []func(w http.ResponseWriter, after int)
	cancelReply string // body of the answer to a cancel; empty for status 404
	mu          sync.Mutex
	connections int
	cancels     int
	incarnation int
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	switch {
	case r.Method == http.MethodDelete:
		e.cancels++
		e.mu.Unlock()
		if e.cancelReply == "" {
			http.NotFound(w, r)
			return
		}
		_, _ = io.WriteString(w, e.cancelReply)
		return
	case r.URL.Path == "/v1/load":
		fmt.Fprintf(w, `{"incarnation":"i%d"}`, e.incarnation)
		e.mu.Unlock()
		return
	}
	step := e.script[min(e.connections, len(e.script)-1)]
	e.connections++
	e.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	after, _ := strconv.Atoi(r.Header.Get(resumeHeader))
	step(connWriter{w, r.Context()}, after)
}

// connWriter holds the context of the request, which ends when the client closes
// the connection.
type connWriter struct {
	http.ResponseWriter
	ctx context.Context
}

func (w connWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// waitForDisconnect stays silent until the client closes the connection.
func waitForDisconnect(w http.ResponseWriter) { <-w.(connWriter).ctx.Done() }

const cancelReply = `{"usage":{"prompt_tokens":9,"completion_tokens":2}}`

// lastEvent is the sequence number of the event with the usage.
const lastEvent = 5

func sendEvents(w http.ResponseWriter, seqs ...int) {
	for _, seq := range seqs {
		data := fmt.Sprintf(`{"choices":[{"delta":{"content":"%d"}}]}`, seq)
		if seq == lastEvent {
			data = `{"usage":{"prompt_tokens":9,"completion_tokens":4}}`
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", seq, data)
	}
	_ = http.NewResponseController(w).Flush()
}

func sendTerminalMarker(w http.ResponseWriter) { _, _ = io.WriteString(w, "data: [DONE]\n\n") }

func sendRest(w http.ResponseWriter, after int) {
	for seq := after + 1; seq <= lastEvent; seq++ {
		sendEvents(w, seq)
	}
	sendTerminalMarker(w)
}

func breakAfter(seqs ...int) func(http.ResponseWriter, int) {
	return func(w http.ResponseWriter, _ int) {
		sendEvents(w, seqs...)
		panic(http.ErrAbortHandler)
	}
}

func silentAfter(seqs ...int) func(http.ResponseWriter, int) {
	return func(w http.ResponseWriter, _ int) {
		if len(seqs) > 0 {
			sendEvents(w, seqs...)
		}
		waitForDisconnect(w)
	}
}

func completeAfter(seqs ...int) func(http.ResponseWriter, int) {
	return func(w http.ResponseWriter, _ int) { sendEvents(w, seqs...); sendTerminalMarker(w) }
}

// endWithConnection sends two events and the text in a body with neither a length nor
// chunks.
func endWithConnection(text string) func(http.ResponseWriter, int) {
	return func(w http.ResponseWriter, _ int) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return // the test sees that the events are missing
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
		for seq := 1; seq <= 2; seq++ {
			_, _ = fmt.Fprintf(conn, "id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"%d\"}}]}\n\n", seq, seq)
		}
		_, _ = io.WriteString(conn, text)
	}
}

func respondStatus(code int) func(http.ResponseWriter, int) {
	return func(w http.ResponseWriter, _ int) { http.Error(w, "refused", code) }
}

// Guards against a stream that is reported complete although it is not, events
// that are lost, duplicated or out of order, and blaming the endpoint for the fault
// of one connection.
func TestModelFaults(t *testing.T) {
	type script = []func(http.ResponseWriter, int)
	tests := []struct {
		desc            string
		script          script
		cancelReply     string
		outcome         Outcome
		totalTokens     int64
		events          string
		kind            failure.Kind
		endpointAtFault bool
		reconnects      int
		cancels         int
	}{
		{desc: "whole", script: script{sendRest}, outcome: Complete, totalTokens: 13, events: "1234"},
		{desc: "duplicates", script: script{completeAfter(1, 1, 2, 1, 3, 3, 4, 5, 5)}, outcome: Complete, totalTokens: 13, events: "1234"},
		{desc: "reordered", script: script{completeAfter(2, 1, 4, 3, 5)}, outcome: Complete, totalTokens: 13, events: "1234"},
		{desc: "marker overtakes the usage", script: script{func(w http.ResponseWriter, _ int) {
			sendEvents(w, 1, 2, 3)
			sendTerminalMarker(w)
			sendEvents(w, 5, 4)
		}}, outcome: Complete, totalTokens: 13, events: "1234"},
		{desc: "missing event is resumed", script: script{completeAfter(1, 2, 4, 5), sendRest}, outcome: Complete, totalTokens: 13, events: "1234", reconnects: 1},
		{desc: "connection broken after two events is resumed", script: script{breakAfter(1, 2), sendRest}, outcome: Complete, totalTokens: 13, events: "1234", reconnects: 1},
		{desc: "connection broken before the first event", script: script{breakAfter(), sendRest}, outcome: Complete, totalTokens: 13, events: "1234", reconnects: 1},
		{desc: "clean end without marker is resumed", script: script{func(w http.ResponseWriter, _ int) { sendEvents(w, 1, 2) }, sendRest},
			outcome: Complete, totalTokens: 13, events: "1234", reconnects: 1},
		{desc: "cut marker in a body that ends with the connection is resumed", script: script{endWithConnection("data: [DONE]\n"), sendRest},
			outcome: Complete, totalTokens: 13, events: "1234", reconnects: 1},
		{desc: "cut event in a body that ends with the connection is resumed", script: script{endWithConnection("id: 3\ndata: {"), sendRest},
			outcome: Complete, totalTokens: 13, events: "1234", reconnects: 1},
		{desc: "marker without usage is not complete", script: script{completeAfter(1, 2, 3, 4)}, cancelReply: cancelReply,
			outcome: Partial, totalTokens: 11, events: "1234", kind: failure.Truncated, endpointAtFault: true, reconnects: 2, cancels: 1},
		{desc: "silent connection is resumed", script: script{silentAfter(1, 2), sendRest}, outcome: Complete, totalTokens: 13, events: "1234", reconnects: 1},
		{desc: "silent before the first event", script: script{silentAfter(), sendRest}, outcome: Complete, totalTokens: 13, events: "1234", reconnects: 1},
		{desc: "silent on the new connection too", script: script{silentAfter(1), silentAfter()}, cancelReply: cancelReply,
			outcome: Partial, totalTokens: 11, events: "1", kind: failure.Truncated, endpointAtFault: true, reconnects: 2, cancels: 1},
		{desc: "engine lost the stream", script: script{breakAfter(1), respondStatus(404)},
			outcome: Unknown, events: "1", kind: failure.EndpointFailed, endpointAtFault: true, reconnects: 1},
		{desc: "no usage after broken connections", script: script{breakAfter(1), breakAfter()},
			outcome: Unknown, events: "1", kind: failure.Truncated, endpointAtFault: true, reconnects: 2, cancels: 1},
		{desc: "busy engine did not start the stream", script: script{respondStatus(503)},
			outcome: Partial, kind: failure.EndpointFailed, endpointAtFault: true, cancels: 1},
		{desc: "busy engine may still start the stream of an unanswered connection", script: script{silentAfter(), respondStatus(503)},
			outcome: Unknown, kind: failure.EndpointFailed, endpointAtFault: true, reconnects: 1, cancels: 1},
		{desc: "stream that began is unknown", script: script{func(w http.ResponseWriter, _ int) { _, _ = io.WriteString(w, "data: {}\n\n") }},
			outcome: Unknown, kind: failure.EndpointFailed, endpointAtFault: true, cancels: 1},
		{desc: "engine refuses the request", script: script{respondStatus(400)}, outcome: Partial, kind: failure.Invalid, cancels: 1},
		{desc: "events without numbers", script: script{func(w http.ResponseWriter, _ int) {
			_, _ = io.WriteString(w, "data: {}\n\n")
		}}, cancelReply: cancelReply, outcome: Partial, totalTokens: 11, kind: failure.EndpointFailed, endpointAtFault: true, cancels: 1},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			t.Parallel()
			engine := &fakeEngine{script: tt.script, cancelReply: tt.cancelReply}
			res, events := runModel(t, engine, 100, nil)
			if res.Outcome != tt.outcome || int64(res.Usage.Total()) != tt.totalTokens || events != tt.events {
				t.Errorf("outcome %v usage %v events %q, want %v %d %q", res.Outcome, res.Usage, events, tt.outcome, tt.totalTokens, tt.events)
			}
			if kindOf(res) != tt.kind || res.EndpointAtFault != tt.endpointAtFault || res.Reconnects != tt.reconnects || engine.cancels != tt.cancels {
				t.Errorf("kind %q endpoint at fault %v reconnects %d cancels %d, want %q %v %d %d",
					kindOf(res), res.EndpointAtFault, res.Reconnects, engine.cancels, tt.kind, tt.endpointAtFault, tt.reconnects, tt.cancels)
			}
			if res.Delivered != (tt.events != "") {
				t.Errorf("delivered %v after events %q", res.Delivered, tt.events)
			}
		})
	}
}

func kindOf(res Result) failure.Kind {
	if res.Err == nil {
		return ""
	}
	return res.Err.Kind
}

// runModel makes one attempt. It returns the result and the sequence numbers of
// the delivered events. An error of onEvent, which may be nil, ends the attempt.
func runModel(t *testing.T, engine http.Handler, maxTokens int64, onEvent func(seq uint64) error) (Result, string) {
	server := httptest.NewServer(engine)
	defer server.Close()
	client := New(Options{Instance: "test"})
	defer client.Close()
	client.RecordIncarnation("e", "i0")
	var events strings.Builder
	res := client.SendModel(context.Background(), ModelCall{
		Service:  config.Service{FirstByteTimeout: testTimeout, IdleTimeout: testTimeout},
		Endpoint: config.Endpoint{ID: "e", Address: server.Listener.Addr().String()},
		StreamID: "s", RequestID: "r", Body: []byte(`{}`), MaxTokens: maxTokens,
		OnEvent: func(seq uint64, data []byte) error {
			if onEvent != nil {
				if err := onEvent(seq); err != nil {
					return err
				}
			}
			if seq != lastEvent {
				fmt.Fprint(&events, seq)
			}
			return nil
		},
	})
	return res, events.String()
}

// Guards against work that continues at the engine after the caller disconnected,
// and against a charge above the caller's max_tokens.
func TestModelStops(t *testing.T) {
	engine := &fakeEngine{script: []func(http.ResponseWriter, int){sendRest}, cancelReply: cancelReply}
	res, _ := runModel(t, engine, 100, func(seq uint64) error {
		if seq == 3 {
			return errors.New("the caller has disconnected")
		}
		return nil
	})
	if res.Outcome != Partial || res.Usage.Total() != 11 || res.EndpointAtFault || engine.cancels != 1 {
		t.Errorf("caller disconnected: %+v, %d cancels", res, engine.cancels)
	}
	engine = &fakeEngine{script: []func(http.ResponseWriter, int){sendRest}, cancelReply: cancelReply}
	res, events := runModel(t, engine, 2, nil)
	if res.Outcome != Partial || events != "12" || engine.cancels != 1 {
		t.Errorf("max_tokens: %+v, events %q, %d cancels", res, events, engine.cancels)
	}
}

// Guards against running a request again on an engine that crashed and restarted,
// which would hide the crash from the quarantine.
func TestModelEngineRestarts(t *testing.T) {
	engine := &fakeEngine{}
	engine.script = []func(http.ResponseWriter, int){func(w http.ResponseWriter, _ int) {
		engine.mu.Lock()
		engine.incarnation++
		engine.mu.Unlock()
		panic(http.ErrAbortHandler)
	}}
	res, _ := runModel(t, engine, 100, nil)
	if !res.EndpointDied || res.Incarnation != "i0" || res.Outcome != Unknown || engine.connections != 1 {
		t.Errorf("%+v after %d connections", res, engine.connections)
	}
}

// recordingSink records an app's answer.
type recordingSink struct {
	code int
	body strings.Builder
}

func (s *recordingSink) Begin(code int, _ http.Header, _ int) error { s.code = code; return nil }
func (s *recordingSink) Write(p []byte) (int, error)                { return s.body.Write(p) }

// Guards against a truncated answer that ends cleanly, a second run of a call that
// is not repeatable, and a result that wrongly says that nothing was sent.
func TestAppFaults(t *testing.T) {
	longBody := strings.Repeat("x", maxHeldBytes+1)
	tests := []struct {
		desc       string
		handler    func(w http.ResponseWriter, run int64)
		repeatable bool
		outcome    Outcome
		runs       int64
		size       int
		kind       failure.Kind
	}{
		{desc: "whole", outcome: Complete, runs: 1, size: 2, handler: func(w http.ResponseWriter, _ int64) { _, _ = io.WriteString(w, "ok") }},
		{desc: "large chunked", outcome: Complete, runs: 1, size: maxHeldBytes + 1,
			handler: func(w http.ResponseWriter, _ int64) { _, _ = io.WriteString(w, longBody) }},
		{desc: "empty", outcome: Complete, runs: 1, handler: func(w http.ResponseWriter, _ int64) { w.WriteHeader(204) }},
		{desc: "closed before the answer", outcome: Unknown, runs: 1, kind: failure.EndpointFailed,
			handler: func(http.ResponseWriter, int64) { panic(http.ErrAbortHandler) }},
		{desc: "fewer bytes than Content-Length", outcome: Unknown, runs: 1, kind: failure.EndpointFailed,
			handler: func(w http.ResponseWriter, _ int64) {
				w.Header().Set("Content-Length", "9")
				_, _ = io.WriteString(w, "ok")
			}},
		{desc: "connection broken before the final chunk", outcome: Unknown, runs: 1, kind: failure.Truncated, size: maxHeldBytes + 1,
			handler: func(w http.ResponseWriter, _ int64) {
				_, _ = io.WriteString(w, longBody)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(100 * time.Millisecond) // lets the part arrive before the connection breaks
				panic(http.ErrAbortHandler)
			}},
		{desc: "end marked by closing the connection only", outcome: Unknown, runs: 1, kind: failure.EndpointFailed,
			handler: func(w http.ResponseWriter, _ int64) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok")
					conn.Close()
				}
			}},
		{desc: "silent, not repeatable", outcome: Unknown, runs: 1, kind: failure.EndpointFailed,
			handler: func(w http.ResponseWriter, _ int64) { waitForDisconnect(w) }},
		{desc: "silent, repeatable", repeatable: true, outcome: Complete, runs: 2, size: 2,
			handler: func(w http.ResponseWriter, run int64) {
				if run == 1 {
					waitForDisconnect(w)
				}
				_, _ = io.WriteString(w, "ok")
			}},
		{desc: "connection broken twice, repeatable", repeatable: true, outcome: Unknown, runs: 2, kind: failure.EndpointFailed,
			handler: func(http.ResponseWriter, int64) { panic(http.ErrAbortHandler) }},
		{desc: "too large", outcome: Unknown, runs: 1, size: 262144, kind: failure.EndpointFailed,
			handler: func(w http.ResponseWriter, _ int64) { _, _ = io.WriteString(w, strings.Repeat(longBody, 6)) }},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/healthz" {
					_, _ = io.Copy(io.Discard, r.Body)
					tt.handler(connWriter{w, r.Context()}, runs.Add(1))
				}
			}))
			defer server.Close()
			res, got := runApp(server.Listener.Addr().String(), tt.repeatable)
			if res.Outcome != tt.outcome || kindOf(res) != tt.kind || runs.Load() != tt.runs {
				t.Errorf("outcome %v kind %q runs %d, want %v %q %d", res.Outcome, kindOf(res), runs.Load(), tt.outcome, tt.kind, tt.runs)
			}
			if tt.desc != "too large" && got.body.Len() != tt.size {
				t.Errorf("%d bytes delivered, want %d", got.body.Len(), tt.size)
			}
		})
	}
	res, _ := runApp("127.0.0.1:1", false) // no process listens on port 1
	if res.Outcome != NotSent || !res.EndpointAtFault || !res.EndpointDied || res.Err.Kind != failure.EndpointFailed {
		t.Errorf("refused connection: %+v", res)
	}
}

func runApp(address string, repeatable bool) (Result, *recordingSink) {
	client := New(Options{MaxResponse: maxHeldBytes * 4})
	defer client.Close()
	got := &recordingSink{}
	return client.SendApp(context.Background(), AppCall{
		Service:  config.Service{FirstByteTimeout: testTimeout, IdleTimeout: testTimeout},
		Endpoint: config.Endpoint{ID: "a", Address: address}, Method: http.MethodPost, Path: "/x",
		Header: http.Header{}, Body: []byte("body"), RequestID: "r", Repeatable: repeatable,
		AllowReconnect: func() bool { return true }, Sink: got,
	}), got
}

// Guards against headers that make net/http or an app repeat a request, and
// against the workspace's key reaching an app.
func TestAppHeaders(t *testing.T) {
	var received, drainingEndpoint = http.Header{}, ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = r.Header.Clone()
		w.Header().Set(drainingHeader, "true")
	}))
	defer server.Close()
	client := New(Options{Instance: "n1", OnDraining: func(id string) { drainingEndpoint = id }})
	defer client.Close()
	callerHeader := http.Header{}
	for _, name := range []string{"Idempotency-Key", "Authorization", "Clementinerack-Budget", "Connection", "X-Hop", "Te", "X-Http-Method-Override", requestIDHeader} {
		callerHeader.Set(name, "v")
	}
	callerHeader.Set("Connection", "X-Hop")
	callerHeader.Set("X-Kept", "yes")
	res := client.SendApp(context.Background(), AppCall{
		Endpoint: config.Endpoint{ID: "a", Address: server.URL}, Method: "GET", Path: "/", Header: callerHeader, RequestID: "r", Sink: &recordingSink{},
	})
	want := http.Header{"X-Kept": {"yes"}, requestIDHeader: {"r"}, clientHeader: {"n1"}, "Connection": {"close"}}
	if res.Outcome != Complete || fmt.Sprint(received) != fmt.Sprint(want) || drainingEndpoint != "a" {
		t.Errorf("%+v: app saw %v, want %v; draining %q", res, received, want, drainingEndpoint)
	}
}
