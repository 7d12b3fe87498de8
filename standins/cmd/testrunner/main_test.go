package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// module has a test that fails in one of two packages and a subtest that fails.
var module = map[string]string{
	"go.mod":      "module example.com/m\n\ngo 1.26\n",
	"a/a_test.go": "package a\n\nimport \"testing\"\n\nfunc TestX(t *testing.T) { t.Fatal(\"fault of a\") }\n\nfunc TestXY(*testing.T) {}\n",
	"b/b_test.go": "package b\n\nimport \"testing\"\n\nfunc TestX(t *testing.T) {\n\tt.Run(\"good\", func(*testing.T) {})\n\tt.Run(\"bad\", func(t *testing.T) { t.Fatal(\"fault of b\") })\n}\n",
}

// Guards against a list of known failures that covers other tests than the listed ones.
func TestOnlyListedTestsMayFail(t *testing.T) {
	const a, b = "test: a TestX\nseen: first\n\n", "test: b TestX/bad\nseen: second\n\n"
	for _, c := range []struct {
		desc, known string
		ok          bool
		want        []string
	}{
		{"both are listed", a + b, true, []string{"KNOWN RED a TestX (failed as known)\nseen: first", "KNOWN RED b TestX/bad (failed as known)\nseen: second"}},
		{"none is listed", "", false, []string{"fault of a", "fault of b"}},
		{"the same test of another package", b, false, []string{"--- FAIL: TestX "}},
		{"another subtest", a + "test: b TestX/good\n", false, []string{"KNOWN RED b TestX/good (passed)"}},
		{"a test with a longer name", a + b + "test: a TestXY\n", true, []string{"KNOWN RED a TestXY (passed)"}},
		{"an unknown package", a + b + "test: c TestX\n", true, []string{"KNOWN RED c TestX (not run)"}},
	} {
		t.Run(c.desc, func(t *testing.T) {
			dir := t.TempDir()
			for name, text := range module {
				path := filepath.Join(dir, name)
				if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			if err := os.WriteFile(filepath.Join(dir, "known"), []byte(c.known), 0o600); err != nil {
				t.Fatal(err)
			}
			t.Chdir(dir)
			var out strings.Builder
			ok, err := run(flags{KnownRed: "known", Timeout: time.Minute, Packages: []string{"./..."}}, &out)
			if err != nil || ok != c.ok {
				t.Errorf("ok is %v, %v", ok, err)
			}
			for _, want := range c.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("no %q in\n%s", want, out.String())
				}
			}
		})
	}
}
