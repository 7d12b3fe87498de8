package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/ledger"
)

const (
	// finishedTTL is how long a settled answer is kept for repeats that are still
	// reading it.
	finishedTTL = 10 * time.Second
	// maxUnknownEntries bounds the entries of requests whose end is unknown. They
	// are kept so that a late attach is never answered with "not run".
	maxUnknownEntries = 16384
)

// requestEntry is one call for a request that this incarnation may send to an
// endpoint.
type requestEntry struct {
	id      string
	call    uint64
	attempt uint32        // 0 until the owner has admitted the request; guarded by requestTable.mu
	removed bool          // removed without having been admitted; guarded by requestTable.mu
	decided chan struct{} // closed when attempt is set or the entry is removed
	answer  *answerBuffer
	expires time.Time
}

// requestTable holds the requests of this incarnation. A request is added before
// its owner is asked, so a request that is not in the table was never sent.
type requestTable struct {
	mu             sync.Mutex
	byID           map[string][]*requestEntry
	finished       []*requestEntry // settled entries, in order of expiry
	unknownCount   int
	unknownDropped bool // an entry with an unknown end was dropped
}

func newRequestTable() *requestTable { return &requestTable{byID: map[string][]*requestEntry{}} }

func (t *requestTable) add(id string, call uint64) *requestEntry {
	e := &requestEntry{id: id, call: call, decided: make(chan struct{}), answer: &answerBuffer{}}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID[id] = append(t.byID[id], e)
	return e
}

// markAdmitted records that the owner admitted e as the given attempt.
func (t *requestTable) markAdmitted(e *requestEntry, attempt uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.attempt = attempt
	close(e.decided)
}

// removeUndecided removes an entry that was not admitted. It has no effect on an
// admitted or removed entry.
func (t *requestTable) removeUndecided(e *requestEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.attempt == 0 && !e.removed {
		e.removed = true
		t.remove(e)
		close(e.decided)
	}
}

func (t *requestTable) remove(e *requestEntry) {
	rest := slices.DeleteFunc(t.byID[e.id], func(o *requestEntry) bool { return o == e })
	if len(rest) == 0 {
		delete(t.byID, e.id)
		return
	}
	t.byID[e.id] = rest
}

// markSettled schedules the removal of an entry whose settlement has ended, and
// removes expired entries. Entries with an unknown end stay, up to
// maxUnknownEntries.
func (t *requestTable) markSettled(e *requestEntry, end ledger.End, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.finished) > 0 && now.After(t.finished[0].expires) {
		t.finished[0].answer.dropBody()
		t.remove(t.finished[0])
		t.finished = t.finished[1:]
	}
	if end == ledger.EndUnknown && t.unknownCount < maxUnknownEntries {
		t.unknownCount++
		e.answer.dropBody()
		return
	}
	t.unknownDropped = t.unknownDropped || end == ledger.EndUnknown
	e.expires = now.Add(finishedTTL)
	t.finished = append(t.finished, e)
}

// find returns the entry of an attempt. An entry of the same id that still waits
// for its owner's decision may become that attempt, so find waits for the
// decision until ctx ends. neverSent is true when this incarnation cannot have
// sent the attempt.
func (t *requestTable) find(ctx context.Context, id string, attempt uint32) (found *requestEntry, neverSent bool) {
	for {
		e, undecided, unknownDropped := t.lookup(id, attempt)
		if e != nil || undecided == nil {
			return e, e == nil && !unknownDropped
		}
		select {
		case <-undecided.decided:
		case <-ctx.Done():
			return nil, false
		}
	}
}

// lookup returns the entry of an attempt, or else an entry of the same id that
// still waits for its owner's decision.
func (t *requestTable) lookup(id string, attempt uint32) (found, undecided *requestEntry, unknownDropped bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.byID[id] {
		if e.attempt == attempt {
			return e, nil, t.unknownDropped
		}
		if e.attempt == 0 {
			undecided = e
		}
	}
	return nil, undecided, t.unknownDropped
}
