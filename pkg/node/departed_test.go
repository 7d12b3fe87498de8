package node_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// metricsText returns the text of the metrics.
func (m *member) metricsText() string {
	resp, err := m.f.client.Get("http://" + m.metrics + "/metrics")
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body) // an incomplete text lacks what the test waits for
	return string(text)
}

// Guards against idle connections that stay open to endpoints that have left.
func TestIdleConnectionsToDepartedEndpointsAreClosed(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	m := f.start("n1")
	f.runner.SetScript(machines.Answer(200, "whole"))
	for closed, leave := range []func(){
		func() {
			entry, _ := f.store.Get(machines.ServersPrefix + f.runner.ID)
			f.store.Put(machines.ServersPrefix+f.runner.ID, string(bytes.Replace(entry, []byte(`"ready"`), []byte(`"draining"`), 1)))
		},
		func() { f.store.Remove(machines.ServersPrefix + f.runner.ID) },
	} {
		f.waitUntil("an answer", func() bool { status, _ := m.send("/book/1", ""); return status == 200 })
		if f.runner.Connections() == 0 {
			t.Error("the connection to a serving endpoint is closed")
		}
		leave()
		f.waitUntil("closed connections", func() bool { return f.runner.Connections() == 0 })
		count := fmt.Sprintf("clementinerack_upstream_departed_closed_total %d\n", closed+1)
		f.waitUntil("the count", func() bool { return strings.Contains(m.metricsText(), count) })
		next, err := machines.StartRunner(fmt.Sprintf("next%d", closed), machines.Answer(200, "whole"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(next.Close)
		f.runner = next
		f.store.PutRunner(next, "z")
	}
}
