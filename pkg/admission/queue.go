package admission

import (
	"cmp"
	"slices"
	"time"
)

// Claim describes a request that waits.
type Claim struct {
	// Group names those between whom the supply is shared fairly, such as a workspace.
	Group string
	// Priority is the urgency of the request. A lower value is served first.
	Priority int
	// Units is how much the request needs.
	Units float64
	// Deadline is the time by which the request must be complete, or zero.
	Deadline time.Time
}

// Entry is a request in a Queue.
type Entry[T any] struct {
	Claim
	Value T

	sequence uint64 // order of arrival
}

// oldestInterval is the number of served entries of which one is the oldest of all, so that
// requests of low priority are served under a lasting overload by more urgent ones.
const oldestInterval = 8

// Queue holds the requests that wait for one kind of supply. It serves them by priority; among
// equals that of the group that got least, and within a group that with the earliest deadline.
// Every oldestInterval-th served entry is the oldest one. It is not safe for concurrent use.
type Queue[T any] struct {
	limit       int
	entries     []*Entry[T]       // by arrival
	groups      map[string]*share // of the entries
	sequence    uint64
	servedCount int
}

// share is what a group has got while it had entries.
type share struct {
	units   float64
	entries int
}

// NewQueue returns an empty queue of at most limit entries.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit, groups: map[string]*share{}}
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Units returns what all entries need.
func (q *Queue[T]) Units() float64 {
	units := 0.0
	for _, e := range q.entries {
		units += e.Units
	}
	return units
}

// Push adds a request. If the queue is full, the last entry in the order of service gives way
// to a more urgent one and is returned; ok is false if there is no less urgent one.
func (q *Queue[T]) Push(claim Claim, value T) (added, evicted *Entry[T], ok bool) {
	if len(q.entries) >= q.limit {
		if evicted = q.leastUrgent(); evicted == nil || evicted.Priority <= claim.Priority {
			return nil, nil, false
		}
		q.Remove(evicted)
	}
	q.sequence++
	added = &Entry[T]{Claim: claim, Value: value, sequence: q.sequence}
	q.entries = append(q.entries, added)
	g := q.groups[claim.Group]
	if g == nil {
		g = &share{units: q.leastUnits()} // what others got before it came is no claim of its own
		q.groups[claim.Group] = g
	}
	g.entries++
	return added, evicted, true
}

// leastUnits returns the least that one of the groups has got.
func (q *Queue[T]) leastUnits() float64 {
	first, least := true, 0.0
	for _, g := range q.groups {
		if first || g.units < least {
			first, least = false, g.units
		}
	}
	return least
}

// leastUrgent returns the latest entry of the lowest priority, or nil.
func (q *Queue[T]) leastUrgent() *Entry[T] {
	var last *Entry[T]
	for _, e := range q.entries {
		if last == nil || e.Priority >= last.Priority {
			last = e
		}
	}
	return last
}

// Remove removes an entry that was not served and reports whether it was in the queue.
func (q *Queue[T]) Remove(e *Entry[T]) bool {
	i := slices.Index(q.entries, e)
	if i < 0 {
		return false
	}
	q.entries = slices.Delete(q.entries, i, i+1)
	g := q.groups[e.Group]
	if g.entries--; g.entries == 0 {
		delete(q.groups, e.Group)
	}
	return true
}

// Serve removes an entry that got what it needs.
func (q *Queue[T]) Serve(e *Entry[T]) {
	if g := q.groups[e.Group]; g != nil {
		g.units += e.Units
	}
	if q.Remove(e) {
		q.servedCount++
	}
}

// Ordered returns the entries in the order of service.
func (q *Queue[T]) Ordered() []*Entry[T] {
	ordered := slices.Clone(q.entries)
	slices.SortFunc(ordered, q.compare)
	if len(ordered) > 1 && q.servedCount%oldestInterval == oldestInterval-1 {
		oldest := q.entries[0]
		ordered = slices.Insert(slices.DeleteFunc(ordered, func(e *Entry[T]) bool { return e == oldest }), 0, oldest)
	}
	return ordered
}

// Next returns the entry that is served next, or nil.
func (q *Queue[T]) Next() *Entry[T] {
	switch {
	case len(q.entries) == 0:
		return nil
	case q.servedCount%oldestInterval == oldestInterval-1:
		return q.entries[0]
	}
	return slices.MinFunc(q.entries, q.compare)
}

// compare orders two entries by service, apart from the turns of the oldest.
func (q *Queue[T]) compare(a, b *Entry[T]) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(q.groups[a.Group].units, q.groups[b.Group].units),
		compareDeadlines(a.Deadline, b.Deadline),
		cmp.Compare(a.sequence, b.sequence))
}

// compareDeadlines orders deadlines; none is later than any other.
func compareDeadlines(a, b time.Time) int {
	if a.IsZero() || b.IsZero() {
		return cmp.Compare(btoi(a.IsZero()), btoi(b.IsZero()))
	}
	return a.Compare(b)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// UnitsBefore returns the units that are served before an entry.
func (q *Queue[T]) UnitsBefore(e *Entry[T]) float64 {
	units := 0.0
	for _, other := range q.Ordered() {
		if other == e {
			break
		}
		units += other.Units
	}
	return units
}

// Ahead returns the units that are served before a request that joins now: those of more
// urgent entries and of equal ones with an earlier deadline, but no more than what passes
// until its turn as the oldest.
func (q *Queue[T]) Ahead(claim Claim) float64 {
	before, all := 0.0, 0.0
	for _, e := range q.entries {
		all += e.Units
		if c := cmp.Or(cmp.Compare(e.Priority, claim.Priority), compareDeadlines(e.Deadline, claim.Deadline)); c <= 0 {
			before += e.Units
		}
	}
	return min(before, oldestInterval*all)
}
