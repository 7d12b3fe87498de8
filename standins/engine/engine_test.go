package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/clementinerack/clementinerack/standins/endpoint"
)

const prompt = `{"model":"m","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"check the molar"}]}`

type client struct {
	t    *testing.T
	base string
	http *http.Client
}

// run starts an engine and checks at the end that it leaves no goroutine behind.
func run(t *testing.T, o Options) (*Engine, client) {
	t.Helper()
	ignore := goleak.IgnoreCurrent()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e, done := New(o), make(chan error, 1)
	go func() { done <- e.Run(context.Background(), l) }()
	c := client{t, "http://" + l.Addr().String(), &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(func() {
		e.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
		c.http.CloseIdleConnections()
		goleak.VerifyNone(t, ignore)
	})
	return e, c
}

func (c client) do(method, path, body string, header ...string) (int, string, error) {
	c.t.Helper()
	r, err := http.NewRequest(method, c.base+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

func ids(body string) (ids []string) {
	for s := bufio.NewScanner(strings.NewReader(body)); s.Scan(); {
		if id, ok := strings.CutPrefix(s.Text(), "id: "); ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// Guards against stand-in answers that differ from docs/protocols.md, which
// would let a fault of the relay pass.
func TestStreamForms(t *testing.T) {
	tests := []struct {
		desc   string
		faults endpoint.Faults
		resume string
		ids    string
		broken bool
	}{
		{desc: "plain", ids: "1 2 3 4 5 6"},
		{desc: "resumed", resume: "3", ids: "4 5 6"},
		{desc: "duplicated", faults: endpoint.Faults{DuplicateEvents: true}, ids: "1 1 2 2 3 3 4 4 5 5 6 6"},
		{desc: "reordered", faults: endpoint.Faults{ReorderEvents: true}, ids: "2 1 4 3 5 6"},
		{desc: "cut after two events", faults: endpoint.Faults{CutAfter: 2}, ids: "1 2", broken: true},
		{desc: "cut before the first byte", faults: endpoint.Faults{CutAfter: -1}, broken: true},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			e, c := run(t, Options{ID: "e"})
			header := []string{"X-Stream-Id", "s"}
			if tt.resume != "" {
				if _, _, err := c.do("POST", "/v1/chat/completions", prompt, header...); err != nil {
					t.Fatal(err)
				}
				header = append(header, "X-Resume-After", tt.resume)
			}
			e.Set(tt.faults)
			_, body, err := c.do("POST", "/v1/chat/completions", prompt, header...)
			if got := strings.Join(ids(body), " "); got != tt.ids || (err != nil) != tt.broken {
				t.Fatalf("ids %q, err %v; want %q, broken %v", got, err, tt.ids, tt.broken)
			}
			if !tt.broken && (!strings.HasSuffix(body, "data: [DONE]\n\n") ||
				!strings.Contains(body, `"usage":{"prompt_tokens":3,"completion_tokens":4,"total_tokens":7}`)) {
				t.Fatalf("no usage or terminal marker in %q", body)
			}
			_, body, err = c.do("POST", "/v1/chat/completions", prompt, "X-Stream-Id", "s") // attaches
			if err != nil || !strings.Contains(body, "[DONE]") || e.Executions("s") != 1 {
				t.Fatalf("attach: %v, %d executions", err, e.Executions("s"))
			}
		})
	}
}

// Guards against an engine that runs a resumed stream that it does not know.
func TestUnknownStream(t *testing.T) {
	e, c := run(t, Options{})
	if status, _, _ := c.do("POST", "/v1/chat/completions", prompt, "X-Stream-Id", "s", "X-Resume-After", "1"); status != 404 || e.Total() != 0 {
		t.Fatalf("status %d, %d executions", status, e.Total())
	}
	if status, _, _ := c.do("DELETE", "/v1/streams/s", ""); status != 404 {
		t.Fatalf("cancel: status %d", status)
	}
}

// Guards against a cancelled stream that ends like a complete one, and against
// slots that a cancelled or waiting request keeps.
func TestCancelAndSlots(t *testing.T) {
	e, c := run(t, Options{Slots: 1, TokenInterval: time.Hour})
	results := make(chan error, 2)
	for _, id := range []string{"running", "waiting"} {
		go func() {
			_, _, err := c.do("POST", "/v1/chat/completions", prompt, "X-Stream-Id", id)
			results <- err
		}()
		for e.find(id) == nil {
			time.Sleep(time.Millisecond)
		}
	}
	for _, id := range []string{"waiting", "running"} {
		status, body, err := c.do("DELETE", "/v1/streams/"+id, "")
		if status != 200 || err != nil || !strings.Contains(body, `"completion_tokens":0`) {
			t.Fatalf("cancel %s: %d %q %v", id, status, body, err)
		}
	}
	for range 2 {
		if err := <-results; err == nil {
			t.Error("a cancelled stream ended cleanly")
		}
	}
	e.Set(endpoint.Faults{})
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.free != 1 || e.running != 0 || e.queued() != 0 {
		t.Fatalf("free %d, running %d, queued %d", e.free, e.running, e.queued())
	}
}

// Guards against slots that are given in another order than by class.
func TestPriority(t *testing.T) {
	e := New(Options{Slots: 1})
	e.acquire(t.Context(), 1)
	order := make(chan int, classes)
	for n, class := range []int{2, 1, 0} {
		go func() {
			if e.acquire(t.Context(), class) {
				order <- class
				e.release()
			}
		}()
		for queued := 0; queued <= n; {
			e.mu.Lock()
			queued = e.queued()
			e.mu.Unlock()
		}
	}
	e.release()
	if got := []int{<-order, <-order, <-order}; !slices.Equal(got, []int{0, 1, 2}) {
		t.Fatalf("order %v", got)
	}
}

// Guards against a fencing switch that accepts what it should refuse.
func TestFencing(t *testing.T) {
	tests := []struct {
		desc   string
		ignore bool
		status int
		model  string
	}{
		{desc: "engine that checks", status: 409, model: "new"},
		{desc: "engine that ignores", ignore: true, status: 200, model: "old"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			_, c := run(t, Options{IgnoreFencing: tt.ignore})
			status, _, _ := c.do("POST", "/v1/orders", `{"fencing":2,"state":{"model":"new"}}`)
			if status != 200 {
				t.Fatalf("first order: %d", status)
			}
			if status, _, _ = c.do("POST", "/v1/orders", `{"fencing":1,"state":{"model":"old"}}`); status != tt.status {
				t.Fatalf("stale order: %d", status)
			}
			_, body, _ := c.do("GET", "/v1/state", "")
			var s State
			if err := json.Unmarshal([]byte(body), &s); err != nil || s.Model != tt.model {
				t.Fatalf("state %q: %v", body, err)
			}
		})
	}
}

// Guards against a crash switch that leaves the engine up, and against a load
// report without its lag.
func TestCrashAndLoad(t *testing.T) {
	e, c := run(t, Options{ID: "e", LoadLag: time.Hour})
	e.mu.Lock()
	e.running = 3
	e.recordLoad()
	e.mu.Unlock()
	if now := time.Now(); e.load(now).Running != 0 || e.load(now.Add(2*time.Hour)).Running != 3 {
		t.Error("the load report does not lag")
	}
	e.Set(endpoint.Faults{CrashOn: "molar", Draining: true})
	if _, body, err := c.do("GET", "/v1/load", ""); err != nil || !strings.Contains(body, `"draining":true`) {
		t.Errorf("load %q: %v", body, err)
	}
	if _, _, err := c.do("POST", "/v1/chat/completions", prompt); err == nil {
		t.Error("the request that crashes was answered")
	}
	if _, _, err := c.do("GET", "/v1/load", ""); err == nil {
		t.Error("the engine still answers")
	}
}
