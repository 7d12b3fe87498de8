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

// silence is long enough that a busy machine does not trip it by accident.
const silence = 700 * time.Millisecond

// fakeEngine serves the connections of one stream by a script; the last step
// serves all further ones.
type fakeEngine struct {
	script      []func(w http.ResponseWriter, after int)
	usage       string // answer to a cancel, empty for 404
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
		if e.usage == "" {
			http.NotFound(w, r)
			return
		}
		_, _ = io.WriteString(w, e.usage)
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
	step(heldWriter{w, r.Context()}, after)
}

// heldWriter tells a step when the client has closed the connection.
type heldWriter struct {
	http.ResponseWriter
	ctx context.Context
}

func (w heldWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// hold stays silent until the client closes the connection.
func hold(w http.ResponseWriter) { <-w.(heldWriter).ctx.Done() }

const usage = `{"usage":{"prompt_tokens":9,"completion_tokens":2}}` // answer to a cancel

const lastEvent = 5 // carries the usage

func send(w http.ResponseWriter, seqs ...int) {
	for _, seq := range seqs {
		data := fmt.Sprintf(`{"choices":[{"delta":{"content":"%d"}}]}`, seq)
		if seq == lastEvent {
			data = `{"usage":{"prompt_tokens":9,"completion_tokens":4}}`
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", seq, data)
	}
	_ = http.NewResponseController(w).Flush()
}

func done(w http.ResponseWriter) { _, _ = io.WriteString(w, "data: [DONE]\n\n") }

func rest(w http.ResponseWriter, after int) {
	for seq := after + 1; seq <= lastEvent; seq++ {
		send(w, seq)
	}
	done(w)
}

func cut(seqs ...int) func(http.ResponseWriter, int) {
	return func(w http.ResponseWriter, _ int) {
		send(w, seqs...)
		panic(http.ErrAbortHandler)
	}
}

func silent(seqs ...int) func(http.ResponseWriter, int) {
	return func(w http.ResponseWriter, _ int) {
		if len(seqs) > 0 {
			send(w, seqs...)
		}
		hold(w)
	}
}

func complete(seqs ...int) func(http.ResponseWriter, int) {
	return func(w http.ResponseWriter, _ int) { send(w, seqs...); done(w) }
}

func status(code int) func(http.ResponseWriter, int) {
	return func(w http.ResponseWriter, _ int) { http.Error(w, "refused", code) }
}

// Guards against a stream that is told complete although it is not, events that
// are lost, doubled or out of order, and blame for a fault of one connection.
func TestModelFaults(t *testing.T) {
	type script = []func(http.ResponseWriter, int)
	tests := []struct {
		desc    string
		script  script
		usage   string
		outcome Outcome
		total   int64
		events  string
		kind    failure.Kind
		blamed  bool
		resumes int
		cancels int
	}{
		{desc: "whole", script: script{rest}, outcome: Complete, total: 13, events: "1234"},
		{desc: "duplicates", script: script{complete(1, 1, 2, 1, 3, 3, 4, 5, 5)}, outcome: Complete, total: 13, events: "1234"},
		{desc: "reordered", script: script{complete(2, 1, 4, 3, 5)}, outcome: Complete, total: 13, events: "1234"},
		{desc: "marker overtakes the usage", script: script{func(w http.ResponseWriter, _ int) {
			send(w, 1, 2, 3)
			done(w)
			send(w, 5, 4)
		}}, outcome: Complete, total: 13, events: "1234"},
		{desc: "gap is resumed", script: script{complete(1, 2, 4, 5), rest}, outcome: Complete, total: 13, events: "1234", resumes: 1},
		{desc: "cut after two events is resumed", script: script{cut(1, 2), rest}, outcome: Complete, total: 13, events: "1234", resumes: 1},
		{desc: "cut before the first event", script: script{cut(), rest}, outcome: Complete, total: 13, events: "1234", resumes: 1},
		{desc: "clean end without marker is resumed", script: script{func(w http.ResponseWriter, _ int) { send(w, 1, 2) }, rest},
			outcome: Complete, total: 13, events: "1234", resumes: 1},
		{desc: "marker without usage is not complete", script: script{complete(1, 2, 3, 4)}, usage: usage,
			outcome: Partial, total: 11, events: "1234", kind: failure.Truncated, blamed: true, resumes: 2, cancels: 1},
		{desc: "silent connection is resumed", script: script{silent(1, 2), rest}, outcome: Complete, total: 13, events: "1234", resumes: 1},
		{desc: "silent before the first event", script: script{silent(), rest}, outcome: Complete, total: 13, events: "1234", resumes: 1},
		{desc: "silent on the new connection too", script: script{silent(1), silent()}, usage: usage,
			outcome: Partial, total: 11, events: "1", kind: failure.Truncated, blamed: true, resumes: 2, cancels: 1},
		{desc: "engine lost the stream", script: script{cut(1), status(404)},
			outcome: Unknown, events: "1", kind: failure.EndpointFailed, blamed: true, resumes: 1},
		{desc: "no usage after a cut", script: script{cut(1), cut()},
			outcome: Unknown, events: "1", kind: failure.Truncated, blamed: true, resumes: 2, cancels: 1},
		{desc: "busy engine started nothing", script: script{status(503)},
			outcome: Partial, kind: failure.EndpointFailed, blamed: true, cancels: 1},
		{desc: "engine refuses the request", script: script{status(400)}, outcome: Partial, kind: failure.Invalid, cancels: 1},
		{desc: "events without numbers", script: script{func(w http.ResponseWriter, _ int) {
			_, _ = io.WriteString(w, "data: {}\n\n")
		}}, usage: usage, outcome: Partial, total: 11, kind: failure.EndpointFailed, blamed: true, cancels: 1},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			t.Parallel()
			engine := &fakeEngine{script: tt.script, usage: tt.usage}
			res, events := runModel(t, engine, 100, nil)
			if res.Outcome != tt.outcome || int64(res.Usage.Total()) != tt.total || events != tt.events {
				t.Errorf("outcome %v usage %v events %q, want %v %d %q", res.Outcome, res.Usage, events, tt.outcome, tt.total, tt.events)
			}
			if kindOf(res) != tt.kind || res.EndpointAtFault != tt.blamed || res.Reconnects != tt.resumes || engine.cancels != tt.cancels {
				t.Errorf("kind %q blamed %v resumes %d cancels %d, want %q %v %d %d",
					kindOf(res), res.EndpointAtFault, res.Reconnects, engine.cancels, tt.kind, tt.blamed, tt.resumes, tt.cancels)
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

// runModel makes one attempt; onEvent may refuse an event.
func runModel(t *testing.T, engine http.Handler, maxTokens int64, onEvent func(seq uint64) error) (Result, string) {
	server := httptest.NewServer(engine)
	defer server.Close()
	client := New(Options{Instance: "test"})
	defer client.Close()
	client.RecordIncarnation("e", "i0")
	var events strings.Builder
	res := client.SendModel(context.Background(), ModelCall{
		Service:  config.Service{FirstByteTimeout: silence, IdleTimeout: silence},
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

// Guards against work that goes on at the engine for nobody, and against a bill
// above what the caller agreed to.
func TestModelStops(t *testing.T) {
	engine := &fakeEngine{script: []func(http.ResponseWriter, int){rest}, usage: usage}
	res, _ := runModel(t, engine, 100, func(seq uint64) error {
		if seq == 3 {
			return errors.New("the caller has left")
		}
		return nil
	})
	if res.Outcome != Partial || res.Usage.Total() != 11 || res.EndpointAtFault || engine.cancels != 1 {
		t.Errorf("caller left: %+v, %d cancels", res, engine.cancels)
	}
	engine = &fakeEngine{script: []func(http.ResponseWriter, int){rest}, usage: usage}
	res, events := runModel(t, engine, 2, nil)
	if res.Outcome != Partial || events != "12" || engine.cancels != 1 {
		t.Errorf("max_tokens: %+v, events %q, %d cancels", res, events, engine.cancels)
	}
}

// Guards against a rerun of a request at an engine that restarted after it had
// crashed, which would hide the crash from the quarantine.
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

// sink records an app's answer.
type sink struct {
	code int
	body strings.Builder
}

func (s *sink) Begin(code int, _ http.Header, _ int) error { s.code = code; return nil }
func (s *sink) Write(p []byte) (int, error)                { return s.body.Write(p) }

// Guards against a cut answer that ends cleanly, a second run of a call that is
// not repeatable, and a wrong claim that nothing was sent.
func TestAppFaults(t *testing.T) {
	big := strings.Repeat("x", holdBytes+1)
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
		{desc: "large chunked", outcome: Complete, runs: 1, size: holdBytes + 1,
			handler: func(w http.ResponseWriter, _ int64) { _, _ = io.WriteString(w, big) }},
		{desc: "empty", outcome: Complete, runs: 1, handler: func(w http.ResponseWriter, _ int64) { w.WriteHeader(204) }},
		{desc: "closed before the answer", outcome: Unknown, runs: 1, kind: failure.EndpointFailed,
			handler: func(http.ResponseWriter, int64) { panic(http.ErrAbortHandler) }},
		{desc: "cut before Content-Length", outcome: Unknown, runs: 1, kind: failure.EndpointFailed,
			handler: func(w http.ResponseWriter, _ int64) {
				w.Header().Set("Content-Length", "9")
				_, _ = io.WriteString(w, "ok")
			}},
		{desc: "cut before the final chunk", outcome: Unknown, runs: 1, kind: failure.Truncated, size: holdBytes + 1,
			handler: func(w http.ResponseWriter, _ int64) {
				_, _ = io.WriteString(w, big)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(100 * time.Millisecond) // lets the part arrive before the connection breaks
				panic(http.ErrAbortHandler)
			}},
		{desc: "end told by closing only", outcome: Unknown, runs: 1, kind: failure.EndpointFailed,
			handler: func(w http.ResponseWriter, _ int64) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok")
					conn.Close()
				}
			}},
		{desc: "silent, not repeatable", outcome: Unknown, runs: 1, kind: failure.EndpointFailed,
			handler: func(w http.ResponseWriter, _ int64) { hold(w) }},
		{desc: "silent, repeatable", repeatable: true, outcome: Complete, runs: 2, size: 2,
			handler: func(w http.ResponseWriter, run int64) {
				if run == 1 {
					hold(w)
				}
				_, _ = io.WriteString(w, "ok")
			}},
		{desc: "cut twice, repeatable", repeatable: true, outcome: Unknown, runs: 2, kind: failure.EndpointFailed,
			handler: func(http.ResponseWriter, int64) { panic(http.ErrAbortHandler) }},
		{desc: "too large", outcome: Unknown, runs: 1, size: 262144, kind: failure.EndpointFailed,
			handler: func(w http.ResponseWriter, _ int64) { _, _ = io.WriteString(w, strings.Repeat(big, 6)) }},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			t.Parallel()
			var runs atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/healthz" {
					_, _ = io.Copy(io.Discard, r.Body)
					tt.handler(heldWriter{w, r.Context()}, runs.Add(1))
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

func runApp(address string, repeatable bool) (Result, *sink) {
	client := New(Options{MaxResponse: holdBytes * 4})
	defer client.Close()
	got := &sink{}
	return client.SendApp(context.Background(), AppCall{
		Service:  config.Service{FirstByteTimeout: silence, IdleTimeout: silence},
		Endpoint: config.Endpoint{ID: "a", Address: address}, Method: http.MethodPost, Path: "/x",
		Header: http.Header{}, Body: []byte("body"), RequestID: "r", Repeatable: repeatable,
		AllowReconnect: func() bool { return true }, Sink: got,
	}), got
}

// Guards against headers that make a transport or an app repeat a request, and
// against the workspace's key reaching an app.
func TestAppHeaders(t *testing.T) {
	var seen, draining = http.Header{}, ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		w.Header().Set(drainingHeader, "true")
	}))
	defer server.Close()
	client := New(Options{Instance: "n1", OnDraining: func(id string) { draining = id }})
	defer client.Close()
	in := http.Header{}
	for _, name := range []string{"Idempotency-Key", "Authorization", "Clementinerack-Budget", "Connection", "X-Hop", "Te", "X-Http-Method-Override", requestIDHeader} {
		in.Set(name, "v")
	}
	in.Set("Connection", "X-Hop")
	in.Set("X-Kept", "yes")
	res := client.SendApp(context.Background(), AppCall{
		Endpoint: config.Endpoint{ID: "a", Address: server.URL}, Method: "GET", Path: "/", Header: in, RequestID: "r", Sink: &sink{},
	})
	want := http.Header{"X-Kept": {"yes"}, requestIDHeader: {"r"}, clientHeader: {"n1"}, "Connection": {"close"}}
	if res.Outcome != Complete || fmt.Sprint(seen) != fmt.Sprint(want) || draining != "a" {
		t.Errorf("%+v: app saw %v, want %v; draining %q", res, seen, want, draining)
	}
}
