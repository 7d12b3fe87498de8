// Command faultreport runs the fault tests and ends with one line per invariant
// of docs/design.md: the cases that checked it, the violations, and the failures
// that KNOWN-RED.txt lists. It ends with code 0 only without violations outside
// that list.
//
// A case is a test that logs the line "case: I1,I2 <name>" with the invariants
// that it checks. A failing case is a violation of each of them.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"time"

	"github.com/alecthomas/kong"
)

type flags struct {
	KnownRed string        `default:"KNOWN-RED.txt" help:"List of known failures; a missing file is an empty list."`
	Timeout  time.Duration `default:"7m" help:"Bound of each run of go test."`
	Run      string        `default:"." help:"Regular expression that selects the cases over processes."`
	Repeat   int           `default:"5" help:"Runs of each cell of the steps drain, takeover and settle on its own."`
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

// run executes both kinds of fault tests and reports whether there were no
// violations but the known ones.
func run(f flags, out io.Writer) (bool, error) {
	known, err := readKnown(f.KnownRed)
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
	for _, args := range r.aloneRuns(f.Repeat, timeout) {
		if err := r.goTest(args); err != nil {
			return false, err
		}
	}
	r.write(out)
	return r.ok(), nil
}

// goTest adds the results of one run of go test. That tests fail is no error.
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
	if err != nil && !r.failedAny() {
		return fmt.Errorf("go test %v: %w", args, err)
	}
	return nil
}

// maxLineBytes bounds one event of go test -json.
const maxLineBytes = 4 << 20
