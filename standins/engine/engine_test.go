package engine

import (
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/clementinerack/clementinerack/standins/endpoint"
)

const (
	completions = "/v1/chat/completions"
	prompt      = `{"model":"m","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"check the molar"}]}`
)

type call func(method, path, body string, header ...string) (status int, answer string, err error)

// run starts an engine and checks at the end that it leaves no goroutine behind.
func run(t *testing.T, o Options) (*Engine, call) {
	t.Helper()
	ignore := goleak.IgnoreCurrent()
	e, transport := New(o), &http.Transport{DisableKeepAlives: true}
	address, stop, err := endpoint.Start(e)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := stop(); err != nil {
			t.Error(err)
		}
		goleak.VerifyNone(t, ignore)
	})
	return e, func(method, path, body string, header ...string) (int, string, error) {
		r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
		if err != nil {
			return 0, "", err
		}
		for i := 0; i < len(header); i += 2 {
			r.Header.Set(header[i], header[i+1])
		}
		resp, err := transport.RoundTrip(r)
		if err != nil {
			return 0, "", err
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		return resp.StatusCode, string(b), err
	}
}

var idLine = regexp.MustCompile(`(?m)^id: \d+$`)

// ids returns the sequence numbers of the events.
func ids(body string) string {
	return strings.ReplaceAll(strings.Join(idLine.FindAllString(body, -1), " "), "id: ", "")
}

// Guards against stand-in answers that differ from docs/protocols.md, which
// would let a fault of the relay pass.
func TestStreamForms(t *testing.T) {
	tests := []struct {
		desc, resume, ids string
		faults            endpoint.Faults
		broken            bool
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
			e, do := run(t, Options{})
			header := []string{"X-Stream-Id", "s"}
			if tt.resume != "" {
				if _, _, err := do("POST", completions, prompt, header...); err != nil {
					t.Fatal(err)
				}
				header = append(header, "X-Resume-After", tt.resume)
			}
			e.SetFaults(tt.faults)
			_, body, err := do("POST", completions, prompt, header...)
			if got := ids(body); got != tt.ids || (err != nil) != tt.broken {
				t.Fatalf("ids %q, err %v; want %q, broken %v", got, err, tt.ids, tt.broken)
			}
			if !tt.broken && (!strings.HasSuffix(body, "data: [DONE]\n\n") ||
				!strings.Contains(body, `"usage":{"prompt_tokens":3,"completion_tokens":4,"total_tokens":7}`)) {
				t.Fatalf("no usage or terminal marker in %q", body)
			}
			_, body, err = do("POST", completions, prompt, "X-Stream-Id", "s") // attaches
			if err != nil || !strings.Contains(body, "[DONE]") || e.Executions("s") != 1 {
				t.Fatalf("attach: %v, %d executions", err, e.Executions("s"))
			}
		})
	}
}

// Guards against an engine that runs a resumed stream that it does not know.
func TestUnknownStream(t *testing.T) {
	e, do := run(t, Options{})
	resumed, _, _ := do("POST", completions, prompt, "X-Stream-Id", "s", "X-Resume-After", "1")
	cancelled, _, _ := do("DELETE", "/v1/streams/s", "")
	if resumed != 404 || cancelled != 404 || e.TotalExecutions() != 0 {
		t.Fatalf("resume %d, cancel %d, %d executions", resumed, cancelled, e.TotalExecutions())
	}
}

// Guards against a cancelled stream that ends like a complete one, and against
// slots that a cancelled or waiting request keeps.
func TestCancelAndSlots(t *testing.T) {
	e, do := run(t, Options{Slots: 1, TokenInterval: time.Hour})
	results := make(chan error, 2)
	for _, id := range []string{"running", "waiting"} {
		go func() {
			_, _, err := do("POST", completions, prompt, "X-Stream-Id", id)
			results <- err
		}()
		for e.find(id) == nil {
			time.Sleep(time.Millisecond)
		}
	}
	for _, id := range []string{"waiting", "running"} {
		status, body, err := do("DELETE", "/v1/streams/"+id, "")
		if status != 200 || err != nil || !strings.Contains(body, `"completion_tokens":0`) {
			t.Fatalf("cancel %s: %d %q %v", id, status, body, err)
		}
		if err := <-results; err == nil {
			t.Error("a cancelled stream ended cleanly")
		}
	}
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
		{"engine that checks", false, 409, "new"},
		{"engine that ignores", true, 200, "old"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			_, do := run(t, Options{IgnoreFencing: tt.ignore})
			first, _, _ := do("POST", "/v1/orders", `{"fencing":2,"state":{"model":"new"}}`)
			stale, _, _ := do("POST", "/v1/orders", `{"fencing":1,"state":{"model":"old"}}`)
			_, state, _ := do("GET", "/v1/state", "")
			if first != 200 || stale != tt.status || !strings.Contains(state, `"model":"`+tt.model+`"`) {
				t.Fatalf("first %d, stale %d, state %s", first, stale, state)
			}
		})
	}
}

// Guards against a crash switch that leaves the engine up, and against a load
// report without its lag.
func TestCrashAndLoad(t *testing.T) {
	e, do := run(t, Options{ID: "e", LoadLag: time.Hour})
	e.mu.Lock()
	e.running = 3
	e.recordLoad()
	e.mu.Unlock()
	if now := time.Now(); e.load(now).Running != 0 || e.load(now.Add(2*time.Hour)).Running != 3 {
		t.Error("the load report does not lag")
	}
	e.SetFaults(endpoint.Faults{CrashOn: "molar", Draining: true})
	if _, body, err := do("GET", "/v1/load", ""); err != nil || !strings.Contains(body, `"draining":true`) {
		t.Errorf("load %q: %v", body, err)
	}
	for _, path := range []string{completions, "/v1/load"} {
		if _, _, err := do("POST", path, prompt); err == nil {
			t.Errorf("%s was answered", path)
		}
	}
}
