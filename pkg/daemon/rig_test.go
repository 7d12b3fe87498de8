package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"github.com/clementinerack/clementinerack/pkg/declare"
	"github.com/clementinerack/clementinerack/pkg/operator"
	"github.com/clementinerack/clementinerack/pkg/settings"
	"github.com/clementinerack/clementinerack/standins/endpoint"
	"github.com/clementinerack/clementinerack/standins/engine"
	"github.com/clementinerack/clementinerack/standins/platform"
)

// Each test checks for leaks itself too, which names the test at fault.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	rigToken  = "operators-token"
	rigWait   = 30 * time.Second // for a state that must come about; no test asserts a duration
	rigPoll   = 10 * time.Millisecond
	rigBudget = "clinic/main"
)

// rig is a small deployment in this process.
type rig struct {
	t        *testing.T
	dir      string
	platform *platform.Server
	address  string // of the platform
	client   *http.Client
	engines  []string // addresses
	scheme   string   // of the callers' and operators' APIs
	// concurrency is the limit of requests per endpoint.
	concurrency int
	seeds       []string
}

func newRig(t *testing.T, engines ...engine.Options) *rig {
	t.Helper()
	leaks := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, leaks) })
	r := &rig{t: t, scheme: "http://", concurrency: 64, dir: t.TempDir(), client: &http.Client{Transport: &http.Transport{}}}
	var err error
	if r.platform, err = platform.New(); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(r.platform)
	t.Cleanup(func() { r.platform.Close(); server.Close() })
	t.Cleanup(r.client.CloseIdleConnections)
	r.address = server.URL
	for _, o := range engines {
		address, stop, err := endpoint.Start(engine.New(o))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = stop() })
		r.engines = append(r.engines, address)
	}
	r.file("credential", "peer-credential")
	r.file("token", rigToken)
	return r
}

