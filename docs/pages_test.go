// Package docs checks the pages against the code.
package docs

import (
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/clementinerack/clementinerack/pkg/declare"
	"github.com/clementinerack/clementinerack/pkg/settings"
)

// rows returns the rows "section key default" of the tables of one chapter.
func rows(t *testing.T, chapter string) []string {
	t.Helper()
	page, err := os.ReadFile("operators.md")
	if err != nil {
		t.Fatal(err)
	}
	_, text, ok := strings.Cut(string(page), "\n## "+chapter)
	if !ok {
		t.Fatalf("chapter %q is missing", chapter)
	}
	text, _, _ = strings.Cut(text, "\n## ")
	var out []string
	for _, m := range regexp.MustCompile("(?m)^\\| `\\[([a-z]+)[^`]*` \\| `([^`]+)` \\| ([^|]+) \\|").FindAllStringSubmatch(text, -1) {
		out = append(out, m[1]+" "+m[2]+" "+m[3])
	}
	return out
}

// Guards against a manual whose settings or defaults differ from those of the
// daemon.
func TestSettings(t *testing.T) {
	var want []string
	for _, k := range settings.Reference() {
		def := k.Default
		switch {
		case k.Optional:
			def = "none"
		case def == "":
			def = "required"
		}
		want = append(want, k.Section+" "+k.Name+" "+def)
	}
	if got := rows(t, "1. Settings"); !slices.Equal(got, want) {
		t.Errorf("the page has\n%s\nthe code has\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// Guards against a manual whose declarations differ from those of the parser.
func TestDeclarations(t *testing.T) {
	want := map[string]bool{}
	for kind, keys := range declare.Keys() {
		for _, key := range keys {
			want[kind+" "+key] = true
		}
	}
	got := map[string]bool{}
	for _, row := range rows(t, "2. Declarations") {
		words := strings.Fields(row)
		got[words[0]+" "+words[1]] = true
	}
	if !maps.Equal(got, want) {
		t.Errorf("the page has %v, the code has %v", slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want)))
	}
}
