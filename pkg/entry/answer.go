package entry

import (
	"context"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/membudget"
)

// maxAnswerBytes bounds the body that is kept of a running answer for repeats
// that attach to it. A longer body is dropped entirely, and so is one that is too long to be
// stored if the memory budget does not allow it.
const maxAnswerBytes = 1 << 20

// answerBuffer holds the answer to a request whose id the caller knows, so that
// repeats can read it while it arrives.
type answerBuffer struct {
	mu          sync.Mutex
	status      int
	contentType string
	body        []byte
	dropped     bool
	memory      *membudget.Account // of a body beyond ledger.MaxStoredAnswerBytes
	done        bool
	err         *failure.Error
	lastReadAt  time.Time
	changed     chan struct{} // closed at the next change; nil without a waiting reader
}

func (a *answerBuffer) setHeader(status int, contentType string, memory *membudget.Account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.memory.Close()
	a.status, a.contentType, a.memory = status, contentType, memory
	a.notifyReaders()
}

func (a *answerBuffer) append(part []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dropped = a.dropped || len(a.body)+len(part) > maxAnswerBytes || !a.takeMemory(len(part)); a.dropped {
		a.body = nil
		a.memory.Close()
		return
	}
	a.body = append(a.body, part...)
	a.notifyReaders()
}

// takeMemory takes the memory of the body and n more bytes if they are too many to be stored. It
// reports false if the budget does not allow it.
func (a *answerBuffer) takeMemory(n int) bool {
	size := len(a.body) + n
	switch {
	case size <= ledger.MaxStoredAnswerBytes:
		return true
	case len(a.body) <= ledger.MaxStoredAnswerBytes:
		return a.memory.Take(size)
	}
	return a.memory.Take(n)
}

func (a *answerBuffer) finish(err *failure.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done {
		return
	}
	a.done, a.err = true, err
	a.notifyReaders()
}

// dropBody frees the body when it is no longer needed on this instance.
func (a *answerBuffer) dropBody() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.body, a.dropped = nil, true
	a.memory.Close()
}

func (a *answerBuffer) notifyReaders() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}

// storedAnswer returns the answer to store with the owner, or nil if the body was
// dropped or is longer than ledger.MaxStoredAnswerBytes.
func (a *answerBuffer) storedAnswer() *ledger.StoredAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dropped || len(a.body) > ledger.MaxStoredAnswerBytes {
		return nil
	}
	return &ledger.StoredAnswer{Status: a.status, ContentType: a.contentType, Body: a.body}
}

// read returns the part of the body after offset. If there is none yet, it waits
// for the next change until ctx ends.
func (a *answerBuffer) read(ctx context.Context, offset int, now time.Time) AttachReply {
	for {
		reply, changed := a.readAvailable(offset, now)
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

func (a *answerBuffer) readAvailable(offset int, now time.Time) (AttachReply, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastReadAt = now
	reply := AttachReply{Status: a.status, ContentType: a.contentType, Done: a.done, Failure: a.err}
	if a.done && a.err == nil && a.dropped {
		reply.Failure = answerDroppedError()
		return reply, nil
	}
	if !a.dropped && offset < len(a.body) {
		reply.Data = a.body[offset:min(len(a.body), offset+maxAttachBytes)]
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

// hasReaderSince reports whether a repeat has read the answer after the given
// time.
func (a *answerBuffer) hasReaderSince(since time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastReadAt.After(since)
}

func answerDroppedError() *failure.Error {
	return failure.New(failure.AlreadyAnswered, "read the result where the service keeps it; do not send the request under a new id unless it may run twice",
		"the request has run and its answer is not kept").WithOutcome(failure.Answered)
}
