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

// TestMain checks for leaked goroutines after all tests. Each test checks by itself as
// well, which attributes a leak to the test that caused it.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	operatorToken = "operators-token"
	stateTimeout  = 30 * time.Second // fails a wait whose state is never reached; no test asserts a duration
	pollInterval  = 10 * time.Millisecond
	testBudget    = "clinic/main"
)

// fixture is a deployment within the test process: a platform, engines and, once started,
// instances.
type fixture struct {
	t               *testing.T
	dir             string
	platform        *platform.Server
	platformAddress string // URL of the platform
	client          *http.Client
	engineAddresses []string // host:port of each engine
	scheme          string   // URL scheme of the callers' and operators' APIs, with "://"
	// concurrency is the limit of concurrent requests per endpoint.
	concurrency int
	seeds       []string
}

// newFixture starts a platform and the engines for the duration of the test.
func newFixture(t *testing.T, engines ...engine.Options) *fixture {
	t.Helper()
	leaks := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, leaks) })
	f := &fixture{t: t, scheme: "http://", concurrency: 64, dir: t.TempDir(), client: &http.Client{Transport: &http.Transport{}}}
	var err error
	if f.platform, err = platform.New(); err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(f.platform)
	t.Cleanup(func() { f.platform.Close(); server.Close() })
	t.Cleanup(f.client.CloseIdleConnections)
	f.platformAddress = server.URL
	for _, o := range engines {
		address, stop, err := endpoint.Start(engine.New(o))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = stop() })
		f.engineAddresses = append(f.engineAddresses, address)
	}
	f.writeFile("credential", "peer-credential")
	f.writeFile("token", operatorToken)
	return f
}

// writeFile writes a file to the directory of the fixture and returns its path.
func (f *fixture) writeFile(name, text string) string {
	f.t.Helper()
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// instance is one daemon of a fixture.
type instance struct {
	*Daemon
	fixture *fixture
	done    chan struct{}
	runErr  error // result of Run; valid once done is closed
	cancel  context.CancelFunc
}

// newInstance writes and loads the settings of an instance and opens its listeners, but
// does not run it. extraSettings are lines to append to the sections, by section name.
func (f *fixture) newInstance(id string, extraSettings map[string]string) *instance {
	f.t.Helper()
	listeners := map[string]net.Listener{}
	addresses := make([]any, 4)
	for i := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { _ = listener.Close() }) // already closed if the instance ran
		addresses[i] = listener.Addr().String()
		listeners[listener.Addr().String()] = listener
	}
	text := fmt.Sprintf("[instance]\nid = "+id+"\ndomain = ikeja\nregion = ng-sw\n"+
		"[listen]\ncallers = %s\noperators = %s\npeers = %s\nmetrics = %s\n", addresses...) +
		"[platform]\naddress = " + f.platformAddress + "\nwatch-wait = 1s\n" + extraSettings["platform"] +
		"[peers]\nseeds = " + strings.Join(f.seeds, ",") + "\ncredential-file = " + filepath.Join(f.dir, "credential") + "\n" + extraSettings["peers"] +
		"[operators]\ntoken-file = " + filepath.Join(f.dir, "token") + "\n" + extraSettings["operators"] +
		"[callers]\n" + extraSettings["callers"] + "[stop]\ngrace = 20s\n"
	s, err := settings.Load(f.writeFile(id+".ini", text))
	if err != nil {
		f.t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := New(s, log)
	if err != nil {
		f.t.Fatal(err)
	}
	d.openListener = func(address string) (net.Listener, error) { return listeners[address], nil }
	f.seeds = append(f.seeds, s.Listen.Peers)
	return &instance{Daemon: d, fixture: f, done: make(chan struct{})}
}

// start creates an instance and runs it until the end of the test.
func (f *fixture) start(id string, extraSettings map[string]string) *instance {
	f.t.Helper()
	inst := f.newInstance(id, extraSettings)
	inst.runInBackground()
	return inst
}

// runInBackground runs the instance until the end of the test.
func (inst *instance) runInBackground() {
	ctx, cancel := context.WithCancel(context.Background())
	inst.cancel = cancel
	go func() {
		inst.runErr = inst.Run(ctx)
		close(inst.done)
	}()
	inst.fixture.t.Cleanup(inst.stopAndWait)
}

