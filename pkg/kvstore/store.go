package kvstore

import (
	"context"
	"time"
)

// MaxValueBytes is the size of the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Record is a stored value with its version. Version 0 means that the key does not
// exist.
type Record struct {
	Key     string
	Value   []byte
	Version uint64
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the record of key, with version 0 if the key does not exist.
	Get(ctx context.Context, key string) (Record, error)
	// CompareAndSwap writes value if the version of key is still expect, and
	// returns the new version; expect 0 creates the key. failure.Conflict means
	// that this call wrote nothing. failure.Uncertain means that the write may
	// have taken effect, or may still do so as long as the version is expect.
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte) (uint64, error)
	// Watch returns the record as soon as its version is greater than after, or
	// the unchanged record when the wait of the store times out.
	Watch(ctx context.Context, key string, after uint64) (Record, error)
	// AcquireLease acquires or renews the lease called name for ttl.
	// failure.Conflict means that another holder has it.
	AcquireLease(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error)
	// ReleaseLease releases the lease if holder still has it.
	ReleaseLease(ctx context.Context, name, holder string) error
}

// Lease is a claim on a name that one holder has until it expires. A holder whose
// process was paused may take an expired lease for valid, so safety must depend on
// Token, never on Expires.
type Lease struct {
	Name   string
	Holder string
	// Token is the fencing token. It grows each time the holder changes.
	Token uint64
	// Expires is the time on the local clock at which the lease expires, counted
	// from before the request was sent.
	Expires time.Time
}

// InstanceState is the state of an instance in the platform's instance list.
type InstanceState string

// States of a listed instance.
const (
	// Live means that the instance accepts work.
	Live InstanceState = "live"
	// Leaving means that the instance is shutting down and accepts no new work.
	Leaving InstanceState = "leaving"
)

// Instance is an entry of the platform's instance list. The list lags behind
// the real state of the instances.
type Instance struct {
	ID      string        `json:"id"`
	Service string        `json:"service"`
	Domain  string        `json:"domain"`
	Address string        `json:"address"`
	State   InstanceState `json:"state"`
}

// EntryService is the service name under which entry instances are listed.
const EntryService = "clementinerack"

// Lister reads the platform's instance list.
type Lister interface {
	// Instances returns the listed instances of a service, or of all services if
	// service is empty.
	Instances(ctx context.Context, service string) ([]Instance, error)
}
