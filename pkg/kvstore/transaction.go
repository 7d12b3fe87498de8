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

// Expectation is the condition that the last change of a key has a certain
// revision. Revision 0 means that the key does not exist.
type Expectation struct {
	Key      string
	Revision uint64
}

// Write sets a key. If Lease is not 0, the key is removed when that lease ends.
type Write struct {
	Key   string
	Value []byte
	Lease uint64
}

// Transaction is a set of writes and removals that takes effect as a whole if all
// expectations hold, and otherwise not at all.
type Transaction struct {
	Expect []Expectation
	Write  []Write
	Remove []string
}

// Transactor is a store that changes several keys at once.
type Transactor interface {
	// Commit applies t and returns its revision. With failure.Conflict it returns
	// the current items of the keys in t.Expect; keys that do not exist are missing
	// or have revision 0. failure.Unavailable means that t had no effect and
	// never will; failure.Uncertain means that it may take effect now or later.
	Commit(ctx context.Context, t Transaction) (uint64, []Item, error)
}

// RangeReader is a store that lists and watches keys by prefix.
type RangeReader interface {
	// Range returns all items whose keys start with prefix, and the revision of the
	// first page. A stale read is cheaper, but its result may be seconds old.
	Range(ctx context.Context, prefix string, stale bool) ([]Item, uint64, error)
	// Get returns the item of key, or nil if the key does not exist, and the revision
	// of the store.
	Get(ctx context.Context, key string) (*Item, uint64, error)
	// Watch returns the changes of keys that start with prefix after the store revision
	// after. It waits for the first one for at most wait. failure.NotFound means that the
	// store no longer has these revisions.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
}

// Changes is the result of a watch.
type Changes struct {
	// Written holds the latest items of the keys that were written, Removed the keys that
	// were removed and not written again.
	Written []Item
	Removed []string
	// Revision is the store revision for the next watch.
	Revision uint64
}

// Leaser is a store with leases that remove their keys when they end.
type Leaser interface {
	// Grant creates a lease that expires after ttl unless it is renewed, and
	// returns its id.
	Grant(ctx context.Context, ttl time.Duration) (uint64, error)
	// KeepAlive renews a lease. failure.NotFound means that it has ended.
	KeepAlive(ctx context.Context, lease uint64) error
	// Revoke ends a lease. It is no error if the lease has already ended.
	Revoke(ctx context.Context, lease uint64) error
}
