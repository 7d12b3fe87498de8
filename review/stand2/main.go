// Command stand2 runs the cases of the second review that need a script: it starts the entry
// processes with stand-ins of the store, the runners and the clients, brings about the
// disruption, and judges what clients and runners have seen. It exits with 1 if the rule was
// broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	timeLimit = 110 * time.Second
)

// cases are the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(*world) (bool, error){
	"restarted-in-place": restartedInPlace,
	"most-machines-lost": mostMachinesLost,
	"parallel-crashes":   parallelCrashes,
	"silent-watch":       silentWatch,
}

func main() {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for the record")
	binary := flag.String("entry", "target/clementinerack-entry", "entry program")
	flag.Parse()
	os.Exit(judge(*name, *record, *binary))
}

func judge(name, record, binary string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return couldNot
	}
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer func() { _ = file.Close() }()
	rec := &recorder{out: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, with the disruption: %t", name, trouble)
	w, err := newWorld(rec, binary, trouble)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		rec.log("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	type verdict struct {
		broken bool
		err    error
	}
	done := make(chan verdict, 1)
	go func() {
		isBroken, err := play(w)
		done <- verdict{isBroken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	var v verdict
	select {
	case v = <-done:
	case <-stop:
		v.err = io.ErrUnexpectedEOF
	case <-time.After(timeLimit - time.Since(rec.start)):
		v.err = os.ErrDeadlineExceeded
	}
	switch {
	case v.err != nil:
		rec.log("cannot run: %v", v.err)
		fmt.Fprintln(os.Stderr, v.err)
		return couldNot
	case v.broken:
		rec.log("the rule was broken")
		fmt.Println("the rule was broken")
		return broken
	}
	rec.log("the rule held")
	fmt.Println("the rule held")
	return held
}
