package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCheckExitCodes(t *testing.T) {
	t.Setenv("CLEMENTINERACK_TOKEN_FILE", "")
	const sound, unused = "testdata/sound.json", "testdata/unused.json"
	file := filepath.Join(t.TempDir(), "declarations.ini")
	if err := os.WriteFile(file, []byte(declarations), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"check " + sound, exitDone, ""},
		{"check --in-force " + sound + " " + unused, exitDone, "- [route r]"},
		{"check --strict " + unused, exitFailed, "no route can choose it"},
		{"check --in-force " + unused + " " + sound, exitFailed, "not above 3"},
		{"check " + "testdata/odd.json", exitFailed, ""},
		{"check " + file, exitDone, ""},
		{"check missing.json", exitFailed, ""},
		{"check", exitUsage, ""},
		{"plan " + sound, exitUsage, ""},
	} {
		var out, errs bytes.Buffer
		code := run(t.Context(), strings.Fields(c.args), stdStreams{&out, &errs}, nil)
		if code != c.code || !strings.Contains(out.String(), c.want) {
			t.Errorf("%s: code %d, want %d; output %q lacks %q; errors %q", c.args, code, c.code, out.String(), c.want, errs.String())
		}
	}
}
