package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/ledger"
)

const (
	// finishedRetention keeps a settled answer for repeats that were reading it.
	finishedRetention = 10 * time.Second
	// maxUnknown bounds the entries of requests with an unknown end, which are
	// kept so that a late attach is never answered with "not run".
	maxUnknown = 16384
)

// entry is a request that this incarnation may send to an endpoint.
type entry struct {
	id      string
	call    uint64
	attempt uint32        // 0 until the owner has admitted the request; guarded by table.mu
	left    bool          // removed without having been admitted; guarded by table.mu
	decided chan struct{} // closed when attempt is set or the entry is removed
	answer  *answer
	expires time.Time
}

// table holds the requests of this incarnation. A request is entered before its
// owner is asked, so a request that is not in the table was never sent.
type table struct {
	mu       sync.Mutex
	byID     map[string][]*entry
	finished []*entry // in order of expiry
	unknown  int
	lossy    bool // entries with an unknown end were dropped
}

func newTable() *table { return &table{byID: map[string][]*entry{}} }

func (t *table) enter(id string, call uint64) *entry {
	e := &entry{id: id, call: call, decided: make(chan struct{}), answer: &answer{}}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byID[id] = append(t.byID[id], e)
	return e
}

// admitted notes that e runs as the given attempt.
func (t *table) admitted(e *entry, attempt uint32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e.attempt = attempt
	close(e.decided)
}

// leave removes an entry that was not admitted. Further calls have no effect.
func (t *table) leave(e *entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.attempt == 0 && !e.left {
		e.left = true
		t.remove(e)
		close(e.decided)
	}
}

func (t *table) remove(e *entry) {
	rest := slices.DeleteFunc(t.byID[e.id], func(o *entry) bool { return o == e })
	if len(rest) == 0 {
		delete(t.byID, e.id)
		return
	}
	t.byID[e.id] = rest
}

// settled schedules the removal of an entry whose end the owner has recorded.
func (t *table) settled(e *entry, end ledger.End, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.finished) > 0 && now.After(t.finished[0].expires) {
		t.finished[0].answer.release()
		t.remove(t.finished[0])
		t.finished = t.finished[1:]
	}
	if end == ledger.EndUnknown && t.unknown < maxUnknown {
		t.unknown++
		e.answer.release()
		return
	}
	t.lossy = t.lossy || end == ledger.EndUnknown
	e.expires = now.Add(finishedRetention)
	t.finished = append(t.finished, e)
}

// find returns the entry of an attempt. While an entry of the same id waits for
// its owner's decision, the attempt may turn out to be that one, so find waits
// for it until ctx ends. neverSent is true when the attempt cannot have been
// sent by this incarnation.
func (t *table) find(ctx context.Context, id string, attempt uint32) (found *entry, neverSent bool) {
	for {
		e, undecided, lossy := t.look(id, attempt)
		if e != nil || undecided == nil {
			return e, e == nil && !lossy
		}
		select {
		case <-undecided.decided:
		case <-ctx.Done():
			return nil, false
		}
	}
}

func (t *table) look(id string, attempt uint32) (found, undecided *entry, lossy bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.byID[id] {
		if e.attempt == attempt {
			return e, nil, t.lossy
		}
		if e.attempt == 0 {
			undecided = e
		}
	}
	return nil, undecided, t.lossy
}
