package peer

import (
	"math"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/limits"
)

// Guards against the timeout of a call that wraps around, so that the call is refused as late.
func TestLargestTimeoutIsBounded(t *testing.T) {
	for millis, want := range map[int64]time.Duration{7: 7 * time.Millisecond, -1: 0, math.MinInt64: 0, 1e13: limits.MaxDuration, 1 << 62: limits.MaxDuration, math.MaxInt64: limits.MaxDuration} {
		if got := (&message{TimeoutMillis: millis}).timeout(); got != want {
			t.Errorf("%d ms: %s, want %s", millis, got, want)
		}
	}
}
