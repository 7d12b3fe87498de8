package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/clementinerack/clementinerack/standins/knownred"
)

// invariants are the names of the invariants in section 1.1 of docs/design.md.
var invariants = []string{"I1", "I2", "I3", "I4", "I5", "I6", "I7", "I8"}

var (
	caseLine       = regexp.MustCompile(`case: (I[1-8](?:,I[1-8])*) (.*)`)
	notReachedLine = regexp.MustCompile(`cell not reached: (.*)`)
)

// isolatedSteps are the steps of the matrices whose cells are also run repeatedly
// in isolation; see isolatedRuns.
var isolatedSteps = []string{"drain", "takeover", "settle"}

// modulePrefix is removed from package names in the report.
const modulePrefix = "github.com/clementinerack/clementinerack/"

// event is one line of the output of go test -json.
type event struct {
	Action, Package, ImportPath, Test, Output string
}

// result collects the outcome and the output of one test.
type result struct {
	name       string // package and test, separated by a space
	invariants []string
	passed     bool
	failed     bool
	notReached string
	output     []string
}

// report holds the results and the known failures by the name of the test.
type report struct {
	results map[string]*result
	known   map[string]knownred.Entry
}

func newReport(known []knownred.Entry) *report {
	r := &report{results: map[string]*result{}, known: map[string]knownred.Entry{}}
	for _, e := range known {
		r.known[e.Name()] = e
	}
	return r
}

// add adds one line of the output of go test -json. It ignores lines that are not
// JSON: they are build output, and an event for the failed build follows.
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
		t.addOutput(e.Output)
	case "pass":
		t.passed = true
	case "fail", "build-fail":
		t.failed = true
	}
}

// addOutput adds a line of the test's output and extracts the invariants or the
// reason for a cell that was not reached.
func (t *result) addOutput(output string) {
	if m := caseLine.FindStringSubmatch(output); m != nil {
		t.invariants = strings.Split(m[1], ",")
	}
	if m := notReachedLine.FindStringSubmatch(output); m != nil {
		t.notReached = m[1]
	}
	t.output = append(t.output, output)
}

// isUnfinished returns whether the test is a case that neither passed nor failed,
// because the test binary ended early.
func (t *result) isUnfinished() bool { return len(t.invariants) > 0 && !t.passed && !t.failed }

// failures returns the failed and unfinished tests, sorted by name, without those
// that failed because one of their subtests or tests did.
func (r *report) failures() []*result {
	var out []*result
	for _, name := range slices.Sorted(maps.Keys(r.results)) {
		t := r.results[name]
		if t.isUnfinished() || t.failed && !r.hasFailedPart(name) {
			out = append(out, t)
		}
	}
	return out
}

// hasFailedPart returns whether a subtest, or for a package any of its tests,
// failed or is unfinished.
func (r *report) hasFailedPart(name string) bool {
	for other, t := range r.results {
		if (t.failed || t.isUnfinished()) && (strings.HasPrefix(other, name+"/") || !strings.Contains(name, " ") && strings.HasPrefix(other, name+" ")) {
			return true
		}
	}
	return false
}

func (r *report) hasFailures() bool { return len(r.failures()) > 0 }

// isolatedRuns returns the arguments of go test for repeated runs of single cells.
// They cover the cells whose result depends on the scheduling of goroutines:
// together with the other cells of the matrix fewer schedules occur.
func (r *report) isolatedRuns(repeat int, timeout string) [][]string {
	var out [][]string
	for _, name := range slices.Sorted(maps.Keys(r.results)) {
		pkg, test, _ := strings.Cut(name, " ")
		parts := strings.Split(test, "/")
		if len(parts) != 3 || !slices.Contains(isolatedSteps, parts[2]) {
			continue
		}
		for i := range parts {
			parts[i] = "^" + regexp.QuoteMeta(parts[i]) + "$"
		}
		out = append(out, []string{"-run", strings.Join(parts, "/"), fmt.Sprintf("-count=%d", repeat), timeout, "./" + pkg})
	}
	return out
}

// violations returns the failures that are not listed as known.
func (r *report) violations() []*result {
	return slices.DeleteFunc(r.failures(), func(t *result) bool { _, ok := r.known[t.name]; return ok })
}

// isOK returns whether there were cases and no violations.
func (r *report) isOK() bool {
	return len(r.violations()) == 0 && slices.ContainsFunc(slices.Collect(maps.Values(r.results)), func(t *result) bool { return len(t.invariants) > 0 })
}

// write prints the report. It ends with the table by invariant.
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
		cases, violations, knownRed := r.countCases(i)
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\n", i, cases, violations, knownRed)
	}
	_ = table.Flush() // an error comes only from w
}

// countCases returns the number of cases that check an invariant, of its
// violations and of its known failures.
func (r *report) countCases(invariant string) (cases, violations, knownRed int) {
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
			knownRed++
		case failed[name]:
			violations++
		}
	}
	return cases, violations, knownRed
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
		case t.failed || t.isUnfinished():
			state = "failed as known"
		case t.passed:
			state = "passed"
		}
		fmt.Fprintf(w, "\nKNOWN RED %s (%s)\n%s\n", name, state, r.known[name].Details)
	}
}
