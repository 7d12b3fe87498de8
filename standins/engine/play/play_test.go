package play

import "testing"

// Guards against a placement policy that serves callers worse than a simpler one does
// under the same load.
func TestPlacementBeatsBaselines(t *testing.T) {
	for _, l := range Workloads() {
		t.Run(l.Name, func(t *testing.T) {
			t.Parallel()
			used := Run(l, func(i int) Policy { return InUse().New(i, len(l.Engines)) })
			t.Logf("%-42s %+v", "in use", used)
			for _, b := range Baselines() {
				r := Run(l, func(i int) Policy { return b.New(i, len(l.Engines)) })
				t.Logf("%-42s %+v", b.Name, r)
				if r.Attainment > used.Attainment {
					t.Errorf("%q keeps the aims of %.4f of the worth, the policy in use of %.4f", b.Name, r.Attainment, used.Attainment)
				}
			}
		})
	}
}

// Guards against plays that differ from run to run.
func TestPlayRepeats(t *testing.T) {
	l := ChatWorkload("usual", 1)
	play := func() Result { return Run(l, func(i int) Policy { return InUse().New(i, len(l.Engines)) }) }
	if a, b := play(), play(); a != b {
		t.Errorf("%+v, then %+v", a, b)
	}
}
