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
	engineTokens = 8
	promptTokens = 7
	tokenTime    = 150 * time.Millisecond
	appTime      = 100 * time.Millisecond
	bookPrice    = 50
	lookupPrice  = 5
)

// endpoint is a scripted engine or app. What it ran is never forgotten.
type endpoint struct {
	w                   *world
	id, address, domain string
	model               bool

	mu                 sync.Mutex
	generation         int // of the process
	server             *http.Server
	streams            map[string]*run // of this process
	runs               []*run
	duplicate, reorder bool
}

// run is one execution of a request.
type run struct {
	id, tag string
	client  string // instance that sent it
	caller  int    // number of the caller's call, where the endpoint sees it
	booking bool
	at      time.Time
	order   int64 // see call
	price   ledger.Tokens
	ended   time.Time // of a stream that was cancelled or lost
}

// tokens returns what an engine has generated for a stream.
func (r *run) tokens(now time.Time) int {
	if !r.ended.IsZero() {
		now = r.ended
	}
	return min(engineTokens, int(now.Sub(r.at)/tokenTime))
}

func (r *run) cost(now time.Time) ledger.Tokens {
	if r.price > 0 {
		return r.price
	}
	return ledger.Tokens(promptTokens + r.tokens(now))
}

func (w *world) startEndpoint(id, domain string, model bool) *endpoint {
	e := &endpoint{w: w, id: id, address: id + ":8000", domain: domain, model: model}
	e.start()
	return e
}

func (e *endpoint) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.generation++
	e.streams = map[string]*run{}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	l := e.w.wire.listen(e.host(), e.address)
	e.w.loops.Go(func() { _ = e.server.Serve(l) }) // returns when the listener is closed
}

// host must be called with mu held.
func (e *endpoint) host() string { return fmt.Sprintf("%s#%d", e.id, e.generation) }

// kill ends the process, which loses its streams.
func (e *endpoint) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.streams {
		if r.ended.IsZero() {
			r.ended = time.Now()
		}
	}
	e.streams = map[string]*run{}
	e.w.wire.kill(e.host())
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	generation := e.generation
	incarnation := e.host()
	e.mu.Unlock()
	switch {
	case r.URL.Path == "/v1/load" || r.URL.Path == "/healthz":
		_ = json.NewEncoder(w).Encode(map[string]string{"incarnation": incarnation})
	case e.model && r.Method == http.MethodDelete:
		e.cancel(w, strings.TrimPrefix(r.URL.Path, "/v1/streams/"))
	case e.model:
		e.chat(w, r, generation)
	default:
		e.app(w, r, generation)
	}
}

// enter records the execution of a request unless the process has ended.
func (e *endpoint) enter(generation int, stream string, r *run) {
	e.w.at("dispatch")
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generation != generation || e.w.wire.isDead(e.host()) {
		panic(http.ErrAbortHandler)
	}
	r.at, r.order = time.Now(), e.w.order.Add(1)
	e.runs = append(e.runs, r)
	if stream != "" {
		e.streams[stream] = r
	}
}

func (e *endpoint) chat(w http.ResponseWriter, r *http.Request, generation int) {
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
	s := e.streams[id]
	e.mu.Unlock()
	if s == nil {
		if after > 0 {
			http.Error(w, "no such stream", http.StatusNotFound)
			return
		}
		s = &run{id: r.Header.Get("X-Request-Id"), client: r.Header.Get("X-Client"), tag: body.Messages[0].Content}
		e.enter(generation, id, s)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for _, seq := range e.order(after) {
		time.Sleep(time.Until(s.at.Add(time.Duration(seq) * tokenTime)))
		if seq == 3 {
			e.w.at("stream")
		}
		if e.over(s, seq) {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, streamEvent(s.tag, seq)); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// order returns the events after the given one in the order of sending.
func (e *endpoint) order(after int) []int {
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

func (e *endpoint) over(s *run, seq int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !s.ended.IsZero() && s.tokens(time.Now()) < min(seq, engineTokens)
}

func streamEvent(tag string, seq int) string {
	chunk := fmt.Sprintf(`{"choices":[{"delta":{"content":%q}}]}`, word(tag, seq))
	if seq > engineTokens {
		chunk = fmt.Sprintf(`{"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d}}`, promptTokens, engineTokens)
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", seq, chunk)
}

func word(tag string, seq int) string { return fmt.Sprintf("%s/%d ", tag, seq) }

func (e *endpoint) cancel(w http.ResponseWriter, stream string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[stream]
	if s == nil {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	if s.ended.IsZero() {
		s.ended = time.Now()
	}
	_, _ = fmt.Fprintf(w, `{"usage":{"prompt_tokens":%d,"completion_tokens":%d}}`, promptTokens, s.tokens(s.ended))
}

func (e *endpoint) app(w http.ResponseWriter, r *http.Request, generation int) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	a := &run{id: r.Header.Get("X-Request-Id"), client: r.Header.Get("X-Client"),
		tag: strings.TrimPrefix(r.URL.Path, "/records/"), price: lookupPrice}
	if r.Method == http.MethodPost {
		a.tag, a.price, a.booking = string(body), bookPrice, true
	}
	a.caller, _ = strconv.Atoi(r.Header.Get(callHeader)) // the caller always sends a number
	e.enter(generation, "", a)
	time.Sleep(appTime)
	_, _ = io.WriteString(w, appAnswer(a.tag))
}

func appAnswer(tag string) string { return "done " + tag }

func (w *wire) isDead(host string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dead[host]
}
