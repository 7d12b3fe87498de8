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

// Guards against malformed requests that reach an engine, are charged, or end
// without a typed error, in the assembled instance.
func TestBadInput(t *testing.T) {
	r := newRig(t, fastEngine("llm-0"))
	i := r.start("entry-1", map[string]string{"callers": "max-body-bytes = 4096\n"})
	i.apply()
	const chatPath, auth = "/v1/chat/completions", "Authorization: Bearer "
	cases := []struct {
		desc, path, body string
		headers          []string
		status           int
		kind             string
	}{
		{"oversized JSON", chatPath, chat(strings.Repeat("x", 5000), 3), nil, 400, "invalid"},
		{"broken JSON", chatPath, chat("x", 3)[:40], nil, 400, "invalid"},
		{"no JSON", chatPath, "\x00\xff", nil, 400, "invalid"},
		{"deep JSON", chatPath, strings.Repeat("[", 4000), nil, 400, "invalid"},
		{"duplicate member", chatPath, `{"model":"llm",` + chat("x", 3)[1:], nil, 400, "invalid"},
		{"negative max_tokens", chatPath, chat("x", -1), nil, 400, "invalid"},
		{"huge max_tokens", chatPath, chat("x", 1<<40), nil, 400, "invalid"},
		{"max_tokens beyond an integer", chatPath, strings.Replace(chat("x", 3), ":3,", ":1e400,", 1), nil, 400, "invalid"},
		{"duplicate id", chatPath, chat("x", 3), []string{"Idempotency-Key: a", "Idempotency-Key: b"}, 400, "invalid"},
		{"duplicate credential", chatPath, chat("x", 3), []string{auth + "secret"}, 400, "invalid"},
		{"malformed budget", chatPath, chat("x", 3), []string{"Clementinerack-Budget: ../main"}, 400, "invalid"},
		{"unknown budget", chatPath, chat("x", 3), []string{"Clementinerack-Budget: other"}, 402, "budget-exhausted"},
		{"unknown model", chatPath, strings.Replace(chat("x", 3), "llm", "gpt", 1), nil, 404, "not-found"},
		{"model service as app", "/v1/apps/llm/x", "", nil, 404, "not-found"},
		{"unknown path", "/v1/completions", "", nil, 404, "not-found"},
		{"header too long", chatPath, chat("x", 3), []string{"X-Long: " + strings.Repeat("x", 64<<10)}, 431, ""},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			a, err := i.call("POST", c.path, c.body, c.headers...)
			if err != nil || a.status != c.status || a.kind != c.kind || c.kind != "" && !strings.Contains(a.body, `"remedy"`) {
				t.Errorf("%+v, %v; want status %d, kind %q and a remedy", a, err, c.status, c.kind)
			}
		})
	}
	t.Run("unknown workspace", func(t *testing.T) {
		req, _ := http.NewRequest("POST", "http://"+i.settings.Listen.Callers+chatPath, strings.NewReader(chat("x", 3)))
		req.Header.Set("Authorization", "Bearer other")
		resp, err := r.client.Do(req)
		if err != nil || resp.StatusCode != 401 {
			t.Errorf("%+v, %v", resp, err)
		}
		_ = resp.Body.Close()
	})
	var spent operator.SpentReport
	if err := i.operator().Query(t.Context(), "spent", nil, &spent); err != nil || spent.Budgets[0].Now == nil || spent.Budgets[0].Now.Charged+spent.Budgets[0].Now.Reserved != 0 {
		t.Errorf("charged for malformed requests: %+v, %v", spent, err)
	}
	if a, err := i.call("POST", chatPath, chat("x", 3)); err != nil || a.status != 200 {
		t.Errorf("valid request afterwards: %+v, %v", a, err)
	}
}

// Guards against settings whose faults show one after the other.
func TestInvalidSettings(t *testing.T) {
	r := newRig(t)
	path := r.file("wrong.ini", "[instance]\nid = entry 1\n[listen]\ncallers = nowhere\n[callers]\nmax-body-bytes = -5\n[stopp]\ngrace = 1s\n[platform]\ntimeout = soon\n")
	_, err := settings.Load(path)
	for _, want := range []string{"[instance] id", "[instance] domain", "[listen] callers", "[listen] peers", "[callers] max-body-bytes", "[stopp]", "[platform] timeout", "[peers] credential-file"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s is missing in: %v", want, err)
		}
	}
}

