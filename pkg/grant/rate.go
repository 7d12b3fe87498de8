package grant

import (
	"math"
	"time"
)

// decayConstant is the decay rate per second that corresponds to rateHalfLife.
var decayConstant = math.Ln2 / rateHalfLife.Seconds()

// decay reduces the rate by the time since the last update.
func (r *Rate) decay(now time.Time) {
	if r.updatedAt.IsZero() {
		r.updatedAt = now
		return
	}
	if d := now.Sub(r.updatedAt).Seconds(); d > 0 {
		r.perSecond *= math.Exp(-decayConstant * d)
		r.updatedAt = now
	}
}
