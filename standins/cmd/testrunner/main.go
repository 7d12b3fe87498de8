// Command testrunner runs go test on all packages and passes over exactly the
// tests that KNOWN-RED.txt lists. It runs those separately and prints each with its
// entry; their results do not change the exit code.
package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"github.com/clementinerack/clementinerack/standins/knownred"
)

type flags struct {
	KnownRed string        `default:"KNOWN-RED.txt" help:"List of known failures; a missing file is an empty list."`
	Timeout  time.Duration `default:"8m" help:"Timeout of each run of go test."`
	Apart    []string      `default:"./test/clients" help:"Packages whose tests run after the others, beside no other package."`
	Packages []string      `arg:"" optional:"" default:"./..." help:"Packages to test."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Description("Run the tests except for the known failures, which are run and printed separately."))
	ok, err := run(f, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "testrunner:", err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

// run runs the tests and reports whether all that are not listed passed.
func run(f flags, out io.Writer) (bool, error) {
	entries, err := knownred.Read(f.KnownRed)
	if err != nil {
		return false, err
	}
	packages, err := listPackages(f.Packages)
	if err != nil {
		return false, err
	}
	ok := true
	for _, args := range unlistedRuns(packages, f.Apart, entries) {
		passed, err := goTest(out, f.Timeout, args)
		if err != nil {
			return false, err
		}
		ok = ok && passed
	}
	for _, e := range entries {
		if !slices.Contains(packages, "./"+e.Package) {
			fmt.Fprintf(out, "\nKNOWN RED %s (not run)\n%s\n", e.Name(), e.Details)
			continue
		}
		var output strings.Builder
		passed, err := goTest(&output, f.Timeout, []string{"-run", e.Pattern(), "./" + e.Package})
		if err != nil {
			return false, err
		}
		state := "failed as known"
		if passed {
			state = "passed"
		}
		fmt.Fprintf(out, "\nKNOWN RED %s (%s)\n%s\n%s", e.Name(), state, e.Details, indent(output.String()))
	}
	return ok, nil
}

// unlistedRuns returns the arguments of the runs of go test that together cover all
// tests but the listed ones: one for the packages without an entry and one for each
// package with entries or in apart.
func unlistedRuns(packages, apart []string, entries []knownred.Entry) [][]string {
	patterns := map[string][]string{}
	for _, e := range entries {
		patterns["./"+e.Package] = append(patterns["./"+e.Package], e.Pattern())
	}
	var unlisted []string
	var runs [][]string
	for _, pkg := range packages {
		if len(patterns[pkg]) == 0 && slices.Contains(apart, pkg) {
			runs = append(runs, []string{pkg})
			continue
		}
		if len(patterns[pkg]) == 0 {
			unlisted = append(unlisted, pkg)
			continue
		}
		runs = append(runs, []string{"-skip", strings.Join(patterns[pkg], "|"), pkg})
	}
	if len(unlisted) > 0 {
		runs = append([][]string{unlisted}, runs...)
	}
	return runs
}

// listPackages returns the packages that match the patterns, as directories that begin
// with "./".
func listPackages(patterns []string) ([]string, error) {
	module, err := exec.Command("go", "list", "-m").Output()
	if err != nil {
		return nil, errors.Wrap(err, "go list -m")
	}
	names, err := exec.Command("go", append([]string{"list"}, patterns...)...).Output()
	if err != nil {
		return nil, errors.Wrap(err, "go list")
	}
	var packages []string
	for name := range strings.FieldsSeq(string(names)) {
		packages = append(packages, "."+strings.TrimPrefix(name, strings.TrimSpace(string(module))))
	}
	return packages, nil
}

// goTest runs go test and reports whether the tests passed.
func goTest(out io.Writer, timeout time.Duration, args []string) (bool, error) {
	cmd := exec.Command("go", append([]string{"test", "-count=1", "-timeout", timeout.String()}, args...)...)
	cmd.Stdout, cmd.Stderr = out, out
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return false, nil
	}
	return err == nil, err
}

// indent distinguishes the output of a known failure from that of the other tests.
func indent(text string) string {
	var b strings.Builder
	for line := range strings.Lines(text) {
		b.WriteString("    " + line)
	}
	return b.String()
}
