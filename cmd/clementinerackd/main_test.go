package main

import (
	"os/exec"
	"strings"
	"testing"
)

// Guards against a library for the stand-ins that gets linked into the daemon
// and takes memory that a node has for control; see docs/decisions/http-library.md.
func TestDaemonLinksNoIris(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").CombinedOutput()
	if err != nil {
		t.Fatalf("go list: %v: %s", err, out)
	}
	if !strings.Contains(string(out), "pkg/daemon") || strings.Contains(string(out), "kataras/") || strings.Contains(string(out), "standins/") {
		t.Errorf("the daemon depends on:\n%s", out)
	}
}
