package relay

import (
	"math"
	"testing"

	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// Guards against a usage that wraps around, so that a stream costs nothing.
func TestLargestUsageIsNotFree(t *testing.T) {
	for usage, want := range map[Usage]ledger.Tokens{{5, 7}: 12, {-5, 7}: 7, {math.MinInt64, -1}: 0, {math.MaxInt64, 1}: ledger.MaxTokens,
		{1, math.MaxInt64}: ledger.MaxTokens, {math.MaxInt64, math.MaxInt64}: ledger.MaxTokens, {int64(ledger.MaxTokens) - 1, 1}: ledger.MaxTokens} {
		if got := usage.Total(); got != want {
			t.Errorf("%+v: %d, want %d", usage, got, want)
		}
	}
}
