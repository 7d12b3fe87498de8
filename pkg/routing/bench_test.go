package routing

import (
	"fmt"
	"testing"

	"github.com/clementinerack/clementinerack/pkg/config"
)

func BenchmarkAcquire(b *testing.B) {
	for _, endpoints := range []int{20, 124} { // the current size, and one domain of the target size
		b.Run(fmt.Sprintf("%d_endpoints", endpoints), func(b *testing.B) {
			var list []config.Endpoint
			for n := range endpoints {
				list = append(list, localEndpoint(fmt.Sprintf("motor-%03d", n)))
			}
			p := newPool(document(1000, nil, list...), Options{})
			ctx := b.Context()
			b.ReportAllocs()
			for n := uint64(1); b.Loop(); n++ {
				slot, err := p.Acquire(ctx, Request{Service: "s", Affinity: n % 1000})
				if err != nil {
					b.Fatal(err)
				}
				slot.Release(Result{})
			}
		})
	}
}
