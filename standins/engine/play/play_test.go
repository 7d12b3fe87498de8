package play

import "testing"

// Guards against a policy in use that attains the objectives less often than a simpler
// policy does under the same workload.
func TestPlacementBeatsBaselines(t *testing.T) {
	for _, w := range Workloads() {
		t.Run(w.Name, func(t *testing.T) {
			t.Parallel()
			inUse := Run(w, func(i int) Policy { return InUse().New(i, w) })
			t.Logf("%-42s %+v", "in use", inUse)
			for _, b := range Baselines() {
				r := Run(w, func(i int) Policy { return b.New(i, w) })
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
	run := func() Result { return Run(w, func(i int) Policy { return InUse().New(i, w) }) }
	if a, b := run(), run(); a != b {
		t.Errorf("first run: %+v, second run: %+v", a, b)
	}
}

// Guards against a hot prefix that overloads one engine because each instance sees few of its prompts, and against a loss without one.
func TestSpreadServesHotPrefixes(t *testing.T) {
	for share, gain := range map[float64]float64{0: -0.01, 0.28: 0.03, 0.5: 0.03} {
		w := GrownWorkload("grown", share)
		with := Run(w, func(i int) Policy { return InUse().New(i, w) })
		without := Run(w, func(i int) Policy { return WithoutSpread().New(i, w) })
		t.Logf("%g: %+v, without %+v", share, with, without)
		if with.Attainment < without.Attainment+gain {
			t.Errorf("hot share %g: attainment %.4f, without spread %.4f", share, with.Attainment, without.Attainment)
		}
	}
}
