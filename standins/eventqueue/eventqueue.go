// Package eventqueue runs functions in the order of a simulated time.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds functions that are due at times. The zero value is empty, at time 0.
// Functions of the same time run in the order in which they were added.
type Queue struct {
	now    time.Duration
	seq    int
	events events
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Now returns the time of the latest function.
func (q *Queue) Now() time.Duration { return q.now }

// At adds a function that is due at a time.
func (q *Queue) At(at time.Duration, do func()) {
	q.seq++
	heap.Push(&q.events, event{at, q.seq, do})
}

// Run runs what is due before end, also what is added meanwhile.
func (q *Queue) Run(end time.Duration) {
	for len(q.events) > 0 && q.events[0].at < end {
		e := heap.Pop(&q.events).(event)
		q.now = e.at
		e.do()
	}
}
