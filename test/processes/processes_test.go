//go:build processes

package processes

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/standins/fleet"
)

const (
	binaries = "../../bin"
	// maxFleets bounds the fleets that run at a time: more of them load a small
	// machine so much that heartbeats come late.
	maxFleets = 3
	// caseTimeout bounds one case with its fleet.
	caseTimeout = 3 * time.Minute
)

var fleets = make(chan struct{}, maxFleets)

// faultCase is one fault of a fleet with two domains of three instances.
type faultCase struct {
	desc string
	// invariants are the ones of docs/design.md that the case checks.
	invariants string
	// options changes the defaults of the fleet.
	options func(*fleet.Options)
	run     func(w *world)
}

// TestProcesses guards against violations of the invariants that appear only
// between separate processes: real signals, sockets and restarts.
func TestProcesses(t *testing.T) {
	if _, err := os.Stat(filepath.Join(binaries, "clementinerackd")); err != nil {
		t.Fatalf("run `make build` first: %v", err)
	}
	for _, c := range faultCases() {
		t.Run(c.desc, func(t *testing.T) {
			t.Parallel()
			fleets <- struct{}{}
			defer func() { <-fleets }()
			t.Logf("case: %s %s", c.invariants, c.desc)
			c.execute(t)
		})
	}
}

func (c faultCase) execute(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), caseTimeout)
	defer cancel()
	o := fleet.Options{
		Bin: binaries, Domains: []string{domainA, domainB}, InstancesPerDomain: 3,
		TokenInterval: 20 * time.Millisecond, Slots: 32, Budget: openingPaid,
	}
	if c.options != nil {
		c.options(&o)
	}
	f, err := fleet.Start(ctx, o)
	if err != nil {
		t.Fatalf("start the fleet: %v", err)
	}
	defer f.Stop()
	w := &world{t: t, ctx: ctx, f: f, paid: o.Budget}
	defer func() {
		if t.Failed() {
			w.keepLogs()
		}
	}()
	c.run(w)
	w.checkServing()
	w.check()
	w.checkBills()
}

// keepLogs copies the logs of the daemons next to the test binary's temporary
// files, where a reader finds them after a failure.
func (w *world) keepLogs() {
	dir, err := os.MkdirTemp("", "clementinerack-failed-")
	if err != nil {
		return
	}
	if err := os.CopyFS(filepath.Join(dir, "fleet"), os.DirFS(w.f.Dir())); err != nil {
		w.t.Logf("keep logs: %v", err)
	}
	w.t.Logf("logs: %s", dir)
}