// otherFormat is the stored form of a record with format 9.
var otherFormat = []byte{0xa1, 0x01, 0x09}

func (r *rig) store(key string, value []byte) uint64 {
	r.t.Helper()
	client := r.platform.Store().Client("test")
	version, err := client.CompareAndSwap(r.t.Context(), key, r.platform.Store().Record(key).Version, value)
	if err != nil {
		r.t.Fatal(err)
	}
	return version
}

func (r *rig) unchanged(key string, version uint64) {
	r.t.Helper()
	if got := r.platform.Store().Record(key); got.Version != version {
		r.t.Errorf("%s was overwritten: version %d, want %d, value %x", key, got.Version, version, got.Value)
	}
}

func readiness(i *instance) string { return fmt.Sprint(i.ready()) }

// Guards against an instance that overwrites a configuration of a newer release,
// or drops the one in force because of it.
func TestConfigurationOfAnotherFormat(t *testing.T) {
	r := newRig(t, fastEngine("llm-0"))
	i := r.start("entry-1", nil)
	i.apply()
	version := r.store("config", otherFormat)
	r.until("the value is refused", func() bool { return i.replica.StoredValueError() != nil })
	var result operator.ConfigResult
	err := i.operator().Command(t.Context(), "retire", "c1", operator.EndpointRequest{Endpoint: "llm-0"}, &result)
	if err == nil || !strings.Contains(err.Error(), "format 9") {
		t.Errorf("change of a newer configuration: %v", err)
	}
	if a, err := i.call("POST", "/v1/chat/completions", chat("x", 3)); err != nil || a.status != 200 {
		t.Errorf("request under the configuration in force: %+v, %v", a, err)
	}
	r.unchanged("config", version)
	i.stopNow()
	alone := r.start("entry-2", nil) // has no peer to learn the older document from
	r.until("readiness names the format", func() bool { return strings.Contains(readiness(alone), "format 9") })
	r.unchanged("config", version)
}

// Guards against a shard map or budget of a newer release that is overwritten,
// or told to a caller as an empty budget.
func TestRecordsOfAnotherFormat(t *testing.T) {
	budget := ledger.BudgetKey{Workspace: "clinic", Budget: "main"}.StoreKey()
	t.Run("budget", func(t *testing.T) {
		r := newRig(t, fastEngine("llm-0"))
		version := r.store(budget, otherFormat)
		i := r.start("entry-1", nil)
		i.apply()
		a, err := i.call("POST", "/v1/chat/completions", chat("x", 3))
		if err != nil || a.status != 500 || a.kind != "format" || a.outcome != "not-run" {
			t.Errorf("request on the budget: %+v, %v", a, err)
		}
		var spent operator.SpentReport
		if err := i.operator().Query(t.Context(), "spent", nil, &spent); err != nil || !strings.Contains(spent.Budgets[0].Fault, "format 9") {
			t.Errorf("spent: %+v, %v", spent, err)
		}
		err = i.operator().Command(t.Context(), "topup", "t1", operator.TopUpRequest{Budget: spent.Budgets[0].Budget, Amount: 5}, &operator.BudgetResult{})
		if err == nil || !strings.Contains(err.Error(), "format 9") {
			t.Errorf("top-up: %v", err)
		}
		r.unchanged(budget, version)
	})
	t.Run("shard map", func(t *testing.T) {
		r := newRig(t, fastEngine("llm-0"))
		version := r.store("shards/ikeja", otherFormat)
		i := r.start("entry-1", nil)
		i.applyUnready()
		r.until("readiness names the format", func() bool { return strings.Contains(readiness(i), "shard map has format 9") })
		a, err := i.call("POST", "/v1/chat/completions", chat("x", 3), "Clementinerack-Timeout: 200ms")
		if err != nil || a.status < 500 || a.outcome != "not-run" {
			t.Errorf("request without a shard map: %+v, %v", a, err)
		}
		r.unchanged("shards/ikeja", version)
	})
}
