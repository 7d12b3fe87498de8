package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/operator"
	"github.com/clementinerack/clementinerack/pkg/settings"
)

// Guards against malformed requests that reach an engine, are charged, or end without
// a typed error, in a fully assembled instance.
func TestBadInput(t *testing.T) {
	f := newFixture(t, fastEngine("llm-0"))
	inst := f.start("entry-1", map[string]string{"callers": "max-body-bytes = 4096\n"})
	inst.applyAndWaitReady()
	const chatPath, auth = "/v1/chat/completions", "Authorization: Bearer "
	cases := []struct {
		desc, path, body string
		headers          []string
		status           int
		kind             string
	}{
		{"oversized JSON", chatPath, chatBody(strings.Repeat("x", 5000), 3), nil, 400, "invalid"},
		{"truncated JSON", chatPath, chatBody("x", 3)[:40], nil, 400, "invalid"},
		{"binary data instead of JSON", chatPath, "\x00\xff", nil, 400, "invalid"},
		{"deeply nested JSON", chatPath, strings.Repeat("[", 4000), nil, 400, "invalid"},
		{"duplicate member", chatPath, `{"model":"llm",` + chatBody("x", 3)[1:], nil, 400, "invalid"},
		{"negative max_tokens", chatPath, chatBody("x", -1), nil, 400, "invalid"},
		{"huge max_tokens", chatPath, chatBody("x", 1<<40), nil, 400, "invalid"},
		{"max_tokens beyond an integer", chatPath, strings.Replace(chatBody("x", 3), ":3,", ":1e400,", 1), nil, 400, "invalid"},
		{"duplicate id", chatPath, chatBody("x", 3), []string{"Idempotency-Key: a", "Idempotency-Key: b"}, 400, "invalid"},
		{"duplicate credential", chatPath, chatBody("x", 3), []string{auth + "secret"}, 400, "invalid"},
		{"malformed budget", chatPath, chatBody("x", 3), []string{"Clementinerack-Budget: ../main"}, 400, "invalid"},
		{"unknown budget", chatPath, chatBody("x", 3), []string{"Clementinerack-Budget: other"}, 402, "budget-exhausted"},
		{"unknown model", chatPath, strings.Replace(chatBody("x", 3), "llm", "gpt", 1), nil, 404, "not-found"},
		{"model service as app", "/v1/apps/llm/x", "", nil, 404, "not-found"},
		{"unknown path", "/v1/completions", "", nil, 404, "not-found"},
		{"header too long", chatPath, chatBody("x", 3), []string{"X-Long: " + strings.Repeat("x", 64<<10)}, 431, ""},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			resp, err := inst.call("POST", c.path, c.body, c.headers...)
			if err != nil || resp.status != c.status || resp.kind != c.kind || c.kind != "" && !strings.Contains(resp.body, `"remedy"`) {
				t.Errorf("got %+v, %v; want status %d, kind %q and a remedy", resp, err, c.status, c.kind)
			}
		})
	}
	t.Run("unknown workspace", func(t *testing.T) {
		req, _ := http.NewRequest("POST", "http://"+inst.settings.Listen.Callers+chatPath, strings.NewReader(chatBody("x", 3)))
		req.Header.Set("Authorization", "Bearer other")
		resp, err := f.client.Do(req)
		if err != nil || resp.StatusCode != 401 {
			t.Errorf("got %+v, %v; want status 401", resp, err)
		}
		_ = resp.Body.Close()
	})
	var spent operator.SpentReport
	if err := inst.operatorClient().Query(t.Context(), "spent", nil, &spent); err != nil || spent.Budgets[0].Now == nil || spent.Budgets[0].Now.Charged+spent.Budgets[0].Now.Reserved != 0 {
		t.Errorf("malformed requests were charged: %+v, %v", spent, err)
	}
	if resp, err := inst.call("POST", chatPath, chatBody("x", 3)); err != nil || resp.status != 200 {
		t.Errorf("valid request afterwards: %+v, %v", resp, err)
	}
}

// Guards against reporting only the first of several errors in the settings.
func TestInvalidSettings(t *testing.T) {
	f := newFixture(t)
	path := f.writeFile("wrong.ini", "[instance]\nid = entry 1\n[listen]\ncallers = nowhere\n[callers]\nmax-body-bytes = -5\n[stopp]\ngrace = 1s\n[platform]\ntimeout = soon\n")
	_, err := settings.Load(path)
	for _, want := range []string{"[instance] id", "[instance] domain", "[listen] callers", "[listen] peers", "[callers] max-body-bytes", "[stopp]", "[platform] timeout", "[peers] credential-file"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("the error does not name %s: %v", want, err)
		}
	}
}

