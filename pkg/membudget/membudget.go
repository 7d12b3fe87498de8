// Package membudget bounds the memory that the responses of endpoints take together, so that
// faulty endpoints cannot use up the memory of an instance.
package membudget

import (
	"bytes"
	"math"
	"runtime/debug"
	"sync"
)

const (
	// processShare is the part of the process's memory limit that a budget has, as a
	// divisor. The rest is for everything else and for garbage.
	processShare = 8
	// defaultBytes is the budget of a process without a memory limit.
	defaultBytes = 32 << 20
)

// Budget is a number of bytes that owners, such as endpoints, share. An owner may hold at most
// as many bytes as are left: one alone gets half of the budget, and two get a third each. It
// is safe for concurrent use.
type Budget struct {
	size int64

	mu   sync.Mutex
	left int64
	held map[string]int64 // by owner
}

// New returns a budget of the given size in bytes.
func New(size int64) *Budget { return &Budget{size: size, left: size, held: map[string]int64{}} }

// Used returns the number of bytes that all owners hold.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.size - b.left
}

// ForProcess returns a budget of an eighth of the memory limit of the Go runtime, or of 32
// MiB if there is no limit.
func ForProcess() *Budget {
	limit := debug.SetMemoryLimit(-1) // only reads it
	if limit == math.MaxInt64 {
		return New(defaultBytes)
	}
	return New(limit / processShare)
}

// Open returns an account of an owner that holds nothing.
func (b *Budget) Open(owner string) *Account { return &Account{budget: b, owner: owner} }

// Account is what one response holds of a budget. It is safe for concurrent use. A nil account
// has no limit.
type Account struct {
	budget *Budget
	owner  string

	// Guarded by budget.mu.
	held   int64
	closed bool
}

// Take takes n more bytes. It reports false, and takes none, if the budget does not allow it
// or the account is closed.
func (a *Account) Take(n int) bool {
	if a == nil {
		return true
	}
	b, size := a.budget, int64(n)
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed || b.held[a.owner]+size > b.left-size {
		return false
	}
	b.left -= size
	b.held[a.owner] += size
	a.held += size
	return true
}

// GiveBack returns n bytes, or fewer if the account holds fewer.
func (a *Account) GiveBack(n int) {
	if a == nil || n <= 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.giveBack(min(int64(n), a.held))
}

// giveBack returns n bytes. The budget must be locked.
func (a *Account) giveBack(n int64) {
	b := a.budget
	b.left += n
	a.held -= n
	if b.held[a.owner] -= n; b.held[a.owner] == 0 {
		delete(b.held, a.owner)
	}
}

// Close returns all bytes. It may be called more than once.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.closed = true
	a.giveBack(a.held)
}

// FreeBytes is the capacity up to which buffers take nothing, so that short responses are
// received even when the budget is spent.
const FreeBytes = 8 << 10

// Grow returns buf with at least twice its capacity, but at most limit bytes. Beyond
// FreeBytes it takes the capacity from the account. It reports false, and returns buf
// unchanged, if the budget does not allow it or if buf already has limit bytes.
func (a *Account) Grow(buf []byte, limit int) ([]byte, bool) {
	return a.resize(buf, min(2*cap(buf), limit))
}

// Append appends part to buf, which it makes larger like Grow if need be.
func (a *Account) Append(buf, part []byte, limit int) ([]byte, bool) {
	if need := len(buf) + len(part); need > cap(buf) {
		if need > limit {
			return buf, false
		}
		grown, ok := a.resize(buf, min(max(need, 2*cap(buf)), limit))
		if !ok {
			return buf, false
		}
		buf = grown
	}
	return append(buf, part...), true
}

// resize returns buf with a larger capacity.
func (a *Account) resize(buf []byte, size int) ([]byte, bool) {
	if size <= cap(buf) || size > FreeBytes && !a.Take(size) {
		return buf, false
	}
	grown := append(make([]byte, 0, size), buf...)
	a.Free(buf)
	return grown, true
}

// Free returns what Grow and Append took for buf.
func (a *Account) Free(buf []byte) {
	if cap(buf) > FreeBytes {
		a.GiveBack(cap(buf))
	}
}

// headByteCost and headLineCost estimate, in bytes, the memory that a byte and a line of a head
// take once it is parsed. freeHeadCost is the cost up to which a head takes nothing.
const headByteCost, headLineCost, freeHeadCost = 4, 160, 32 << 10

// Head takes what the head of a response costs while it is received.
type Head struct{ cost int }

// Receive takes the cost of the next part of the head from the account. It reports false if the
// budget does not allow it.
func (h *Head) Receive(part []byte, a *Account) bool {
	cost := headByteCost*len(part) + headLineCost*bytes.Count(part, []byte("\n"))
	h.cost += cost
	taken := min(cost, h.cost-freeHeadCost)
	return taken <= 0 || a.Take(taken)
}
