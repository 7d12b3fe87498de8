package limits

import (
	"math"
	"testing"
	"time"
)

// Guards against a number of another process that becomes a negative duration or one that overflows.
func TestDurationIsBounded(t *testing.T) {
	for n, want := range map[float64]time.Duration{math.NaN(): 0, math.Inf(-1): 0, -1: 0, 0: 0, 1.5: 1500 * time.Millisecond,
		1e18: MaxDuration, math.MaxFloat64: MaxDuration, math.Inf(1): MaxDuration} {
		if got := Duration(n, time.Second); got != want {
			t.Errorf("%g seconds: %s, want %s", n, got, want)
		}
	}
	for n, want := range map[int64]time.Duration{math.MinInt64: 0, -1: 0, 7: 7 * time.Millisecond, math.MaxInt64: MaxDuration, 1 << 43: MaxDuration} {
		if got := Millis(n); got != want {
			t.Errorf("%d ms: %s, want %s", n, got, want)
		}
	}
}
