package integration

import (
	"os"
	"strings"
	"testing"
)

// knownRedFile lists the tests that fail because of known faults. An entry begins
// with a line "test: test/integration <name>"; the name also covers its subtests.
const knownRedFile = "../../KNOWN-RED.txt"

// skipKnownRed skips a test that knownRedFile lists and logs its entry.
func skipKnownRed(t *testing.T) {
	t.Helper()
	data, err := os.ReadFile(knownRedFile)
	if os.IsNotExist(err) {
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	for entry := range strings.SplitSeq(string(data), "\n\n") {
		name, ok := strings.CutPrefix(strings.TrimSpace(strings.SplitN(strings.TrimSpace(entry), "\n", 2)[0]), "test: test/integration ")
		if ok && (t.Name() == name || strings.HasPrefix(t.Name(), name+"/")) {
			t.Skipf("known red:\n%s", strings.TrimSpace(entry))
		}
	}
}
