// Package examples tests that the example files are valid.
package examples

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/clementinerack/clementinerack/pkg/declare"
	"github.com/clementinerack/clementinerack/pkg/settings"
)

// Guards against example settings that the daemon rejects.
func TestSettings(t *testing.T) {
	text, err := os.ReadFile("entry-1.ini")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	for _, name := range []string{"peer.credential", "operator.token"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte("secret"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	path := filepath.Join(dir, "entry-1.ini")
	if err := os.WriteFile(path, []byte(strings.ReplaceAll(string(text), "= tmp/", "= "+dir+"/")), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := settings.Load(path); err != nil {
		t.Error(err)
	}
}

// Guards against example declarations that the apply command rejects.
func TestDeclarations(t *testing.T) {
	for _, name := range []string{"local.ini", "deployment-b.ini"} {
		f, err := os.Open(name)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := declare.Parse(name, f); err != nil {
			t.Error(err)
		}
		_ = f.Close()
	}
}
