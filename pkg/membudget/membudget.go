// Package membudget bounds the memory that the responses of endpoints take together, so that
// faulty endpoints cannot use up the memory of an instance.
package membudget

import (
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

// take takes n bytes for an owner, or none if the owner would then hold more than is left.
func (b *Budget) take(owner string, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held[owner]+n > b.left-n {
		return false
	}
	b.left -= n
	b.held[owner] += n
	return true
}

// giveBack returns n bytes of an owner.
func (b *Budget) giveBack(owner string, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += n
	if b.held[owner] -= n; b.held[owner] == 0 {
		delete(b.held, owner)
	}
}

// Account is what one response holds of a budget. One goroutine uses it at a time. A nil
// account has no limit.
type Account struct {
	budget *Budget
	owner  string
	held   int64
}

// Take takes n more bytes. It reports false, and takes none, if the budget does not allow it.
func (a *Account) Take(n int) bool {
	if a == nil {
		return true
	}
	if !a.budget.take(a.owner, int64(n)) {
		return false
	}
	a.held += int64(n)
	return true
}

// GiveBack returns n bytes.
func (a *Account) GiveBack(n int) {
	if a == nil || n == 0 {
		return
	}
	a.budget.giveBack(a.owner, int64(n))
	a.held -= int64(n)
}

// Close returns all bytes. It may be called more than once.
func (a *Account) Close() {
	if a != nil {
		a.GiveBack(int(a.held))
	}
}

// FreeBytes is the capacity up to which Grow takes nothing, so that short responses are
// received even when the budget is spent.
const FreeBytes = 8 << 10

// Grow returns buf with at least twice its capacity, but at most limit bytes. Beyond
// FreeBytes it takes the capacity from the account. It reports false, and returns buf
// unchanged, if the budget does not allow it or if buf already has limit bytes.
func (a *Account) Grow(buf []byte, limit int) ([]byte, bool) {
	size := min(2*cap(buf), limit)
	if size <= cap(buf) || size > FreeBytes && !a.Take(size) {
		return buf, false
	}
	grown := append(make([]byte, 0, size), buf...)
	a.Free(buf)
	return grown, true
}

// Free returns what Grow took for buf.
func (a *Account) Free(buf []byte) {
	if cap(buf) > FreeBytes {
		a.GiveBack(cap(buf))
	}
}
