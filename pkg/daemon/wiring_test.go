package daemon

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/clementinerack/clementinerack/pkg/abort"
	"github.com/clementinerack/clementinerack/pkg/routing"
	"github.com/clementinerack/clementinerack/standins/engine"
)

// Guards against settings of the callers' API that are not passed to any component.
func TestCallerLimits(t *testing.T) {
	f := newFixture(t, fastEngine("llm-0"))
	f.concurrency = 1
	inst := f.start("entry-1", map[string]string{"callers": "max-body-bytes = 1000\nqueue-limit = 1\n"})
	inst.applyAndWaitReady()
	if resp, err := inst.call("POST", "/v1/chat/completions", chatBody(strings.Repeat("x", 1000), 3)); err != nil || resp.status != 400 || !strings.Contains(resp.body, "1000 bytes") {
		t.Errorf("body above the limit: %+v, %v", resp, err)
	}
	slot, err := inst.pool.Acquire(t.Context(), routing.Request{Service: "llm"})
	if err != nil {
		t.Fatal(err)
	}
	responses := make(chan callerResponse)
	for range 2 {
		go func() {
			resp, err := inst.call("POST", "/v1/chat/completions", chatBody("x", 3))
			if err != nil {
				t.Error(err)
			}
			responses <- resp
		}()
	}
	if resp := <-responses; resp.status != 429 || resp.kind != "limited" || resp.outcome != "not-run" {
		t.Errorf("request beyond the queue limit: %+v", resp)
	}
	slot.Release(routing.Result{})
	if resp := <-responses; resp.status != 200 {
		t.Errorf("queued request: %+v", resp)
	}
}

// Guards against a response that a server gives up and that looks complete to callers with HTTP/1.0.
func TestGivenUpResponseIsNotCompleteForHTTP10(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := defaultServerTimeouts().newServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := abort.NewWriter(w, r)
		defer response.End()
		_, _ = io.WriteString(response, "part")
	}))
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(listener) }() // returns when the server is closed
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if answer, err := io.ReadAll(conn); err == nil {
		t.Errorf("the connection ended properly after %q", answer)
	}
}

// Guards against runbooks and alerts that refer to metrics that do not exist.
func TestManualNamesRealMetrics(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	inst := newFixture(t).newInstance("entry-1", nil)
	descriptions := make(chan *prometheus.Desc)
	go func() {
		inst.registry.Describe(descriptions)
		close(descriptions)
	}()
	var metrics strings.Builder
	for d := range descriptions {
		metrics.WriteString(d.String())
	}
	names := regexp.MustCompile(`clementinerack_[a-z_]+`).FindAllString(string(page), -1)
	for _, name := range names {
		if !strings.Contains(metrics.String(), fmt.Sprintf("fqName: %q", name)) {
			t.Errorf("the daemon has no metric %s", name)
		}
	}
	if len(names) < 20 {
		t.Errorf("the page names only %d metrics, want at least 20", len(names))
	}
}

// Guards against a timeout of the HTTP server that interrupts a stream.
func TestStreamOutlivesWriteTimeout(t *testing.T) {
	f := newFixture(t, engine.Options{ID: "llm-0", Model: "notas", Slots: 1, TokenInterval: 10 * time.Millisecond})
	inst := f.newInstance("entry-1", nil)
	inst.timeouts = serverTimeouts{header: 300 * time.Millisecond, idle: 300 * time.Millisecond, write: 300 * time.Millisecond}
	inst.runInBackground()
	f.waitUntil("listening", func() bool {
		resp, err := inst.call("GET", "/v1/requests/x", "")
		return err == nil && resp.status != 0
	})
	inst.applyAndWaitReady()
	resp, err := inst.call("POST", "/v1/chat/completions", chatBody("long", 80)) // 80 tokens at 10 ms: at least 800 ms, longer than every server timeout
	if err != nil || resp.status != 200 || !strings.HasSuffix(resp.body, "data: [DONE]\n\n") {
		t.Errorf("stream: %d, %v, %d bytes", resp.status, err, len(resp.body))
	}
}
