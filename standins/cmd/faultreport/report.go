package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"
)

// invariants of docs/design.md, section 1.1.
var invariants = []string{"I1", "I2", "I3", "I4", "I5", "I6", "I7", "I8"}

var (
	caseLine       = regexp.MustCompile(`case: (I[1-8](?:,I[1-8])*) (.*)`)
	notReachedLine = regexp.MustCompile(`cell not reached: (.*)`)
)

// aloneSteps are the steps of the matrices whose cells are repeated alone.
var aloneSteps = []string{"drain", "takeover", "settle"}

// modulePrefix is left out of the names of packages.
const modulePrefix = "github.com/clementinerack/clementinerack/"

// event is one line of go test -json.
type event struct {
	Action, Package, ImportPath, Test, Output string
}

// result is what is known of one test.
type result struct {
	name       string // package and test
	invariants []string
	passed     bool
	failed     bool
	notReached string
	output     []string
}

// report collects the results of tests by name.
type report struct {
	results map[string]*result
	known   map[string]known
}

func newReport(known map[string]known) *report {
	return &report{results: map[string]*result{}, known: known}
}

// add takes one line of go test -json. A line of another form is output of the
// build, which is followed by an event of its failure.
func (r *report) add(line []byte) {
	var e event
	if json.Unmarshal(line, &e) != nil {
		return
	}
	if e.Package == "" {
		e.Package, _, _ = strings.Cut(e.ImportPath, " ")
	}
	name := strings.TrimSpace(strings.TrimPrefix(e.Package, modulePrefix) + " " + e.Test)
	t := r.results[name]
	if t == nil {
		t = &result{name: name}
		r.results[name] = t
	}
	switch e.Action {
	case "output", "build-output":
		t.take(e.Output)
	case "pass":
		t.passed = true
	case "fail", "build-fail":
		t.failed = true
	}
}

func (t *result) take(output string) {
	if m := caseLine.FindStringSubmatch(output); m != nil {
		t.invariants = strings.Split(m[1], ",")
	}
	if m := notReachedLine.FindStringSubmatch(output); m != nil {
		t.notReached = m[1]
	}
	t.output = append(t.output, output)
}

// unfinished reports a case that neither passed nor failed, because the test
// binary ended early.
func (t *result) unfinished() bool { return len(t.invariants) > 0 && !t.passed && !t.failed }

// failures returns the failed tests without those that failed only because a
// part of them did.
func (r *report) failures() []*result {
	var out []*result
	for _, name := range slices.Sorted(maps.Keys(r.results)) {
		t := r.results[name]
		if t.unfinished() || t.failed && !r.partFailed(name) {
			out = append(out, t)
		}
	}
	return out
}

// partFailed reports whether a subtest, or for a package any of its tests, failed.
func (r *report) partFailed(name string) bool {
	for other, t := range r.results {
		if (t.failed || t.unfinished()) && (strings.HasPrefix(other, name+"/") || !strings.Contains(name, " ") && strings.HasPrefix(other, name+" ")) {
			return true
		}
	}
	return false
}

func (r *report) failedAny() bool { return len(r.failures()) > 0 }

// aloneRuns returns the arguments of go test that repeat, each on its own, the
// cells whose verdict depends on the order in which goroutines run: beside the
// other cells of the matrix they meet fewer orders.
func (r *report) aloneRuns(repeat int, timeout string) [][]string {
	var out [][]string
	for _, name := range slices.Sorted(maps.Keys(r.results)) {
		pkg, test, _ := strings.Cut(name, " ")
		parts := strings.Split(test, "/")
		if len(parts) != 3 || !slices.Contains(aloneSteps, parts[2]) {
			continue
		}
		for i := range parts {
			parts[i] = "^" + regexp.QuoteMeta(parts[i]) + "$"
		}
		out = append(out, []string{"-run", strings.Join(parts, "/"), fmt.Sprintf("-count=%d", repeat), timeout, "./" + pkg})
	}
	return out
}

// violations returns the failures that are not known.
func (r *report) violations() []*result {
	return slices.DeleteFunc(r.failures(), func(t *result) bool { _, ok := r.known[t.name]; return ok })
}

// ok reports whether there were cases and no violations.
func (r *report) ok() bool {
	return len(r.violations()) == 0 && slices.ContainsFunc(slices.Collect(maps.Values(r.results)), func(t *result) bool { return len(t.invariants) > 0 })
}

// write prints the report. Its last lines are the ones by invariant.
func (r *report) write(w io.Writer) {
	r.writeNotReached(w)
	for _, t := range r.violations() {
		fmt.Fprintf(w, "\nVIOLATION %s (%s)\n%s", t.name, strings.Join(t.invariants, ","), strings.Join(t.output, ""))
	}
	r.writeKnown(w)
	fmt.Fprintln(w)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "invariant\tcases\tviolations\tknown red")
	for _, i := range invariants {
		cases, violations, red := r.count(i)
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\n", i, cases, violations, red)
	}
	_ = table.Flush() // fails only if w does
}

func (r *report) count(invariant string) (cases, violations, red int) {
	failed := map[string]bool{}
	for _, t := range r.failures() {
		failed[t.name] = true
	}
	for name, t := range r.results {
		if !slices.Contains(t.invariants, invariant) {
			continue
		}
		cases++
		_, listed := r.known[name]
		switch {
		case failed[name] && listed:
			red++
		case failed[name]:
			violations++
		}
	}
	return cases, violations, red
}

func (r *report) writeNotReached(w io.Writer) {
	var names []string
	for name, t := range r.results {
		if t.notReached != "" {
			names = append(names, name+": "+t.notReached)
		}
	}
	slices.Sort(names)
	fmt.Fprintf(w, "\n%d cells not reached\n", len(names))
	for _, name := range names {
		fmt.Fprintln(w, " ", name)
	}
}

func (r *report) writeKnown(w io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(r.known)) {
		state := "was not run"
		switch t := r.results[name]; {
		case t == nil:
		case t.failed || t.unfinished():
			state = "failed as known"
		case t.passed:
			state = "passed"
		}
		fmt.Fprintf(w, "\nKNOWN RED %s (%s)\n%s\n", name, state, r.known[name].text)
	}
}

// known is an entry of KNOWN-RED.txt.
type known struct{ text string }

// readKnown reads entries that are separated by empty lines. The first line of
// an entry is "test: <package> <test>", as faultreport prints it. Lines that
// begin with # are comments.
func readKnown(path string) (map[string]known, error) {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	out := map[string]known{}
	for entry := range strings.SplitSeq(string(data), "\n\n") {
		var lines []string
		for line := range strings.Lines(entry) {
			if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
				lines = append(lines, line)
			}
		}
		if len(lines) == 0 {
			continue
		}
		name, ok := strings.CutPrefix(lines[0], "test: ")
		if !ok {
			return nil, fmt.Errorf("%s: the entry %q does not begin with \"test: <package> <test>\"", path, lines[0])
		}
		out[name] = known{strings.Join(lines[1:], "\n")}
	}
	return out, nil
}
