// Command refusals reads the log lines of instances and prints how many requests were not
// served, by cause, workspace, route and failure domain.
//
// A line may begin with other words, such as a time and the name of the instance. All lines
// without a JSON object are ignored.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

type flags struct {
	Top   int      `default:"5" help:"Number of workspaces and routes to print for each cause."`
	Files []string `arg:"" optional:"" type:"existingfile" help:"Files of log lines; standard input if none is named."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Description("Count the requests that were not served by cause, workspace, route and failure domain."))
	if err := run(f, os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "refusals:", err)
		os.Exit(1)
	}
}

// run reads the named files, or in if none is named, and writes the tables to out.
func run(f flags, in io.Reader, out io.Writer) error {
	r := newReport()
	if len(f.Files) == 0 {
		if err := r.read(in); err != nil {
			return err
		}
	}
	for _, name := range f.Files {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		err = r.read(file)
		_ = file.Close() // it was only read
		if err != nil {
			return err
		}
	}
	return r.write(out, f.Top)
}
