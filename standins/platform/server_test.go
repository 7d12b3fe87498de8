package platform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// step is one call and its expected response. Status 0 means that the connection
// is closed without a response.
type step struct {
	client, method, path, body string
	status                     int
	version, answer            string
}

func newServer(t *testing.T) (*Server, func(step)) {
	t.Helper()
	s, err := New()
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, func(want step) {
		t.Helper()
		req, err := http.NewRequestWithContext(t.Context(), want.method, server.URL+want.path, strings.NewReader(want.body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Client", want.client)
		res, err := server.Client().Do(req)
		if err != nil {
			if want.status != 0 {
				t.Errorf("%s %s: %v", want.method, want.path, err)
			}
			return
		}
		defer res.Body.Close()
		body, err := io.ReadAll(res.Body)
		if err != nil || res.StatusCode != want.status || res.Header.Get("X-Version") != want.version ||
			strings.TrimSpace(string(body)) != want.answer {
			t.Errorf("%s %s: got %d, version %q, body %.80q, %v; want %d, %q, %q", want.method, want.path,
				res.StatusCode, res.Header.Get("X-Version"), body, err, want.status, want.version, want.answer)
		}
	}
}

// Guards against responses and injected faults that differ from
// docs/protocols.md.
func TestProtocol(t *testing.T) {
	const faults, kv, lease, entry = "/control/faults", "/v1/kv/a/b", "/v1/leases/orders/e", "/v1/instances/i"
	live := `{"id":"i","service":"s","domain":"d","address":"x:1","state":"live"}`
	for _, tc := range []struct {
		desc  string
		steps []step
	}{
		{"values", []step{
			{method: "GET", path: kv, status: 404, version: "0"},
			{method: "PUT", path: kv + "?expect=0", body: "v", status: 200, version: "1"},
			{method: "PUT", path: kv + "?expect=0", body: "w", status: 409, version: "1"},
			{method: "GET", path: kv, status: 200, version: "1", answer: "v"},
			{method: "GET", path: kv + "?after=0&wait=1h", status: 200, version: "1", answer: "v"},
			{method: "GET", path: kv + "?after=1&wait=0s", status: 200, version: "1", answer: "v"},
			{method: "PUT", path: kv + "?expect=1", body: strings.Repeat("x", kvstore.MaxValueBytes+1), status: 413},
		}},
		{"malformed calls", []step{
			{method: "PUT", path: kv, body: "v", status: 400},
			{method: "PUT", path: kv + "?expect=-1", body: "v", status: 400},
			{method: "GET", path: kv + "?after=x", status: 400},
			{method: "GET", path: kv + "?after=1&wait=-1s", status: 400},
			{method: "POST", path: lease, body: "{", status: 400},
			{method: "POST", path: lease, body: `{"holder":"a"}`, status: 400},
			{method: "PUT", path: entry, body: `{"id":"other"}`, status: 400},
			{method: "PUT", path: faults, body: `{"dwon":true}`, status: 400},
			{method: "PUT", path: faults, body: `{"slow_ms":-1}`, status: 400},
		}},
		{"leases", []step{
			{method: "POST", path: lease, body: `{"holder":"a","ttl_ms":3600000}`, status: 200, answer: `{"token":1}`},
			{method: "POST", path: lease, body: `{"holder":"b","ttl_ms":1}`, status: 409, answer: `{"holder":"a","token":1}`},
			{method: "DELETE", path: lease + "?holder=a", status: 204},
			{method: "POST", path: lease, body: `{"holder":"b","ttl_ms":3600000}`, status: 200, answer: `{"token":2}`},
		}},
		{"lagging list", []step{
			{method: "PUT", path: faults, body: `{"list_lag_ms":3600000}`, status: 204},
			{method: "PUT", path: entry, body: live, status: 204},
			{method: "GET", path: "/v1/instances", status: 200, answer: "[]"},
			{method: "PUT", path: faults, body: `{}`, status: 204},
			{method: "GET", path: "/v1/instances?service=s", status: 200, answer: "[" + live + "]"},
			{method: "DELETE", path: entry, status: 204},
			{method: "GET", path: "/v1/instances", status: 200, answer: "[]"},
		}},
		{"down", []step{
			{method: "PUT", path: faults, body: `{"down":true}`, status: 204},
			{method: "GET", path: kv, status: 503},
			{method: "GET", path: kv + "?after=0&wait=1h", status: 503},
			{method: "PUT", path: kv + "?expect=0", status: 503},
			{method: "GET", path: "/v1/instances", status: 503},
			{method: "DELETE", path: lease + "?holder=a", status: 204},
		}},
		{"lost answer", []step{
			{method: "PUT", path: faults, body: `{"lose_answers":1}`, status: 204},
			{method: "PUT", path: kv + "?expect=0", body: "v"},
			{method: "GET", path: kv, status: 200, version: "1", answer: "v"},
			{method: "PUT", path: kv + "?expect=1", body: "w", status: 200, version: "2"},
		}},
		{"cut client", []step{
			{method: "PUT", path: faults, body: `{"cut_clients":["a"]}`, status: 204},
			{client: "a", method: "PUT", path: kv + "?expect=0", body: "v"},
			{client: "b", method: "GET", path: kv, status: 404, version: "0"},
			{client: "b", method: "GET", path: "/control/stats", status: 200,
				answer: `{"calls":{"get":1,"swap":1},"bytes":{"swap":1}}`},
		}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			_, do := newServer(t)
			for _, s := range tc.steps {
				do(s)
			}
		})
	}
}

// Guards against a shutdown that waits until a long watch ends.
func TestCloseEndsWatches(t *testing.T) {
	s, do := newServer(t)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		do(step{method: "GET", path: "/v1/kv/a?after=0&wait=1h", status: 503})
	}()
	s.Close()
	<-ended
}
