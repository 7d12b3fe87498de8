package eventqueue

import (
	"slices"
	"testing"
	"time"
)

// Guards against functions that run out of order or at or after the end, and against
// functions that are lost because another function added them.
func TestRun(t *testing.T) {
	var q Queue
	var got []int
	add := func(at time.Duration, n int) { q.At(at, func() { got = append(got, n) }) }
	add(2, 1)
	add(1, 2)
	add(2, 3)
	add(5, 4)
	q.At(2, func() { add(q.Now()+1, 5) })
	q.Run(5)
	if want := []int{2, 1, 3, 5}; !slices.Equal(got, want) || q.Now() != 3 {
		t.Errorf("ran %v until %d, want %v until 3", got, q.Now(), want)
	}
}
