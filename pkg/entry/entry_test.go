package entry

import (
	"net/http"
	"testing"

	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// Guards against a complete answer that is truncated, changed or charged wrongly.
func TestWholeAnswers(t *testing.T) {
	app := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && r.URL.Path == "/v1/chat/completions" {
			serveStream(w, r)
			return
		}
		_, _ = w.Write([]byte(r.Method + r.URL.Path))
	})
	f := newFixture(t, app)
	if got := f.send("POST", chatPath, chatBody); got.status != 200 || !isWholeStream(got.body) {
		t.Errorf("stream: %+v", got)
	}
	plain := `{"model":"llm","messages":[{"role":"user","content":"hello"}],"max_tokens":10}`
	want := `{"id":"","object":"chat.completion","created":0,"model":"","choices":[{"index":0,"message":{"role":"assistant","content":"w1 w2 w3 "},"finish_reason":""}],"usage":{"prompt_tokens":7,"completion_tokens":3,"total_tokens":10}}`
	if got := f.send("POST", chatPath, plain); got.status != 200 || got.body != want {
		t.Errorf("completion: %+v", got)
	}
	for range 2 { // the second one is answered by the owner
		if got := f.send("POST", appPrefix+"rounds/book", "x", keyHeader+": k"); got.status != 200 || got.body != "POST/book" {
			t.Errorf("booking: %+v", got)
		}
	}
	f.drain()
	if r := f.ledger.right(); r != (ledger.Right{Granted: 100000, Charged: 70, Version: 1}) {
		t.Errorf("charged %+v, want 70 tokens and no reservation", r)
	}
}
