// Command faultreport runs the fault tests and prints one line per invariant of
// docs/design.md at the end: the number of cases that checked it, of violations,
// and of failures that are listed in KNOWN-RED.txt. The exit code is 0 only if
// there are no violations outside that list.
//
// A case is a test that logs the line "case: I1,I2 <name>" with the invariants
// that it checks. A failed case is a violation of each of them.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"time"

	"github.com/alecthomas/kong"

	"github.com/clementinerack/clementinerack/standins/knownred"
)

type flags struct {
	KnownRed string        `default:"KNOWN-RED.txt" help:"List of known failures; a missing file is an empty list."`
	Timeout  time.Duration `default:"7m" help:"Timeout of each run of go test."`
	Run      string        `default:"." help:"Regular expression that selects the cases of the process-level tests."`
	Repeat   int           `default:"5" help:"Number of isolated runs of each cell of the steps drain, takeover and settle."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Description("Run the fault tests and count violations by invariant."))
	ok, err := run(f, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "faultreport:", err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

// run runs both kinds of fault tests and prints the report to out. It returns
// whether there were cases and only known violations.
func run(f flags, out io.Writer) (bool, error) {
	known, err := knownred.Read(f.KnownRed)
	if err != nil {
		return false, err
	}
	r := newReport(known)
	timeout := "-timeout=" + f.Timeout.String()
	for _, args := range [][]string{
		{"-run", "^TestMatrix", timeout, "./..."},
		{"-tags", "processes", "-run", "^TestProcesses$/" + f.Run, timeout, "./test/processes"},
	} {
		fmt.Fprintln(out, "go test", args)
		if err := r.goTest(args); err != nil {
			return false, err
		}
	}
	for _, args := range r.isolatedRuns(f.Repeat, timeout) {
		if err := r.goTest(args); err != nil {
			return false, err
		}
	}
	r.write(out)
	return r.isOK(), nil
}

// goTest adds the results of one run of go test. Failed tests are results, not an
// error.
func (r *report) goTest(args []string) error {
	cmd := exec.Command("go", append([]string{"test", "-json", "-count=1"}, args...)...)
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(stdout)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		r.add(lines.Bytes())
	}
	err = cmd.Wait()
	if lines.Err() != nil {
		return lines.Err()
	}
	if err != nil && !r.hasFailures() {
		return fmt.Errorf("go test %v: %w", args, err)
	}
	return nil
}

// maxLineBytes bounds one line of the output of go test -json.
const maxLineBytes = 4 << 20
