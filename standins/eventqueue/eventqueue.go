// Package eventqueue implements the event queue of a discrete-event simulation.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds functions that are due at points of simulated time. The zero value is
// an empty queue at time 0. Functions that are due at the same time run in the order
// in which they were added. A Queue is not safe for concurrent use.
type Queue struct {
	now    time.Duration
	seq    int
	events eventHeap
}

// event is a function that is due at a time.
type event struct {
	at  time.Duration
	seq int
	fn  func()
}

// eventHeap implements heap.Interface, ordered by time and then by sequence number.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// Now returns the simulated time, which is the due time of the function that runs or
// ran last.
func (q *Queue) Now() time.Duration { return q.now }

// At adds a function that is due at the given time.
func (q *Queue) At(at time.Duration, fn func()) {
	q.seq++
	heap.Push(&q.events, event{at, q.seq, fn})
}

// Run runs all functions that are due before end, including those that are added
// while it runs.
func (q *Queue) Run(end time.Duration) {
	for len(q.events) > 0 && q.events[0].at < end {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.fn()
	}
}
