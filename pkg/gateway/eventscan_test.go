package gateway

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
)

// Guards against event ends that depend on how much of an event was scanned before.
func TestEventEndsAreFoundInPieces(t *testing.T) {
	for range 20_000 {
		r := &eventReader{}
		for len(r.buf) < 12 {
			for range 1 + rand.IntN(4) {
				r.buf = append(r.buf, ":\n\r"[rand.IntN(3)])
			}
			r.scan()
			want := 0
			for n := eventEnd(r.buf); n > 0; n = eventEnd(r.buf[want:]) {
				want += n
			}
			if r.end != want {
				t.Fatalf("%q: event ends at %d, want %d", r.buf, r.end, want)
			}
			r.returned = r.end
			r.dropReturned()
		}
	}
}

// BenchmarkEventScan shows that the time for an event grows in proportion to its length.
func BenchmarkEventScan(b *testing.B) {
	for _, size := range []int{64 << 10, 256 << 10, maxEventBytes - 1} {
		event := append(bytes.Repeat([]byte("data\n"), size/5), '\n')
		b.Run(fmt.Sprintf("%dKiB", (size+1)>>10), func(b *testing.B) {
			b.SetBytes(int64(size))
			for b.Loop() {
				if _, err := newEventReader(&segments{event}, nil).next(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// segments is a reader that returns at most 1400 bytes at a time.
type segments struct{ rest []byte }

func (s *segments) Read(p []byte) (int, error) {
	n := copy(p[:min(len(p), 1400)], s.rest)
	s.rest = s.rest[n:]
	return n, nil
}
