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
	// callHeader carries call.number to instances and apps.
	callHeader  = "X-Call"
	callTimeout = 12 * time.Second
	// callerTimeout is longer than callTimeout, so that a caller receives the answer
	// of the instance; a caller of a paused instance gives up.
	callerTimeout = callTimeout + 6*time.Second
)

type requestKind int

const (
	stream requestKind = iota
	lookup
	booking
)

// call is one call of a caller with its result. Repeats of a request share tag and
// key.
type call struct {
	number             int
	kind               requestKind
	tag, key, budget   string
	instance           *testInstance
	arrivedAt, endedAt time.Time
	order              int64 // of the arrival, among all arrivals and executions
	cancel             context.CancelFunc
	id                 string // request id that the instance returned
	status             int
	outcome, errorKind string
	complete           bool  // the answer arrived whole and ended properly
	connErr            error // error that ended the connection early
	inFlight           bool
}

// recordArrival records that the call with the given number reached its instance.
func (tc *testCluster) recordArrival(number string) {
	n, _ := strconv.Atoi(number) // requests without a call number yield 0
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if n > 0 {
		tc.calls[n-1].arrivedAt, tc.calls[n-1].order = time.Now(), tc.eventOrder.Add(1)
	}
}

// send makes one call and records it.
func (tc *testCluster) send(n *testInstance, k requestKind, tag, key, budget string) *call {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	tc.mu.Lock()
	c := &call{number: len(tc.calls) + 1, kind: k, tag: tag, key: key, budget: budget, instance: n, cancel: cancel, inFlight: true}
	tc.calls = append(tc.calls, c)
	tc.mu.Unlock()
	resp, body, err := tc.roundTrip(ctx, n, c.request())
	tc.mu.Lock()
	defer tc.mu.Unlock()
	c.endedAt, c.inFlight = time.Now(), false
	if resp == nil {
		c.connErr = err
		return c
	}
	c.status, c.id, c.connErr = resp.StatusCode, resp.Header.Get("Clementinerack-Request-Id"), err
	if err == nil {
		c.checkAnswer(tc, resp.Header, body)
	}
	return c
}

// request returns the HTTP request of the call.
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

// roundTrip sends a request over a new connection and reads the whole answer.
func (tc *testCluster) roundTrip(ctx context.Context, n *testInstance, r *http.Request) (*http.Response, []byte, error) {
	transport := &http.Transport{DialContext: tc.pipes.dialer("caller"), DisableKeepAlives: true}
	r = r.WithContext(ctx)
	r.URL.Scheme, r.URL.Host = "http", callerAddress(n.id.Instance)
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
	tc.reachStep("answer")
	rest, err := io.ReadAll(resp.Body)
	return resp, append(first, rest...), err
}

// checkAnswer verifies I3 for an answer that ended properly. testCluster.mu must be
// held.
func (c *call) checkAnswer(tc *testCluster, h http.Header, body []byte) {
	text := string(body)
	if c.status != http.StatusOK {
		c.recordProblem(tc, body)
		return
	}
	if c.kind != stream {
		c.complete = true
		if text != appAnswer(c.tag) {
			tc.t.Errorf("I3: call %d (%s) got the wrong answer %q", c.number, c.tag, text)
		}
		return
	}
	if _, problem, ok := strings.Cut(text, "event: error\ndata: "); ok {
		c.recordProblem(tc, []byte(problem))
		return
	}
	c.complete = true
	want := ""
	for seq := 1; seq <= engineTokens+1; seq++ {
		want += streamEvent(c.tag, seq)
	}
	if text != want+"data: [DONE]\n\n" {
		tc.t.Errorf("I3: call %d (%s) got a properly ended but wrong stream %q", c.number, c.tag, text)
	}
}

// recordProblem records the kind and outcome of an error answer or error event.
func (c *call) recordProblem(tc *testCluster, body []byte) {
	var p struct{ Kind, Outcome string }
	if err := json.Unmarshal(body, &p); err != nil || p.Kind == "" {
		tc.t.Errorf("I3: call %d (%s) with status %d got neither an answer nor an error: %q", c.number, c.tag, c.status, body)
	}
	c.errorKind, c.outcome = p.Kind, p.Outcome
}

func (c *call) isNotRun() bool { return c.outcome == string(failure.NotRun) }

// obtainKey returns an issued request id, or a caller's own key if the instance
// issues none.
func (tc *testCluster) obtainKey(n *testInstance, budget, tag string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	r, err := http.NewRequest(http.MethodPost, "/v1/request-ids", strings.NewReader(fmt.Sprintf(`{"budget":%q}`, budget)))
	if err != nil {
		panic(err) // the parts are constants and tags of this package
	}
	var reply struct{ IDs []string }
	_, body, err := tc.roundTrip(ctx, n, r)
	if err != nil || json.Unmarshal(body, &reply) != nil || len(reply.IDs) != 1 {
		return "own-" + tag
	}
	return reply.IDs[0]
}

// sendRepeatedly sends a request to at[0], then again to each given instance. If
// concurrent is true, it also sends the request to at[1] at the same time.
func (tc *testCluster) sendRepeatedly(k requestKind, tag, key, budget string, concurrent bool, at ...*testInstance) {
	if concurrent {
		tc.tasks.Go(func() { tc.send(at[1], k, tag, key, budget) })
	}
	for _, n := range append([]*testInstance{at[0]}, at...) {
		tc.send(n, k, tag, key, budget)
	}
}

// sendWave sends a few requests of each kind, most of them to at[0] first.
func (tc *testCluster) sendWave(name string, at ...*testInstance) {
	for i := range 2 {
		tag := func(kind string) string { return fmt.Sprintf("%s-%s%d", name, kind, i) }
		concurrent := i == 1
		tc.tasks.Go(func() {
			tc.sendRepeatedly(stream, tag("stream"), tc.obtainKey(at[0], ampleBudget, tag("stream")), ampleBudget, concurrent, at...)
		})
		tc.tasks.Go(func() { tc.send(at[i], stream, tag("plain"), "", ampleBudget) })
		tc.tasks.Go(func() { tc.send(at[i], lookup, tag("lookup"), "", ampleBudget) })
		tc.tasks.Go(func() {
			tc.sendRepeatedly(booking, tag("issued"), tc.obtainKey(at[0], ampleBudget, tag("issued")), ampleBudget, concurrent, at...)
		})
		tc.tasks.Go(func() { tc.sendRepeatedly(booking, tag("own"), "key-"+tag("own"), ampleBudget, concurrent, at...) })
		tc.tasks.Go(func() { tc.sendRepeatedly(lookup, tag("record"), "key-"+tag("record"), ampleBudget, concurrent, at...) })
	}
}

// sendOverBudget sends requests that together cost more than the tight budget
// holds: one after another at the first and at the last instance, for at most 15 s.
func (tc *testCluster) sendOverBudget(name string, at ...*testInstance) {
	end := time.Now().Add(15 * time.Second)
	for g, n := range []*testInstance{at[0], at[len(at)-1]} {
		tc.tasks.Go(func() {
			for i := 0; i < 14 && time.Now().Before(end); i++ {
				tag := fmt.Sprintf("%s-spree%d-%d", name, g, i)
				k := []requestKind{booking, booking, stream}[i%3]
				key := tc.obtainKey(n, tightBudget, tag)
				tc.send(n, k, tag, key, tightBudget)
				tc.send(at[i%len(at)], k, tag, key, tightBudget)
			}
		})
	}
}
