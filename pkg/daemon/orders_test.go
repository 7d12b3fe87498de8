package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/clementinerack/clementinerack/pkg/operator"
	"github.com/clementinerack/clementinerack/standins/engine"
)

// engineState returns the state that engine n reports.
func (f *fixture) engineState(n int) engine.State {
	f.t.Helper()
	resp, err := f.client.Get("http://" + f.engineAddresses[n] + "/v1/state")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var s engine.State
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		f.t.Fatal(err)
	}
	return s
}

// sendStaleOrder sends engine n an order with an outdated fencing token, as an instance
// would that was paused past the end of its lease. It returns the status and the engine
// state of the response.
func (f *fixture) sendStaleOrder(n int) (int, engine.State) {
	f.t.Helper()
	body := `{"fencing":0,"orderer":"paused","state":{"model":"old","version":"v0","adapters":[],"role":""}}`
	resp, err := f.client.Post("http://"+f.engineAddresses[n]+"/v1/orders", "application/json", strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var s engine.State
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		f.t.Fatal(err)
	}
	return resp.StatusCode, s
}

// Guards against a reconfiguration that does not reach an engine, and against a stale
// order that stays in effect at an engine that ignores fencing tokens.
func TestReconfigureReachesEngines(t *testing.T) {
	unfenced := fastEngine("llm-1")
	unfenced.IgnoreFencing = true
	f := newFixture(t, fastEngine("llm-0"), unfenced)
	inst := f.start("entry-1", nil)
	inst.applyAndWaitReady()
	reconfigure := func(id string, n int, version string) {
		t.Helper()
		model := "notas"
		req := operator.ReconfigureRequest{Endpoint: fmt.Sprintf("llm-%d", n), Model: &model, Version: &version}
		if err := inst.operatorClient().Command(t.Context(), "reconfigure", id, req, &operator.ConfigResult{}); err != nil {
			t.Fatal(err)
		}
		f.waitUntil("engine runs "+version, func() bool { s := f.engineState(n); return s.Model == model && s.Version == version })
	}
	reconfigure("c1", 0, "v1")
	reconfigure("c2", 1, "v1")
	if s := f.engineState(0); s.Fencing == 0 {
		t.Errorf("the order carried no fencing token: %+v", s)
	}
	if status, _ := f.sendStaleOrder(0); status != http.StatusConflict || f.engineState(0).Version != "v1" {
		t.Errorf("stale order to an engine that checks fencing tokens: status %d, state %+v", status, f.engineState(0))
	}
	if status, s := f.sendStaleOrder(1); status != http.StatusOK || s.Version != "v0" {
		t.Errorf("stale order to an engine that ignores fencing tokens: status %d, state %+v", status, s)
	}
	reconfigure("c3", 0, "v2") // triggers a round, which also reads the other engine
	f.waitUntil("stale order is undone", func() bool { s := f.engineState(1); return s.Model == "notas" && s.Version == "v1" })
}
