package integration

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/ledger"
)

const (
	engineTokens  = 8 // generated for each stream
	promptTokens  = 7
	tokenInterval = 150 * time.Millisecond
	appDelay      = 100 * time.Millisecond
	bookPrice     = 50
	lookupPrice   = 5
)

// endpoint is a simulated engine or app. Its record of executions survives a
// restart of its process.
type endpoint struct {
	cluster             *testCluster
	id, address, domain string
	isEngine            bool

	mu                 sync.Mutex
	processNumber      int // counts the processes started so far
	server             *http.Server
	streams            map[string]*execution // by stream id; those of the current process
	executions         []*execution
	duplicate, reorder bool
}

// execution is one execution of a request by an endpoint.
type execution struct {
	id, tag      string
	instanceName string // instance that sent the request
	callNumber   int    // call.number of the caller's call; 0 for engines, which do not see it
	booking      bool
	startedAt    time.Time
	order        int64 // of the start; see call.order
	price        ledger.Tokens
	endedAt      time.Time // end of a stream that was cancelled or lost
}

// generatedTokens returns the number of tokens that an engine has generated for a
// stream by the given time.
func (r *execution) generatedTokens(now time.Time) int {
	if !r.endedAt.IsZero() {
		now = r.endedAt
	}
	return min(engineTokens, int(now.Sub(r.startedAt)/tokenInterval))
}

// cost returns the tokens that the execution has used by the given time.
func (r *execution) cost(now time.Time) ledger.Tokens {
	if r.price > 0 {
		return r.price
	}
	return ledger.Tokens(promptTokens + r.generatedTokens(now))
}

func (tc *testCluster) startEndpoint(id, domain string, isEngine bool) *endpoint {
	e := &endpoint{cluster: tc, id: id, address: id + ":8000", domain: domain, isEngine: isEngine}
	e.start()
	return e
}

// start starts a new process of the endpoint.
func (e *endpoint) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.processNumber++
	e.streams = map[string]*execution{}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	l := e.cluster.pipes.listen(e.host(), e.address)
	e.cluster.goroutines.Go(func() { _ = e.server.Serve(l) }) // returns when the listener is closed
}

// host returns the incarnation of the process. mu must be held.
func (e *endpoint) host() string { return fmt.Sprintf("%s#%d", e.id, e.processNumber) }

// kill ends the process, which loses its streams.
func (e *endpoint) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.streams {
		if r.endedAt.IsZero() {
			r.endedAt = time.Now()
		}
	}
	e.streams = map[string]*execution{}
	e.cluster.pipes.kill(e.host())
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	processNumber := e.processNumber
	incarnation := e.host()
	e.mu.Unlock()
	switch {
	case r.URL.Path == "/v1/load" || r.URL.Path == "/healthz":
		_ = json.NewEncoder(w).Encode(map[string]string{"incarnation": incarnation})
	case e.isEngine && r.Method == http.MethodDelete:
		e.cancelStream(w, strings.TrimPrefix(r.URL.Path, "/v1/streams/"))
	case e.isEngine:
		e.serveChat(w, r, processNumber)
	default:
		e.serveApp(w, r, processNumber)
	}
}

// recordExecution records the start of an execution. If the process has ended, it
// aborts the response instead.
func (e *endpoint) recordExecution(processNumber int, stream string, r *execution) {
	e.cluster.reachStep("dispatch")
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.processNumber != processNumber || e.cluster.pipes.isDead(e.host()) {
		panic(http.ErrAbortHandler)
	}
	r.startedAt, r.order = time.Now(), e.cluster.eventOrder.Add(1)
	e.executions = append(e.executions, r)
	if stream != "" {
		e.streams[stream] = r
	}
}

// serveChat streams a chat completion, or resumes a stream of the current process
// after the event that X-Resume-After names.
func (e *endpoint) serveChat(w http.ResponseWriter, r *http.Request, processNumber int) {
	var body struct {
		Messages []struct{ Content string }
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Messages) != 1 {
		http.Error(w, "malformed", http.StatusBadRequest)
		return
	}
	after, _ := strconv.Atoi(r.Header.Get("X-Resume-After")) // absent means 0
	id := r.Header.Get("X-Stream-Id")
	e.mu.Lock()
	exec := e.streams[id]
	e.mu.Unlock()
	if exec == nil {
		if after > 0 {
			http.Error(w, "no such stream", http.StatusNotFound)
			return
		}
		exec = &execution{id: r.Header.Get("X-Request-Id"), instanceName: r.Header.Get("X-Client"), tag: body.Messages[0].Content}
		e.recordExecution(processNumber, id, exec)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for _, seq := range e.eventSequence(after) {
		time.Sleep(time.Until(exec.startedAt.Add(time.Duration(seq) * tokenInterval)))
		if seq == 3 {
			e.cluster.reachStep("stream")
		}
		if e.hasEndedBefore(exec, seq) {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, streamEvent(exec.tag, seq)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// eventSequence returns the numbers of the events after the given one, in the order
// in which they are sent.
func (e *endpoint) eventSequence(after int) []int {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []int
	for seq := after + 1; seq <= engineTokens+1; seq++ {
		out = append(out, seq)
		if e.duplicate {
			out = append(out, seq)
		}
	}
	if e.reorder {
		for i := 0; i+1 < len(out); i += 2 {
			out[i], out[i+1] = out[i+1], out[i]
		}
	}
	return out
}

// hasEndedBefore reports whether a stream ended before its event seq.
func (e *endpoint) hasEndedBefore(exec *execution, seq int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !exec.endedAt.IsZero() && exec.generatedTokens(time.Now()) < min(seq, engineTokens)
}

// streamEvent returns event seq of a stream; the last one holds the usage.
func streamEvent(tag string, seq int) string {
	chunk := fmt.Sprintf(`{"choices":[{"delta":{"content":%q}}]}`, tokenText(tag, seq))
	if seq > engineTokens {
		chunk = fmt.Sprintf(`{"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d}}`, promptTokens, engineTokens)
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", seq, chunk)
}

func tokenText(tag string, seq int) string { return fmt.Sprintf("%s/%d ", tag, seq) }

// cancelStream ends a stream and responds with its usage.
func (e *endpoint) cancelStream(w http.ResponseWriter, stream string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	exec := e.streams[stream]
	if exec == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	if exec.endedAt.IsZero() {
		exec.endedAt = time.Now()
	}
	_, _ = fmt.Fprintf(w, `{"usage":{"prompt_tokens":%d,"completion_tokens":%d}}`, promptTokens, exec.generatedTokens(exec.endedAt))
}

// serveApp runs a booking (POST) or a lookup (GET).
func (e *endpoint) serveApp(w http.ResponseWriter, r *http.Request, processNumber int) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	exec := &execution{id: r.Header.Get("X-Request-Id"), instanceName: r.Header.Get("X-Client"),
		tag: strings.TrimPrefix(r.URL.Path, "/records/"), price: lookupPrice}
	if r.Method == http.MethodPost {
		exec.tag, exec.price, exec.booking = string(body), bookPrice, true
	}
	exec.callNumber, _ = strconv.Atoi(r.Header.Get(callHeader)) // the caller always sends a number
	e.recordExecution(processNumber, "", exec)
	time.Sleep(appDelay)
	_, _ = io.WriteString(w, appAnswer(exec.tag))
}

// appAnswer returns the whole answer of an app.
func appAnswer(tag string) string { return "done " + tag }

// isDead reports whether kill ended the host.
func (p *pipeNetwork) isDead(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead[host]
}
