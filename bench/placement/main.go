// Command placement plays loads at emulated engines with the placement policy in use
// and with simpler ones, and writes what callers got as JSON and as a table.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/clementinerack/clementinerack/standins/engine/play"
)

var out = flag.String("out", "bench/placement.json", "file for the results")

// line is one policy under one load.
type line struct {
	Load, Policy string
	Requests     int
	InAim        float64 // share of the worth
	FirstP50     float64 // ms
	FirstP95     float64 // ms
	ReadAgain    float64 // 1,000 tokens
}

func main() {
	flag.Parse()
	if err := compare(*out); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// compare plays all loads with all policies and writes the results.
func compare(out string) error {
	var lines []line
	for _, l := range play.Workloads() {
		for _, p := range append([]play.NamedPolicy{play.InUse()}, play.Baselines()...) {
			r := play.Run(l, func(instance int) play.Policy { return p.New(instance, len(l.Engines)) })
			lines = append(lines, line{l.Name, p.Name, r.Requests, r.Attainment, r.FirstP50.Seconds() * 1000, r.FirstP95.Seconds() * 1000, r.RecomputedKTokens})
		}
	}
	data, err := json.MarshalIndent(lines, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(out, append(data, '\n'), 0o644); err != nil {
		return err
	}
	return os.WriteFile(strings.TrimSuffix(out, ".json")+".txt", []byte(table(lines)), 0o644)
}

func table(lines []line) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "load\tpolicy\trequests\tin aim\tfirst event p50 ms\tp95 ms\t1,000 tokens read again")
	for _, l := range lines {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.3f\t%.0f\t%.0f\t%.0f\n", l.Load, l.Policy, l.Requests, l.InAim, l.FirstP50, l.FirstP95, l.ReadAgain)
	}
	_ = w.Flush() // a strings.Builder does not fail
	return text.String()
}
