package main

import (
	"strings"
	"testing"
)

// Guards against refusals of one cause that are counted with those of another, or for another domain.
func TestReportCountsByCause(t *testing.T) {
	const log = `noise
  -1.0 a-1 {"domain":"a","instance":"a-1-x","msg":"instance started"}
   0.1 a-1 {"msg":"request served","status":200,"workspace":"w"}
   0.2 a-1 {"cause":"rights","kind":"stream","ms":5,"msg":"request limited","retry_after_ms":400,"route":"r","status":429,"workspace":"w"}
   0.3 b-1 {"cause":"deadline","kind":"stream","ms":50,"msg":"request timeout","route":"r","status":504,"workspace":"v"}
`
	var out strings.Builder
	if err := run(flags{Top: 1}, strings.NewReader(log), &out); err != nil {
		t.Fatal(err)
	}
	got := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{"3 requests", "rights 1 0 5 400 w 1 r stream 1 a 1", "deadline 0 1 50 0 v 1 r stream 1 unknown 1"} {
		if !strings.Contains(got, want) {
			t.Errorf("the report lacks %q:\n%s", want, out.String())
		}
	}
}
