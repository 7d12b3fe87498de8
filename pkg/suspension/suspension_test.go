package suspension

import (
	"testing"
	"time"
)

// Guards against a pause of this process that is taken for a suspension of the machine, and against a suspension that is not.
func TestOnlySuspensionsCount(t *testing.T) {
	before := Total()
	time.Sleep(100 * time.Millisecond)
	if d := Between(before, Total()); d != 0 {
		t.Errorf("suspended for %s", d)
	}
	for _, tc := range []struct{ passed, want time.Duration }{{-time.Second, 0}, {time.Millisecond, 0}, {2 * time.Second, 2 * time.Second}} {
		if got := Between(before, before+tc.passed); got != tc.want {
			t.Errorf("%s apart: suspended for %s", tc.passed, got)
		}
	}
}
