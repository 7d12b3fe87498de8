package daemon

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/clementinerack/clementinerack/pkg/routing"
	"github.com/clementinerack/clementinerack/standins/engine"
)

// Guards against settings of the callers' API that reach no component.
func TestCallerLimits(t *testing.T) {
	r := newRig(t, fastEngine("llm-0"))
	r.concurrency = 1
	i := r.start("entry-1", map[string]string{"callers": "max-body-bytes = 1000\nqueue-limit = 1\n"})
	i.apply()
	if a, err := i.call("POST", "/v1/chat/completions", chat(strings.Repeat("x", 1000), 3)); err != nil || a.status != 400 || !strings.Contains(a.body, "1000 bytes") {
		t.Errorf("body above the limit: %+v, %v", a, err)
	}
	slot, err := i.pool.Acquire(t.Context(), routing.Request{Service: "llm"})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan answer)
	for range 2 {
		go func() {
			a, err := i.call("POST", "/v1/chat/completions", chat("x", 3))
			if err != nil {
				t.Error(err)
			}
			ended <- a
		}()
	}
	if a := <-ended; a.status != 429 || a.kind != "limited" || a.outcome != "not-run" {
		t.Errorf("request beyond the queue: %+v", a)
	}
	slot.Release(routing.Result{})
	if a := <-ended; a.status != 200 {
		t.Errorf("queued request: %+v", a)
	}
}

// Guards against runbooks and alerts that name metrics which do not exist.
func TestManualNamesRealMetrics(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators.md")
	if err != nil {
		t.Fatal(err)
	}
	i := newRig(t).prepare("entry-1", nil)
	descriptions := make(chan *prometheus.Desc)
	go func() {
		i.registry.Describe(descriptions)
		close(descriptions)
	}()
	var known strings.Builder
	for d := range descriptions {
		known.WriteString(d.String())
	}
	names := regexp.MustCompile(`clementinerack_[a-z_]+`).FindAllString(string(page), -1)
	for _, name := range names {
		if !strings.Contains(known.String(), fmt.Sprintf("fqName: %q", name)) {
			t.Errorf("%s is no metric of the daemon", name)
		}
	}
	if len(names) < 20 {
		t.Errorf("the page names only %d metrics", len(names))
	}
}

// Guards against a timeout of the HTTP server that cuts a stream.
func TestStreamOutlivesWriteTimeout(t *testing.T) {
	r := newRig(t, engine.Options{ID: "llm-0", Model: "notas", Slots: 1, TokenInterval: 10 * time.Millisecond})
	i := r.prepare("entry-1", nil)
	i.limits = serverLimits{header: 300 * time.Millisecond, idle: 300 * time.Millisecond, write: 300 * time.Millisecond}
	i.run()
	r.until("listening", func() bool { a, err := i.call("GET", "/v1/requests/x", ""); return err == nil && a.status != 0 })
	i.apply()
	a, err := i.call("POST", "/v1/chat/completions", chat("long", 80)) // takes 800 ms or more
	if err != nil || a.status != 200 || !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
		t.Errorf("stream: %d, %v, %d bytes", a.status, err, len(a.body))
	}
}