func (r *rig) file(name, text string) string {
	r.t.Helper()
	path := filepath.Join(r.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
	return path
}

// instance is one daemon of a rig.
type instance struct {
	*Daemon
	rig    *rig
	done   chan struct{}
	err    error // of Run, once done is closed
	cancel context.CancelFunc
}

// prepare writes and loads the settings of an instance and opens its listeners.
// extra is appended to sections by name.
func (r *rig) prepare(id string, extra map[string]string) *instance {
	r.t.Helper()
	listeners := map[string]net.Listener{}
	addresses := make([]any, 4)
	for i := range addresses {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.t.Fatal(err)
		}
		r.t.Cleanup(func() { _ = l.Close() }) // closed before when the instance ran
		addresses[i] = l.Addr().String()
		listeners[l.Addr().String()] = l
	}
	text := fmt.Sprintf("[instance]\nid = "+id+"\ndomain = ikeja\nregion = ng-sw\n"+
		"[listen]\ncallers = %s\noperators = %s\npeers = %s\nmetrics = %s\n", addresses...) +
		"[platform]\naddress = " + r.address + "\nwatch-wait = 1s\n" + extra["platform"] +
		"[peers]\nseeds = " + strings.Join(r.seeds, ",") + "\ncredential-file = " + filepath.Join(r.dir, "credential") + "\n" + extra["peers"] +
		"[operators]\ntoken-file = " + filepath.Join(r.dir, "token") + "\n" + extra["operators"] +
		"[callers]\n" + extra["callers"] + "[stop]\ngrace = 20s\n"
	s, err := settings.Load(r.file(id+".ini", text))
	if err != nil {
		r.t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := New(s, log)
	if err != nil {
		r.t.Fatal(err)
	}
	d.open = func(address string) (net.Listener, error) { return listeners[address], nil }
	r.seeds = append(r.seeds, s.Listen.Peers)
	return &instance{Daemon: d, rig: r, done: make(chan struct{})}
}

// start runs an instance until the end of the test.
func (r *rig) start(id string, extra map[string]string) *instance {
	r.t.Helper()
	i := r.prepare(id, extra)
	i.run()
	return i
}

func (i *instance) run() {
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	go func() {
		i.err = i.Run(ctx)
		close(i.done)
	}()
	i.rig.t.Cleanup(i.stopNow)
}

// stopNow asks for a graceful stop and waits for its end.
func (i *instance) stopNow() {
	i.cancel()
	<-i.done
}

// until waits for a state.
func (r *rig) until(what string, ok func() bool) {
	r.t.Helper()
	deadline := time.Now().Add(rigWait)
	for !ok() {
		if time.Now().After(deadline) {
			r.t.Fatalf("%s: not within %s", what, rigWait)
		}
		time.Sleep(rigPoll)
	}
}

func (i *instance) operator() *operator.Client {
	return &operator.Client{Addresses: []string{i.rig.scheme + i.settings.Listen.Operators}, Token: settings.NewSecret([]byte(rigToken)), Operator: "ada", HTTP: i.rig.client}
}

// declarations are those of all rigs; the key of the workspace is "secret".
const declarations = `
[deployment]
domains = ikeja
shards = 2
[service llm]
kind = model
max-output-tokens = 4096
concurrency = %d
[objective llm]
target = 0.95
[workspace clinic]
key-sha256 = 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b
[budget clinic/main]
opening = 100000
`

// apply puts the declarations in force and waits until the instance is ready.
func (i *instance) apply() {
	i.rig.t.Helper()
	i.applyUnready()
	i.waitReady()
}

func (i *instance) applyUnready() {
	i.rig.t.Helper()
	text := fmt.Sprintf(declarations, i.rig.concurrency)
	for n, address := range i.rig.engines {
		text += fmt.Sprintf("[endpoint llm-%d]\nservice = llm\naddress = %s\ndomain = ikeja\nchecks-fencing = %v\n", n, address, n == 0)
	}
	d, err := declare.Parse("rig.ini", strings.NewReader(text))
	if err != nil {
		i.rig.t.Fatal(err)
	}
	req := operator.ApplyRequest{Document: d.Document, Budgets: d.Budgets, Openings: d.Openings}
	i.rig.until("apply", func() bool {
		return i.operator().Command(i.rig.t.Context(), "apply", "apply-1", req, &operator.ApplyResult{}) == nil
	})
}

func (i *instance) waitReady() {
	i.rig.t.Helper()
	i.rig.until(i.self.Instance+" ready", func() bool { return i.ready() == nil })
}

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	kind    string
	body    string
}

// call sends a request of a caller. Headers have the form "Name: value".
func (i *instance) call(method, path, body string, headers ...string) (answer, error) {
	return i.callAt(i.rig.scheme, i.rig.client, method, path, body, headers...)
}

func (i *instance) callAt(scheme string, client *http.Client, method, path, body string, headers ...string) (answer, error) {
	req, err := http.NewRequestWithContext(i.rig.t.Context(), method, scheme+i.settings.Listen.Callers+path, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Authorization", "Bearer secret")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Add(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var buf bytes.Buffer
	_, err = buf.ReadFrom(resp.Body)
	var problem struct{ Kind string }
	_ = json.Unmarshal(buf.Bytes(), &problem) // a body of another form has no kind
	return answer{resp.StatusCode, resp.Header.Get("Clementinerack-Outcome"), problem.Kind, buf.String()}, err
}

func chat(prompt string, maxTokens int) string {
	return fmt.Sprintf(`{"model":"llm","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, maxTokens, prompt)
}

// fastEngine makes tokens without delay.
func fastEngine(id string) engine.Options {
	return engine.Options{ID: id, Model: "notas", Slots: 8, TokenInterval: time.Microsecond}
}

// background runs a call and returns its result later.
func background(call func() (answer, error)) func() (answer, error) {
	type result struct {
		a   answer
		err error
	}
	results := make(chan result, 1)
	go func() {
		a, err := call()
		results <- result{a, err}
	}()
	return sync.OnceValues(func() (answer, error) { r := <-results; return r.a, r.err })
}
