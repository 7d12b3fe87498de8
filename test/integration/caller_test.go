package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

const (
	callHeader  = "X-Call"
	callTimeout = 12 * time.Second
	// callerPatience is longer than the deadline, so that a caller sees what the
	// instance tells it; a caller of a paused instance gives up.
	callerPatience = callTimeout + 6*time.Second
)

type kind int

const (
	stream kind = iota
	lookup
	booking
)

// call is one request of a caller and what it was told. Repeats of a request
// share tag and key.
type call struct {
	number             int
	kind               kind
	tag, key, budget   string
	node               *node
	arrived, ended     time.Time
	order              int64 // of the arrival among all arrivals and executions
	cancel             context.CancelFunc
	id                 string // as the instance named it
	status             int
	outcome, errorKind string
	clean              bool  // a whole answer with a clean end
	broken             error // the connection ended early
	open               bool
}

func (w *world) arrived(number string) {
	n, _ := strconv.Atoi(number) // other requests have none
	w.mu.Lock()
	defer w.mu.Unlock()
	if n > 0 {
		w.calls[n-1].arrived, w.calls[n-1].order = time.Now(), w.order.Add(1)
	}
}

// send makes one call and records it.
func (w *world) send(n *node, k kind, tag, key, budget string) *call {
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	w.mu.Lock()
	c := &call{number: len(w.calls) + 1, kind: k, tag: tag, key: key, budget: budget, node: n, cancel: cancel, open: true}
	w.calls = append(w.calls, c)
	w.mu.Unlock()
	resp, body, err := w.exchange(ctx, n, c.request())
	w.mu.Lock()
	defer w.mu.Unlock()
	c.ended, c.open = time.Now(), false
	if resp == nil {
		c.broken = err
		return c
	}
	c.status, c.id, c.broken = resp.StatusCode, resp.Header.Get("Clementinerack-Request-Id"), err
	if err == nil {
		c.judge(w, resp.Header, body)
	}
	return c
}

func (c *call) request() *http.Request {
	method, path, body := http.MethodPost, "/v1/chat/completions", fmt.Sprintf(
		`{"model":"llm","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`, c.tag, engineTokens+2)
	switch c.kind {
	case lookup:
		method, path, body = http.MethodGet, "/v1/apps/rounds-app/records/"+c.tag, ""
	case booking:
		path, body = "/v1/apps/rounds-app/book", c.tag
	}
	r, err := http.NewRequest(method, path, strings.NewReader(body))
	if err != nil {
		panic(err) // the parts are constants and tags of this package
	}
	r.Header.Set(callHeader, strconv.Itoa(c.number))
	r.Header.Set("Clementinerack-Budget", c.budget)
	r.Header.Set("Clementinerack-Timeout", callTimeout.String())
	if c.key != "" {
		r.Header.Set("Idempotency-Key", c.key)
	}
	return r
}

// exchange sends a request over a connection of its own.
func (w *world) exchange(ctx context.Context, n *node, r *http.Request) (*http.Response, []byte, error) {
	transport := &http.Transport{DialContext: w.wire.dialer("caller"), DisableKeepAlives: true}
	r = r.WithContext(ctx)
	r.URL.Scheme, r.URL.Host = "http", callersAddress(n.id.Instance)
	r.Header.Set("Authorization", "Bearer "+workspaceKey)
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	first := make([]byte, 1)
	size, err := io.ReadFull(resp.Body, first)
	if size == 0 {
		return resp, nil, err
	}
	w.at("answer")
	rest, err := io.ReadAll(resp.Body)
	return resp, append(first, rest...), err
}

