package operator

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/settings"
)

// handlerTransport passes requests to the handler of their host without a network.
// An unknown host refuses the connection. The host "broken" handles the request,
// but the connection breaks before the answer.
type handlerTransport map[string]http.Handler

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	handler, ok := h[r.URL.Host]
	if !ok {
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	if r.URL.Host == "broken" {
		return nil, io.ErrUnexpectedEOF
	}
	return w.Result(), nil
}

// newTestHandler returns the API on a backend of newAppliedBackend, with the token
// "token".
func newTestHandler(t *testing.T) http.Handler {
	b, _ := newAppliedBackend(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewHandler(b, settings.NewSecret([]byte("token")), log)
}

// TestHandlerRefuses guards against calls without a valid token, and against
// malformed commands that take effect.
func TestHandlerRefuses(t *testing.T) {
	const body = `{"command":"c1","request":{"endpoint":"llm-1"}}`
	cases := []struct {
		desc                                string
		method, path, token, operator, body string
		wantStatus                          int
	}{
		{"done", "POST", "/operator/v1/commands/retire", "Bearer token", "ada", body, 200},
		{"no token", "GET", "/operator/v1/queries/config", "", "", "", 401},
		{"wrong token", "GET", "/operator/v1/queries/config", "Bearer toke", "", "", 401},
		{"empty token", "GET", "/operator/v1/queries/config", "Bearer ", "", "", 401},
		{"no operator", "POST", "/operator/v1/commands/retire", "Bearer token", "", body, 400},
		{"no command id", "POST", "/operator/v1/commands/retire", "Bearer token", "ada", `{"request":{"endpoint":"llm-1"}}`, 400},
		{"misspelt field", "POST", "/operator/v1/commands/retire", "Bearer token", "ada", `{"command":"c1","request":{"endpoint":"llm-1","expected":3}}`, 400},
		{"command as query", "GET", "/operator/v1/commands/retire", "Bearer token", "ada", "", 404},
		{"unknown query", "GET", "/operator/v1/queries/all", "Bearer token", "", "", 404},
		{"unknown instance", "POST", "/operator/v1/commands/stop", "Bearer token", "ada", `{"command":"c1","request":{"instance":"entry-9"}}`, 404},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			r.Header.Set("Authorization", c.token)
			r.Header.Set(OperatorHeader, c.operator)
			w := httptest.NewRecorder()
			newTestHandler(t).ServeHTTP(w, r)
			if w.Code != c.wantStatus {
				t.Errorf("status %d, want %d: %s", w.Code, c.wantStatus, w.Body)
			}
			if w.Code != 200 && w.Header().Get("Content-Type") != failure.ProblemContentType {
				t.Errorf("the error is not problem+json: %s", w.Body)
			}
		})
	}
}

// TestClientTriesNext guards against a client that gives up although another
// instance would answer, and against one that reports a command as not executed
// although it may have taken effect.
func TestClientTriesNext(t *testing.T) {
	cases := []struct {
		desc        string
		addresses   []string
		wantKind    failure.Kind
		wantChanged bool
	}{
		{"first address refuses the connection", []string{"gone", "one"}, "", true},
		{"first address loses the answer", []string{"broken", "one"}, "", false},
		{"no address answers", []string{"gone", "gone"}, failure.Unavailable, false},
		{"answer lost, no other address", []string{"broken", "gone"}, failure.Uncertain, false},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			h := newTestHandler(t)
			client := Client{Addresses: c.addresses, Token: settings.NewSecret([]byte("token")), Operator: "ada",
				HTTP: &http.Client{Transport: handlerTransport{"one": h, "broken": h}}}
			var result BudgetResult
			err := client.Command(t.Context(), "topup", "t1", TopUpRequest{mainBudget, 5}, &result)
			if failure.KindOf(err) != c.wantKind || result.Changed != c.wantChanged {
				t.Errorf("result %+v, error %v", result, err)
			}
		})
	}
	client := Client{Addresses: []string{"one"}, Token: settings.NewSecret([]byte("token")), HTTP: &http.Client{Transport: handlerTransport{"one": newTestHandler(t)}}}
	var report SpentReport
	err := client.Query(t.Context(), "spent", url.Values{"workspace": {"clinic"}}, &report)
	if err != nil || len(report.Budgets) != 1 || report.Budgets[0].Stranded != 40 {
		t.Errorf("spent: %+v, %v", report, err)
	}
}
