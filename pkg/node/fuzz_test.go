package node

import (
	"math"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/placement"
)

// Guards against a message of another instance that closes an endpoint or frees it of its limit for good.
func FuzzLimitsMessage(f *testing.F) {
	endpoint := catalog.Endpoint{ID: "e1", Service: "s", Address: "a1", Domain: "z"}
	for _, perSecond := range []float64{0, 1, -1, 1e308, math.Inf(1), math.Inf(-1), math.NaN()} {
		for _, age := range []time.Duration{0, 1, -1, math.MaxInt64, math.MinInt64} {
			b, err := peer.Marshal(limitsMessage{[]limitReport{{Endpoint: "e1", Address: "a1", IsSet: true, PerSecond: perSecond, Age: age}, {Endpoint: "e2", Age: age}}})
			if err != nil {
				f.Fatal(err)
			}
			f.Add(b)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var message limitsMessage
		if peer.Unmarshal(data, &message) != nil {
			return
		}
		pool := placement.New("z", 1, nil)
		now := time.Now()
		pool.Update(catalog.EndpointList{Revision: 1, Endpoints: []catalog.Endpoint{endpoint}}, now)
		(&limitSpreader{pool: pool}).adopt(message, now)
		known, ok := pool.KnownLimit(endpoint)
		if ok && known.IsSet && !(known.PerSecond > 0 && known.PerSecond <= 1e6) || known.LearnedAt.After(now) {
			t.Errorf("%+v: %+v", message, known)
		}
		served := false
		for i := range 20 {
			if c, err := pool.Choose(placement.Request{Service: "s"}, now.Add(time.Duration(i)*time.Second)); err == nil {
				c.Done(placement.Served, now)
				served = true
			}
		}
		if !served {
			t.Errorf("%+v: no request in 20 s", message)
		}
	})
}
