package grant

import (
	"math"
	"time"
)

// decayPerSecond is the decay constant that belongs to rateHalfLife.
var decayPerSecond = math.Ln2 / rateHalfLife.Seconds()

func (r *Rate) decay(now time.Time) {
	if r.at.IsZero() {
		r.at = now
		return
	}
	if d := now.Sub(r.at).Seconds(); d > 0 {
		r.perSecond *= math.Exp(-decayPerSecond * d)
		r.at = now
	}
}
