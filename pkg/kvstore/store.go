package kvstore

import (
	"context"
	"time"
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Record is a value of the store with its version. Version 0 means absent.
type Record struct {
	Key     string
	Value   []byte
	Version uint64
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the record of key. An absent key gives a record with version 0.
	Get(ctx context.Context, key string) (Record, error)
	// CompareAndSwap writes value if the version of key is still expect; expect
	// 0 creates the key. It returns the new version. failure.Conflict means that
	// nothing was written by this call. failure.Uncertain means that the write
	// may have taken effect or may still do so while the version is unchanged.
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error)
	// Watch returns the record as soon as its version is greater than after, or
	// the unchanged record when the store ends the wait.
	Watch(ctx context.Context, key string, after uint64) (Record, error)
	// AcquireLease takes or renews the lease called name. failure.Conflict means
	// that another holder has it.
	AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error)
	// ReleaseLease gives the lease up if holder still has it.
	ReleaseLease(ctx context.Context, name, holder string) error
}

// Lease is a time-limited claim. A holder that was paused may believe in a
// lease that has lapsed, so safety must rest on Token, never on Expires.
type Lease struct {
	Name   string
	Holder string
	// Token is the fencing number. It grows each time the lease changes hands.
	Token uint64
	// Expires is on the local clock, counted from before the request was sent.
	Expires time.Time
}

// InstanceState is the state of a listed instance.
type InstanceState string

// States of a listed instance.
const (
	Live    InstanceState = "live"
	Leaving InstanceState = "leaving"
)

// Instance is an entry of the platform's instance list. The list lags behind
// reality.
type Instance struct {
	ID      string        `json:"id"`
	Service string        `json:"service"`
	Domain  string        `json:"domain"`
	Address string        `json:"address"`
	State   InstanceState `json:"state"`
}

// EntryService is the service name under which entry instances are listed.
const EntryService = "clementinerack"

// Lister gives the platform's instance list.
type Lister interface {
	// Instances returns all listed instances of a service; an empty service
	// returns all of them.
	Instances(ctx context.Context, service string) ([]Instance, error)
}
