package node_test

import (
	"net/http"
	"testing"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// Guards against a request whose stated maximum wraps around and lifts the budget of its workspace.
func TestHugeMaximumLiftsNoBudget(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	m := f.start("n1")
	for _, counts := range []string{
		"17020,9223372036854775807", "9223372036854775807,1", "9223372036854775807,9223372036854775807", "9223372036854775807,0",
		"4611686018427387904,4611686018427387904", "0,9223372036854775808", "18446744073709551617,0", "1,99999999999999999999999",
	} {
		f.runner.SetScript(machines.Answer(http.StatusOK, "ran"))
		if status, _ := m.send("/chat/1", counts); status != http.StatusTooManyRequests {
			t.Errorf("a request for %s tokens got %d", counts, status)
		}
	}
	f.runner.SetScript(machines.Stream(1, 3, true))
	if status, _ := m.send("/chat/1", "100001,0"); status != http.StatusTooManyRequests {
		t.Errorf("a request for more than is prepaid got %d", status)
	}
	f.waitUntil("a request within the budget is served", func() bool { status, _ := m.send("/chat/1", "95000,0"); return status == http.StatusOK })
}
