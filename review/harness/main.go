package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by the name that run.sh gives.
var cases = map[string]func(*caseRun) (broken bool, err error){}

// caseRun is one run of a case.
type caseRun struct {
	trouble bool
	start   time.Time

	mu     sync.Mutex
	record *os.File
}

// logf writes a line to the record.
func (c *caseRun) logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = fmt.Fprintf(c.record, "%9.3f  "+format+"\n", append([]any{time.Since(c.start).Seconds()}, args...)...)
}

// sayf writes a line to the record and to the terminal.
func (c *caseRun) sayf(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	c.logf(format, args...)
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	c := &caseRun{trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: file}
	broken, err := cases[os.Args[1]](c)
	switch {
	case err != nil:
		c.sayf("the case could not run: %v", err)
		return exitNotRun
	case broken:
		c.sayf("the rule was broken")
		return exitBroken
	}
	c.sayf("the rule held")
	return exitHeld
}
