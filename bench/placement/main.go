// Command placement is a benchmark of placement policies. It simulates the workloads of
// package play with the policy in use and with simpler ones, and writes the results as
// JSON and as a text table.
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

var outputPath = flag.String("out", "bench/placement.json", "output file for the results")

// row is the result of one policy under one workload; see play.Result.
type row struct {
	Load, Policy      string
	Requests          int
	Attainment        float64 `json:"InAim"`
	FirstEventP50Ms   float64 `json:"FirstP50"`
	FirstEventP95Ms   float64 `json:"FirstP95"`
	RecomputedKTokens float64 `json:"ReadAgain"` // 1,000 tokens
}

func main() {
	flag.Parse()
	if err := run(*outputPath); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run simulates all workloads with all policies. It writes the results to path as JSON,
// and as a text table to the same path with the extension .txt.
func run(path string) error {
	var rows []row
	for _, workload := range play.Workloads() {
		for _, policy := range append([]play.NamedPolicy{play.InUse()}, play.Baselines()...) {
			r := play.Run(workload, func(instance int) play.Policy { return policy.New(instance, workload) })
			rows = append(rows, row{workload.Name, policy.Name, r.Requests, r.Attainment, r.FirstEventP50.Seconds() * 1000, r.FirstEventP95.Seconds() * 1000, r.RecomputedKTokens})
		}
	}
	data, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return err
	}
	return os.WriteFile(strings.TrimSuffix(path, ".json")+".txt", []byte(formatTable(rows)), 0o644)
}

// formatTable formats the rows as a text table.
func formatTable(rows []row) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "load\tpolicy\trequests\tin aim\tfirst event p50 ms\tp95 ms\t1,000 tokens read again")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.3f\t%.0f\t%.0f\t%.0f\n", r.Load, r.Policy, r.Requests, r.Attainment, r.FirstEventP50Ms, r.FirstEventP95Ms, r.RecomputedKTokens)
	}
	_ = w.Flush() // a strings.Builder does not fail
	return text.String()
}