// stopAndWait stops the instance gracefully and waits until it has stopped.
func (inst *instance) stopAndWait() {
	inst.cancel()
	<-inst.done
}

// waitUntil waits until condition holds. It fails the test after stateTimeout.
func (f *fixture) waitUntil(description string, condition func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(stateTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: not reached within %s", description, stateTimeout)
		}
		time.Sleep(pollInterval)
	}
}

// operatorClient returns a client of the instance's operators' API.
func (inst *instance) operatorClient() *operator.Client {
	return &operator.Client{Addresses: []string{inst.fixture.scheme + inst.settings.Listen.Operators}, Token: settings.NewSecret([]byte(operatorToken)), Operator: "ada", HTTP: inst.fixture.client}
}

// declarationsTemplate has the declarations of all fixtures except the endpoints. The
// key of the workspace is "secret".
const declarationsTemplate = `
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

// applyAndWaitReady applies the declarations and waits until the instance is ready.
func (inst *instance) applyAndWaitReady() {
	inst.fixture.t.Helper()
	inst.apply()
	inst.waitReady()
}

// apply applies the declarations, with one endpoint for each engine. Only the first
// engine is declared to check fencing tokens.
func (inst *instance) apply() {
	inst.fixture.t.Helper()
	text := fmt.Sprintf(declarationsTemplate, inst.fixture.concurrency)
	for n, address := range inst.fixture.engineAddresses {
		text += fmt.Sprintf("[endpoint llm-%d]\nservice = llm\naddress = %s\ndomain = ikeja\nchecks-fencing = %v\n", n, address, n == 0)
	}
	d, err := declare.Parse("rig.ini", strings.NewReader(text))
	if err != nil {
		inst.fixture.t.Fatal(err)
	}
	req := operator.ApplyRequest{Document: d.Document, Budgets: d.Budgets, Openings: d.Openings}
	inst.fixture.waitUntil("apply", func() bool {
		return inst.operatorClient().Command(inst.fixture.t.Context(), "apply", "apply-1", req, &operator.ApplyResult{}) == nil
	})
}

// waitReady waits until the instance is ready.
func (inst *instance) waitReady() {
	inst.fixture.t.Helper()
	inst.fixture.waitUntil(inst.self.Instance+" ready", func() bool { return inst.checkReady() == nil })
}

// callerResponse is the response to a caller. The kind is that of the problem in its
// body, or empty.
type callerResponse struct {
	status  int
	outcome string
	kind    string
	body    string
}

// call sends a request as a caller of the workspace. Headers have the form "Name: value".
func (inst *instance) call(method, path, body string, headers ...string) (callerResponse, error) {
	return inst.callWith(inst.fixture.scheme, inst.fixture.client, method, path, body, headers...)
}

// callWith is call with another URL scheme and client.
func (inst *instance) callWith(scheme string, client *http.Client, method, path, body string, headers ...string) (callerResponse, error) {
	req, err := http.NewRequestWithContext(inst.fixture.t.Context(), method, scheme+inst.settings.Listen.Callers+path, strings.NewReader(body))
	if err != nil {
		return callerResponse{}, err
	}
	req.Header.Set("Authorization", "Bearer secret")
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Add(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return callerResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var buf bytes.Buffer
	_, err = buf.ReadFrom(resp.Body)
	var problem struct{ Kind string }
	_ = json.Unmarshal(buf.Bytes(), &problem) // a body that is not a problem document has no kind
	return callerResponse{resp.StatusCode, resp.Header.Get("Clementinerack-Outcome"), problem.Kind, buf.String()}, err
}

// chatBody returns the body of a streaming chat request.
func chatBody(prompt string, maxTokens int) string {
	return fmt.Sprintf(`{"model":"llm","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, maxTokens, prompt)
}

// fastEngine returns the options of an engine that generates tokens almost without delay.
func fastEngine(id string) engine.Options {
	return engine.Options{ID: id, Model: "notas", Slots: 8, TokenInterval: time.Microsecond}
}

// startCall runs call in a goroutine. The returned function waits for its result.
func startCall(call func() (callerResponse, error)) func() (callerResponse, error) {
	type result struct {
		response callerResponse
		err      error
	}
	results := make(chan result, 1)
	go func() {
		resp, err := call()
		results <- result{resp, err}
	}()
	return sync.OnceValues(func() (callerResponse, error) { r := <-results; return r.response, r.err })
}
