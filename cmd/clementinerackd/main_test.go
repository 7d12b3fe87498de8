package main

import (
	"os/exec"
	"strings"
	"testing"
)

// TestDaemonLinksNoIris guards against linking the HTTP library of the stand-ins
// into the daemon, where it would use memory that a node needs for control; see
// docs/decisions/http-library.md.
func TestDaemonLinksNoIris(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").CombinedOutput()
	if err != nil {
		t.Fatalf("go list: %v: %s", err, out)
	}
	if !strings.Contains(string(out), "pkg/daemon") || strings.Contains(string(out), "kataras/") || strings.Contains(string(out), "standins/") {
		t.Errorf("the daemon depends on:\n%s", out)
	}
}