// unknownFormatRecord is a stored record of format 9, which no release writes yet.
var unknownFormatRecord = []byte{0xa1, 0x01, 0x09}

// writeRecord writes a record to the store, overwriting any, and returns its version.
func (f *fixture) writeRecord(key string, value []byte) uint64 {
	f.t.Helper()
	client := f.platform.Store().Client("test")
	version, err := client.CompareAndSwap(f.t.Context(), key, f.platform.Store().Record(key).Version, value)
	if err != nil {
		f.t.Fatal(err)
	}
	return version
}

// checkUnchanged fails the test if a record no longer has the version.
func (f *fixture) checkUnchanged(key string, version uint64) {
	f.t.Helper()
	if got := f.platform.Store().Record(key); got.Version != version {
		f.t.Errorf("%s was overwritten: version %d, want %d, value %x", key, got.Version, version, got.Value)
	}
}

// readinessError returns the text of the error that says why inst is not ready.
func readinessError(inst *instance) string { return fmt.Sprint(inst.checkReady()) }

// Guards against an instance that overwrites a stored configuration of a newer release,
// or stops using the configuration in force because of it.
func TestConfigurationOfAnotherFormat(t *testing.T) {
	f := newFixture(t, fastEngine("llm-0"))
	inst := f.start("entry-1", nil)
	inst.applyAndWaitReady()
	version := f.writeRecord("config", unknownFormatRecord)
	f.waitUntil("stored configuration is refused", func() bool { return inst.configReplica.StoredDocumentError() != nil })
	var result operator.ConfigResult
	err := inst.operatorClient().Command(t.Context(), "retire", "c1", operator.EndpointRequest{Endpoint: "llm-0"}, &result)
	if err == nil || !strings.Contains(err.Error(), "format 9") {
		t.Errorf("change of a configuration of a newer format: %v", err)
	}
	if resp, err := inst.call("POST", "/v1/chat/completions", chatBody("x", 3)); err != nil || resp.status != 200 {
		t.Errorf("request under the configuration in force: %+v, %v", resp, err)
	}
	f.checkUnchanged("config", version)
	inst.stopAndWait()
	second := f.start("entry-2", nil) // no other instance runs that could send it the older document
	f.waitUntil("readiness names the format", func() bool { return strings.Contains(readinessError(second), "format 9") })
	f.checkUnchanged("config", version)
}

// Guards against overwriting a shard map or a budget of a newer release, and against
// reporting such a budget to a caller as exhausted.
func TestRecordsOfAnotherFormat(t *testing.T) {
	budget := ledger.BudgetKey{Workspace: "clinic", Budget: "main"}.StoreKey()
	t.Run("budget", func(t *testing.T) {
		f := newFixture(t, fastEngine("llm-0"))
		version := f.writeRecord(budget, unknownFormatRecord)
		inst := f.start("entry-1", nil)
		inst.applyAndWaitReady()
		resp, err := inst.call("POST", "/v1/chat/completions", chatBody("x", 3))
		if err != nil || resp.status != 500 || resp.kind != "format" || resp.outcome != "not-run" {
			t.Errorf("request on the budget: %+v, %v", resp, err)
		}
		var spent operator.SpentReport
		if err := inst.operatorClient().Query(t.Context(), "spent", nil, &spent); err != nil || !strings.Contains(spent.Budgets[0].Fault, "format 9") {
			t.Errorf("spent: %+v, %v", spent, err)
		}
		err = inst.operatorClient().Command(t.Context(), "topup", "t1", operator.TopUpRequest{Budget: spent.Budgets[0].Budget, Amount: 5}, &operator.BudgetResult{})
		if err == nil || !strings.Contains(err.Error(), "format 9") {
			t.Errorf("top-up: %v", err)
		}
		f.checkUnchanged(budget, version)
	})
	t.Run("shard map", func(t *testing.T) {
		f := newFixture(t, fastEngine("llm-0"))
		version := f.writeRecord("shards/ikeja", unknownFormatRecord)
		inst := f.start("entry-1", nil)
		inst.apply()
		f.waitUntil("readiness names the format", func() bool { return strings.Contains(readinessError(inst), "shard map has format 9") })
		resp, err := inst.call("POST", "/v1/chat/completions", chatBody("x", 3), "Clementinerack-Timeout: 200ms")
		if err != nil || resp.status < 500 || resp.outcome != "not-run" {
			t.Errorf("request without a shard map: %+v, %v", resp, err)
		}
		f.checkUnchanged("shards/ikeja", version)
	})
}
