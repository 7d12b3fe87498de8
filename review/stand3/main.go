// Command stand3 plays the scripts of the third review. It starts the entry program of the
// users' machines as separate processes beside stand-ins of the store, of runners and of callers.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the scripts by name. Each reports whether the rule held.
var cases = map[string]func(f *fleet, trouble bool) (held bool, err error){
	"budget":     playBudget,
	"resumption": playResumption,
	"silence":    playSilence,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", "", "folder of the case: settings.json, config.json and record.txt")
	entry := flag.String("entry", "", "entry program")
	trouble := flag.Bool("trouble", true, "play the disruption")
	logs := flag.String("logs", "", "keep the logs of the instances in this folder")
	flag.Parse()
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	}
	play, ok := cases[*name]
	if !ok {
		return fail(fmt.Errorf("no case %q", *name))
	}
	settings, err := os.ReadFile(filepath.Join(*folder, "settings.json"))
	if err != nil {
		return fail(err)
	}
	config, err := os.ReadFile(filepath.Join(*folder, "config.json"))
	if err != nil {
		return fail(err)
	}
	out, err := os.Create(filepath.Join(*folder, "record.txt"))
	if err != nil {
		return fail(err)
	}
	defer func() { _ = out.Close() }()
	dir := *logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			return fail(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	rec := &record{out: out, start: time.Now()}
	f, err := newFleet(rec, *entry, dir, string(settings), string(config))
	if err != nil {
		return fail(err)
	}
	f.folder = *folder
	defer f.close()
	rec.note("case %s, disruption: %t", *name, *trouble)
	held, err := play(f, *trouble)
	switch {
	case err != nil:
		rec.note("the case could not run: %v", err)
		return fail(err)
	case held:
		rec.note("the rule held")
		return exitHeld
	}
	rec.note("the rule was broken")
	return exitBroken
}
