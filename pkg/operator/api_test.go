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

// handlers answers requests by host without a network. A missing host refuses
// the connection; the host "broken" takes the request and drops the connection.
type handlers map[string]http.Handler

func (h handlers) RoundTrip(r *http.Request) (*http.Response, error) {
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

func api(t *testing.T) http.Handler {
	b, _ := applied(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewHandler(b, settings.NewSecret([]byte("token")), log)
}

// Guards against calls without credential, and against malformed commands that
// take effect.
func TestHandlerRefuses(t *testing.T) {
	const body = `{"command":"c1","request":{"endpoint":"llm-1"}}`
	cases := []struct {
		desc                                string
		method, path, token, operator, body string
		status                              int
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
			api(t).ServeHTTP(w, r)
			if w.Code != c.status {
				t.Errorf("status %d, want %d: %s", w.Code, c.status, w.Body)
			}
			if w.Code != 200 && w.Header().Get("Content-Type") != failure.ProblemContentType {
				t.Errorf("the error is no problem+json: %s", w.Body)
			}
		})
	}
}

// Guards against a tool that gives up although another instance answers, and
// against one that calls a command without effect when it may have had one.
func TestClientTriesNext(t *testing.T) {
	cases := []struct {
		desc      string
		addresses []string
		want      failure.Kind
		changed   bool
	}{
		{"first refuses connections", []string{"gone", "one"}, "", true},
		{"first breaks after the effect", []string{"broken", "one"}, "", false},
		{"none answers", []string{"gone", "gone"}, failure.Unavailable, false},
		{"the answer is lost", []string{"broken", "gone"}, failure.Uncertain, false},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			h := api(t)
			client := Client{Addresses: c.addresses, Token: settings.NewSecret([]byte("token")), Operator: "ada",
				HTTP: &http.Client{Transport: handlers{"one": h, "broken": h}}}
			var result BudgetResult
			err := client.Command(t.Context(), "topup", "t1", TopUpRequest{mainBudget, 5}, &result)
			if failure.KindOf(err) != c.want || result.Changed != c.changed {
				t.Errorf("result %+v, error %v", result, err)
			}
		})
	}
	client := Client{Addresses: []string{"one"}, Token: settings.NewSecret([]byte("token")), HTTP: &http.Client{Transport: handlers{"one": api(t)}}}
	var report SpentReport
	err := client.Query(t.Context(), "spent", url.Values{"workspace": {"clinic"}}, &report)
	if err != nil || len(report.Budgets) != 1 || report.Budgets[0].Stranded != 40 {
		t.Errorf("spent: %+v, %v", report, err)
	}
}
