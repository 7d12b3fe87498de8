package kvstore

import (
	"context"
	"time"
)

// Item is a key with its value and the revision of its last change.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Expectation is the condition that a key has a revision; 0 means that the key
// does not exist.
type Expectation struct {
	Key      string
	Revision uint64
}

// Write sets a key. A lease other than 0 removes it when the lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease uint64
}

// Transaction takes effect as a whole if all expectations hold.
type Transaction struct {
	Expect []Expectation
	Write  []Write
	Remove []string
}

// Transactor is a store that changes several keys at once.
type Transactor interface {
	// Commit applies t and returns its revision. With failure.Conflict it returns
	// the present items of the expectations; keys that do not exist are missing
	// or have revision 0. failure.Unavailable means that t had no effect and
	// never will, failure.Uncertain that it may have one now or later.
	Commit(ctx context.Context, t Transaction) (uint64, []Item, error)
}

// RangeReader is a store that lists keys by prefix.
type RangeReader interface {
	// Range returns all items below a prefix and the revision of the first page.
	// A stale answer is cheaper and may be seconds old.
	Range(ctx context.Context, prefix string, stale bool) ([]Item, uint64, error)
	// WatchKey waits at most for wait until the key changed after a revision of the
	// store. It returns the item, or nil when nothing changed, and the revision
	// from which the next watch goes on. With the revision 0 it reads the present
	// item at once.
	WatchKey(ctx context.Context, key string, after uint64, wait time.Duration) (*Item, uint64, error)
}

// Leaser is a store with leases that remove keys.
type Leaser interface {
	// Grant opens a lease.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// KeepAlive renews a lease; failure.NotFound means that it has ended.
	KeepAlive(ctx context.Context, lease uint64) error
	// Revoke ends a lease; an ended one is no error.
	Revoke(ctx context.Context, lease uint64) error
}
