package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// crashingEngine crashes on prompts that contain crashingMessage and starts again.
type crashingEngine struct {
	incarnation atomic.Int64
	crashes     *atomic.Int64 // of all engines
}

const crashingMessage = "crash"

func (e *crashingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/load" || r.URL.Path == "/healthz" {
		_, _ = fmt.Fprintf(w, `{"incarnation":"i%d"}`, e.incarnation.Load())
		return
	}
	body, _ := io.ReadAll(r.Body) // an incomplete body has no answer
	if bytes.Contains(body, []byte(crashingMessage)) {
		e.crashes.Add(1)
		e.incarnation.Add(1)
		breakConnection(w, r)
	}
	serveStream(w, r)
}

// Guards against chats that have one message in common and crash endpoint after endpoint.
func TestCrashingMessageIsRefused(t *testing.T) {
	const maxLateCrashes = 3 // the users' bound, later than the contact window after the fifth crash
	const contactWindow = 3 * time.Second
	var crashes atomic.Int64
	var engines []http.Handler
	for range 8 {
		engines = append(engines, &crashingEngine{crashes: &crashes})
	}
	f := newFixture(t, engines...)
	number := 0
	chat := func(system string) response {
		number++
		return f.send("POST", chatPath, fmt.Sprintf(`{"model":"llm","max_tokens":10,"stream":true,"messages":[{"role":"system","content":%q},{"role":"user","content":"shared"},{"role":"user","content":"question %d"}]}`, system, number))
	}
	for crashes.Load() < 5 && number < 100 {
		_ = chat(crashingMessage)
		if got := chat("sound"); got.status != http.StatusOK {
			t.Errorf("sound request between the crashes: %+v", got)
		}
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(contactWindow)
	before := crashes.Load()
	for range 10 {
		_ = chat(crashingMessage)
	}
	if late := crashes.Load() - before; late > maxLateCrashes {
		t.Errorf("%d endpoints crashed later than %s after the fifth crash", late, contactWindow)
	}
	if got := chat(crashingMessage); got.status != 422 || got.outcome != "not-run" {
		t.Errorf("request with the crashing message: %+v", got)
	}
	if got := chat("sound"); got.status != http.StatusOK {
		t.Errorf("request without it: %+v", got)
	}
}
