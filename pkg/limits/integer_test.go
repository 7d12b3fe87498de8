package limits

import (
	"math"
	"testing"
)

// Guards against text that counts as a large number because it begins with one.
func TestParseIntReadsTheWholeText(t *testing.T) {
	for text, want := range map[string]int64{"0": 0, "-7": -7, "+7": 7, "9223372036854775807": math.MaxInt64, "9223372036854775808": math.MaxInt64, "+99999999999999999999": math.MaxInt64, "-9223372036854775809": math.MinInt64} {
		if n, ok := ParseInt(text); !ok || n != want {
			t.Errorf("%q: %d, %t", text, n, ok)
		}
	}
	for _, text := range []string{"", "+", "-", "1.5", "1e3", "0x10", "1_0", " 1", "18700000000000000000A", "99999999999999999999 ", "--99999999999999999999", "99999999999999999999-1"} {
		if n, ok := ParseInt(text); ok {
			t.Errorf("%q: %d", text, n)
		}
	}
}
