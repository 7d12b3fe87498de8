package placement

import (
	"math"
	"testing"
	"time"
)

// Guards against a limit that is no number or overflows, which would close an endpoint or free it for good.
func TestOddLimitIsBounded(t *testing.T) {
	for _, perSecond := range []float64{math.NaN(), math.Inf(-1), -1, 0, 1, 1e6, 1e300, math.MaxFloat64, math.Inf(1)} {
		p, list := newPool("z")
		p.AdoptLimit(Limit{Endpoint: list.Endpoints[0], IsSet: true, PerSecond: perSecond, LearnedAt: start})
		known, ok := p.KnownLimit(list.Endpoints[0])
		if !ok || !(known.PerSecond >= minLimit && known.PerSecond <= maxLimit) {
			t.Errorf("%g: %+v", perSecond, known)
		}
		served := 0
		for i := range 600 {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			if c, err := p.Choose(Request{Service: "s"}, now); err == nil {
				served++
				c.Done(Served, now)
			}
		}
		if most := 60*max(perSecond, minLimit) + 1; served == 0 || float64(served) > most {
			t.Errorf("%g: %d requests in 60 s", perSecond, served)
		}
	}
}
