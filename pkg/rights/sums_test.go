package rights

import (
	"strconv"
	"testing"

	"github.com/clementinerack/clementinerack/pkg/peer"
)

func BenchmarkDecodeSums(b *testing.B) {
	granted := map[string]int64{}
	for i := range 10_000 {
		granted["workspace"+strconv.Itoa(i)] = int64(i) << 20
	}
	data, err := peer.Marshal(granted)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("sums", func(b *testing.B) { benchmarkDecode[sums](b, data) })
	b.Run("int64", func(b *testing.B) { benchmarkDecode[map[string]int64](b, data) })
}

func benchmarkDecode[T any](b *testing.B, data []byte) {
	for b.Loop() {
		var out T
		if err := peer.Unmarshal(data, &out); err != nil {
			b.Fatal(err)
		}
	}
}
