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

func (r *rig) engineState(n int) engine.State {
	r.t.Helper()
	resp, err := r.client.Get("http://" + r.engines[n] + "/v1/state")
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var s engine.State
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		r.t.Fatal(err)
	}
	return s
}

// lateOrder sends an order with an old fencing number, as an instance that was
// paused would, and returns the status and the state that the engine answers.
func (r *rig) lateOrder(n int) (int, engine.State) {
	r.t.Helper()
	body := `{"fencing":0,"orderer":"paused","state":{"model":"old","version":"v0","adapters":[],"role":""}}`
	resp, err := r.client.Post("http://"+r.engines[n]+"/v1/orders", "application/json", strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var s engine.State
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		r.t.Fatal(err)
	}
	return resp.StatusCode, s
}

// Guards against a reconfiguration that does not reach an engine, and against a
// late order that an engine without fencing keeps.
func TestReconfigureReachesEngines(t *testing.T) {
	ignoring := fastEngine("llm-1")
	ignoring.IgnoreFencing = true
	r := newRig(t, fastEngine("llm-0"), ignoring)
	i := r.start("entry-1", nil)
	i.apply()
	reconfigure := func(id string, n int, version string) {
		t.Helper()
		model := "notas"
		req := operator.ReconfigureRequest{Endpoint: fmt.Sprintf("llm-%d", n), Model: &model, Version: &version}
		if err := i.operator().Command(t.Context(), "reconfigure", id, req, &operator.ConfigResult{}); err != nil {
			t.Fatal(err)
		}
		r.until("engine runs "+version, func() bool { s := r.engineState(n); return s.Model == model && s.Version == version })
	}
	reconfigure("c1", 0, "v1")
	reconfigure("c2", 1, "v1")
	if s := r.engineState(0); s.Fencing == 0 {
		t.Errorf("the order carried no fencing number: %+v", s)
	}
	if status, _ := r.lateOrder(0); status != http.StatusConflict || r.engineState(0).Version != "v1" {
		t.Errorf("engine that checks: status %d, state %+v", status, r.engineState(0))
	}
	if status, s := r.lateOrder(1); status != http.StatusOK || s.Version != "v0" {
		t.Errorf("engine that ignores the number: status %d, state %+v", status, s)
	}
	reconfigure("c3", 0, "v2") // starts a round, which reads the other engine too
	r.until("the late order is undone", func() bool { s := r.engineState(1); return s.Model == "notas" && s.Version == "v1" })
}
