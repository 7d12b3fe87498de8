package play

import "testing"

// Guards against a policy in use that attains the objectives less often than a simpler
// policy does under the same workload.
func TestPlacementBeatsBaselines(t *testing.T) {
	for _, w := range Workloads() {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			inUse := Run(w, func(i int) Policy { return InUse().New(i, len(w.Engines)) })
			t.Logf("%-42s %+v", "in use", inUse)
			for _, b := range Baselines() {
				r := Run(w, func(i int) Policy { return b.New(i, len(w.Engines)) })
				t.Logf("%-42s %+v", b.Name, r)
				if r.Attainment > inUse.Attainment {
					t.Errorf("attainment of %q is %.4f, higher than that of the policy in use, %.4f", b.Name, r.Attainment, inUse.Attainment)
				}
			}
		})
	}
}

// Guards against results that differ between runs with the same seed.
func TestRunIsDeterministic(t *testing.T) {
	w := ChatWorkload("usual", 1)
	run := func() Result { return Run(w, func(i int) Policy { return InUse().New(i, len(w.Engines)) }) }
	if a, b := run(), run(); a != b {
		t.Errorf("first run: %+v, second run: %+v", a, b)
	}
}
