package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/clementinerack/clementinerack/standins/knownred"
)

const events = `{"Action":"output","Package":"github.com/clementinerack/clementinerack/pkg/a","Test":"TestMatrix/x","Output":"    f.go:1: case: I1,I2 x\n"}
{"Action":"fail","Package":"github.com/clementinerack/clementinerack/pkg/a","Test":"TestMatrix/x"}
{"Action":"output","Package":"github.com/clementinerack/clementinerack/pkg/a","Test":"TestMatrix/y","Output":"    f.go:1: case: I1 y\n"}
{"Action":"output","Package":"github.com/clementinerack/clementinerack/pkg/a","Test":"TestMatrix/y","Output":"    f.go:1: cell not reached: no step\n"}
{"Action":"pass","Package":"github.com/clementinerack/clementinerack/pkg/a","Test":"TestMatrix/y"}
{"Action":"fail","Package":"github.com/clementinerack/clementinerack/pkg/a","Test":"TestMatrix"}
{"Action":"fail","Package":"github.com/clementinerack/clementinerack/pkg/a"}
`

// Guards against a report that misses failed cases, failed builds, tests that did
// not finish, or runs without any case.
func TestReport(t *testing.T) {
	for _, c := range []struct {
		desc, events, known string
		ok                  bool
		want                []string
	}{
		{"violation", events, "", false, []string{"VIOLATION pkg/a TestMatrix/x", "1 cells not reached", "I1         2      1           0", "I2         1      1           0"}},
		{"known", events, "test: pkg/a TestMatrix/x\nissue: 4\n", true, []string{"KNOWN RED pkg/a TestMatrix/x (failed as known)", "I1         2      0           1"}},
		{"another test is known", events, "test: pkg/a TestMatrix\nissue: 4\n", false, []string{"VIOLATION pkg/a TestMatrix/x"}},
		{"build", `{"Action":"build-fail","ImportPath":"b [b.test]"}`, "", false, []string{"VIOLATION b"}},
		{"unfinished", `{"Action":"output","Package":"a","Test":"T/x","Output":"case: I7 x"}`, "", false, []string{"I7         1      1           0"}},
		{"no case", `{"Action":"pass","Package":"a","Test":"T"}`, "", false, nil},
	} {
		t.Run(c.desc, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "known")
			if err := os.WriteFile(path, []byte(c.known), 0o600); err != nil {
				t.Fatal(err)
			}
			known, err := knownred.Read(path)
			if err != nil {
				t.Fatal(err)
			}
			r := newReport(known)
			for line := range strings.Lines(c.events) {
				r.add([]byte(line))
			}
			var out strings.Builder
			r.write(&out)
			if r.isOK() != c.ok {
				t.Errorf("ok is %v, want %v", r.isOK(), c.ok)
			}
			for _, want := range c.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("no line %q in\n%s", want, out.String())
				}
			}
		})
	}
}
