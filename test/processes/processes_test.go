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
	// binDir holds the binaries of `make build`.
	binDir = "../../bin"
	// maxFleets bounds the fleets that run at the same time: more of them load a
	// small machine so much that heartbeats are late.
	maxFleets = 3
	// caseTimeout bounds one case with its fleet.
	caseTimeout = 3 * time.Minute
)

// fleetSlots is a semaphore of maxFleets.
var fleetSlots = make(chan struct{}, maxFleets)

// faultCase is one fault in a fleet with two domains of three instances each.
type faultCase struct {
	desc string
	// invariants lists the invariants of docs/design.md that the case checks.
	invariants string
	// options, if not nil, changes the default options of the fleet.
	options func(*fleet.Options)
	run     func(tc *testCluster)
}

// TestProcesses guards against violations of the invariants that appear only
// between separate processes, with real signals, sockets and restarts.
func TestProcesses(t *testing.T) {
	if _, err := os.Stat(filepath.Join(binDir, "clementinerackd")); err != nil {
		t.Fatalf("run `make build` first: %v", err)
	}
	for _, c := range faultCases() {
		t.Run(c.desc, func(t *testing.T) {
			t.Parallel()
			fleetSlots <- struct{}{}
			defer func() { <-fleetSlots }()
			t.Logf("case: %s %s", c.invariants, c.desc)
			c.execute(t)
		})
	}
}

// execute starts a fleet, runs the case and checks the invariants.
func (c faultCase) execute(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), caseTimeout)
	defer cancel()
	o := fleet.Options{
		Bin: binDir, Domains: []string{domainA, domainB}, InstancesPerDomain: 3,
		TokenInterval: 20 * time.Millisecond, Slots: 32, Budget: openingTokens,
	}
	if c.options != nil {
		c.options(&o)
	}
	f, err := fleet.Start(ctx, o)
	if err != nil {
		t.Fatalf("start fleet: %v", err)
	}
	defer f.Stop()
	tc := &testCluster{t: t, ctx: ctx, fleet: f, paid: o.Budget}
	defer func() {
		if t.Failed() {
			tc.keepLogs()
		}
	}()
	c.run(tc)
	tc.checkServing()
	tc.checkInvariants()
	tc.checkBills()
}

// keepLogs copies the files of the fleet to a temporary directory that remains
// after the test, and logs its path.
func (tc *testCluster) keepLogs() {
	dir, err := os.MkdirTemp("", "clementinerack-failed-")
	if err != nil {
		return
	}
	if err := os.CopyFS(filepath.Join(dir, "fleet"), os.DirFS(tc.fleet.Dir())); err != nil {
		tc.t.Logf("keep logs: %v", err)
	}
	tc.t.Logf("logs: %s", dir)
}
