package upstream

import (
	"net/http"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/limits"
)

// Guards against a timeout of an endpoint that wraps around, so that its connections are not kept or too long.
func TestIdleTimeoutIsBounded(t *testing.T) {
	for value, want := range map[string]time.Duration{"timeout=5": 4 * time.Second, "max=9, timeout = 5": 4 * time.Second, "timeout=0": 0, "timeout=-5": 0,
		"timeout=-9223372036854775808": 0, "timeout=-99999999999999999999": 0, "timeout=9223372037": limits.MaxDuration - idleTimeoutMargin, "timeout=18446744074": limits.MaxDuration - idleTimeoutMargin,
		"timeout=99999999999999999999": limits.MaxDuration - idleTimeoutMargin, "timeout=1e3": defaultIdleTimeout, "timeout=99999999999999999999x": defaultIdleTimeout, "timeout": defaultIdleTimeout, "": defaultIdleTimeout} {
		if got := idleTimeout(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("%q: %s, want %s", value, got, want)
		}
	}
}
