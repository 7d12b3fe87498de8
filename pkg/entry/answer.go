package entry

import (
	"context"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// maxAnswerBytes bounds what is kept of a running answer for repeats that attach
// to it. A longer answer is not kept at all.
const maxAnswerBytes = 1 << 20

// answer keeps the answer to a request whose id the caller knows, for repeats.
type answer struct {
	mu          sync.Mutex
	status      int
	contentType string
	body        []byte
	dropped     bool
	done        bool
	err         *failure.Error
	attachedAt  time.Time
	changed     chan struct{} // closed at the next change; nil while nobody waits
}

func (a *answer) begin(status int, contentType string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.status, a.contentType = status, contentType
	a.wake()
}

func (a *answer) append(part []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dropped = a.dropped || len(a.body)+len(part) > maxAnswerBytes; a.dropped {
		a.body = nil
		return
	}
	a.body = append(a.body, part...)
	a.wake()
}

func (a *answer) finish(err *failure.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	a.done, a.err = true, err
	a.wake()
}

// release drops the body once the owner has the answer.
func (a *answer) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.body, a.dropped = nil, true
}

func (a *answer) wake() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// stored returns the form that the owner keeps, or nil for a long answer.
func (a *answer) stored() *ledger.StoredAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dropped || len(a.body) > ledger.MaxStoredAnswerBytes {
		return nil
	}
	return &ledger.StoredAnswer{Status: a.status, ContentType: a.contentType, Body: a.body}
}

// read returns what follows offset. It waits for the next part until ctx ends.
func (a *answer) read(ctx context.Context, offset int, now time.Time) AttachReply {
	for {
		reply, changed := a.peek(offset, now)
		if changed == nil {
			return reply
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return reply
		}
	}
}

func (a *answer) peek(offset int, now time.Time) (AttachReply, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.attachedAt = now
	reply := AttachReply{Status: a.status, ContentType: a.contentType, Done: a.done, Failure: a.err}
	if a.done && a.err == nil && a.dropped {
		reply.Failure = answerDropped()
		return reply, nil
	}
	if !a.dropped && offset < len(a.body) {
		reply.Data = a.body[offset:min(len(a.body), offset+maxAttachChunk)]
		reply.Done = a.done && offset+len(reply.Data) == len(a.body)
	}
	if reply.Done || len(reply.Data) > 0 {
		return reply, nil
	}
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return reply, a.changed
}

// attached reports whether a repeat has read the answer since the given time.
func (a *answer) attached(since time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.attachedAt.After(since)
}

func answerDropped() *failure.Error {
	return failure.New(failure.AlreadyAnswered, "read the result where the service keeps it; do not send the request under a new id unless it may run twice",
		"the request has run and its answer is not kept").WithOutcome(failure.Answered)
}