// judge checks an answer with a clean end (I3). It is called with world.mu held.
func (c *call) judge(w *world, h http.Header, body []byte) {
	text := string(body)
	if c.status != http.StatusOK {
		c.problem(w, body)
		return
	}
	if c.kind != stream {
		c.clean = true
		if text != appAnswer(c.tag) {
			w.t.Errorf("I3: call %d (%s) got the answer %q", c.number, c.tag, text)
		}
		return
	}
	if _, problem, ok := strings.Cut(text, "event: error\ndata: "); ok {
		c.problem(w, []byte(problem))
		return
	}
	c.clean = true
	want := ""
	for seq := 1; seq <= engineTokens+1; seq++ {
		want += streamEvent(c.tag, seq)
	}
	if text != want+"data: [DONE]\n\n" {
		w.t.Errorf("I3: call %d (%s) got a clean end of the stream %q", c.number, c.tag, text)
	}
}

func (c *call) problem(w *world, body []byte) {
	var p struct{ Kind, Outcome string }
	if err := json.Unmarshal(body, &p); err != nil || p.Kind == "" {
		w.t.Errorf("I3: call %d (%s) with status %d got neither an answer nor an error: %q", c.number, c.tag, c.status, body)
	}
	c.errorKind, c.outcome = p.Kind, p.Outcome
}

func (c *call) notRun() bool { return c.outcome == string(failure.NotRun) }

// issue gets a request id, or makes up a key when the instance gives none.
func (w *world) issue(n *node, budget, tag string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r, err := http.NewRequest(http.MethodPost, "/v1/request-ids", strings.NewReader(fmt.Sprintf(`{"budget":%q}`, budget)))
	if err != nil {
		panic(err) // the parts are constants and tags of this package
	}
	var reply struct{ IDs []string }
	_, body, err := w.exchange(ctx, n, r)
	if err != nil || json.Unmarshal(body, &reply) != nil || len(reply.IDs) != 1 {
		return "own-" + tag
	}
	return reply.IDs[0]
}

// repeat sends a request, concurrently at two instances if wanted, and then
// again at each of the given ones.
func (w *world) repeat(k kind, tag, key, budget string, concurrent bool, at ...*node) {
	if concurrent {
		w.work.Go(func() { w.send(at[1], k, tag, key, budget) })
	}
	for _, n := range append([]*node{at[0]}, at...) {
		w.send(n, k, tag, key, budget)
	}
}

// wave sends a few requests of each kind, first to the instance at[0].
func (w *world) wave(name string, at ...*node) {
	for i := range 2 {
		tag := func(kind string) string { return fmt.Sprintf("%s-%s%d", name, kind, i) }
		concurrent := i == 1
		w.work.Go(func() {
			w.repeat(stream, tag("stream"), w.issue(at[0], ampleBudget, tag("stream")), ampleBudget, concurrent, at...)
		})
		w.work.Go(func() { w.send(at[i], stream, tag("plain"), "", ampleBudget) })
		w.work.Go(func() { w.send(at[i], lookup, tag("lookup"), "", ampleBudget) })
		w.work.Go(func() {
			w.repeat(booking, tag("issued"), w.issue(at[0], ampleBudget, tag("issued")), ampleBudget, concurrent, at...)
		})
		w.work.Go(func() { w.repeat(booking, tag("own"), "key-"+tag("own"), ampleBudget, concurrent, at...) })
		w.work.Go(func() { w.repeat(lookup, tag("record"), "key-"+tag("record"), ampleBudget, concurrent, at...) })
	}
}

// spree asks for more than the tight budget has: at the first and the last of
// the instances, one request after the other, for at most 15 s.
func (w *world) spree(name string, at ...*node) {
	end := time.Now().Add(15 * time.Second)
	for g, n := range []*node{at[0], at[len(at)-1]} {
		w.work.Go(func() {
			for i := 0; i < 14 && time.Now().Before(end); i++ {
				tag := fmt.Sprintf("%s-spree%d-%d", name, g, i)
				k := []kind{booking, booking, stream}[i%3]
				key := w.issue(n, tightBudget, tag)
				w.send(n, k, tag, key, tightBudget)
				w.send(at[i%len(at)], k, tag, key, tightBudget)
			}
		})
	}
}
