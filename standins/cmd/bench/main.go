// Command bench measures the cost of a fleet of real processes on the loopback
// interface: added latency, throughput, processor time, memory, control traffic,
// and how long changes take. It compares with calls that go to the stand-in
// directly in the same run. It prints a table and writes JSON.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/clementinerack/clementinerack/standins/fleet"
)

type flags struct {
	Bin string `default:"bin" help:"Directory of the binaries."`
	Out string `default:"bench/cost.json" help:"File for the results."`
}

// timeout bounds the whole run.
const timeout = 4 * time.Minute

func main() {
	var f flags
	kong.Parse(&f)
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ctx, cancelTimeout := context.WithTimeout(ctx, timeout)
	defer cancelTimeout()
	if err := run(ctx, f); err != nil {
		fmt.Println("FAILED:", err)
		os.Exit(1)
	}
}

// figure is one measured value. Target 0 means that there is none.
type figure struct {
	Name   string  `json:"name"`
	Value  float64 `json:"value"`
	Unit   string  `json:"unit"`
	Target float64 `json:"target,omitempty"`
	Missed bool    `json:"missed,omitempty"`
}

// results is the results file. The machine is shared with other work, so the
// load average belongs to the latency figures.
type results struct {
	CPUs      int      `json:"cpus"`
	LoadStart string   `json:"load_average_at_start"`
	LoadEnd   string   `json:"load_average_at_end"`
	Seconds   float64  `json:"seconds"`
	Figures   []figure `json:"figures"`
	Failures  []string `json:"failures,omitempty"`
}

type bench struct {
	ctx     context.Context
	fleet   *fleet.Fleet
	results results
	serial  int // of command ids
}

// add records a value; a target of 0 means none.
func (b *bench) add(name string, value float64, unit string, target float64) {
	b.results.Figures = append(b.results.Figures, figure{name, value, unit, target, target > 0 && value > target})
	note := ""
	if target > 0 {
		note = fmt.Sprintf("target at most %g", target)
		if value > target {
			note += "  MISSED"
		}
	}
	fmt.Printf("  %-64s%14.3f %-18s%s\n", name, value, unit, note)
}

// step is one part of the benchmark.
type step struct {
	title string
	run   func(*bench) error
}

var steps = []step{
	{"memory and control traffic of idle instances", (*bench).idle},
	{"added latency of lookups", (*bench).lookups},
	{"added delay of the first token", (*bench).firstToken},
	{"throughput and processor time of lookups", (*bench).throughput},
	{"control traffic at 15 requests/s per instance", (*bench).controlTraffic},
	{"1,000 concurrent streams on one instance", (*bench).streams},
	{"memory of records and budgets", (*bench).memory},
	{"configuration, drain", (*bench).changes},
	{"takeover of a killed owner", (*bench).takeover},
}

const (
	openingTokens = 1 << 40
	tokenInterval = 20 * time.Millisecond
	engineSlots   = 4096
	perDomain     = 2
)

// budgets returns the names of the budgets that the steps open one by one.
func budgets() (names []string) {
	for n := range budgetCount {
		names = append(names, fmt.Sprintf("bench-%d", n))
	}
	return names
}

func run(ctx context.Context, f flags) error {
	fl, err := fleet.Start(ctx, fleet.Options{
		Bin: f.Bin, Domains: []string{"ikeja", "yaba"}, InstancesPerDomain: perDomain, TokenInterval: tokenInterval,
		Slots: engineSlots, Concurrency: engineSlots, Budget: openingTokens, MoreBudgets: budgets(),
	})
	if err != nil {
		return err
	}
	defer fl.Stop()
	start := time.Now()
	b := &bench{ctx: ctx, fleet: fl, results: results{CPUs: runtime.NumCPU(), LoadStart: loadAverage()}}
	fmt.Printf("%d processors, shared with other work, load average %s\n", b.results.CPUs, b.results.LoadStart)
	for _, s := range steps {
		fmt.Println(s.title + ":")
		if err := s.run(b); err != nil {
			b.results.Failures = append(b.results.Failures, fmt.Sprintf("%s: %v", s.title, err))
			fmt.Println("  FAILED:", err)
		}
	}
	b.results.LoadEnd, b.results.Seconds = loadAverage(), time.Since(start).Seconds()
	fmt.Printf("load average %s, %.0f s\n", b.results.LoadEnd, b.results.Seconds)
	data, err := json.MarshalIndent(b.results, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(f.Out, append(data, '\n'), 0o644)
}

func loadAverage() string {
	data, _ := os.ReadFile("/proc/loadavg") // empty on systems without it
	fields := strings.Fields(string(data))
	return strings.Join(fields[:min(3, len(fields))], " ")
}
