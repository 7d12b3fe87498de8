package kvstore

import (
	"context"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// CallKind names a kind of store call in metrics and statistics.
type CallKind string

// Kinds of store calls.
const (
	CallGet        CallKind = "get"
	CallSwap       CallKind = "swap"
	CallWatch      CallKind = "watch"
	CallLease      CallKind = "lease"
	CallRelease    CallKind = "release"
	CallList       CallKind = "list"
	CallRegister   CallKind = "register"
	CallDeregister CallKind = "deregister"
)

// Registrar maintains an instance's own entry in the platform's instance list.
type Registrar interface {
	// Register adds or replaces the entry of instance.ID.
	Register(ctx context.Context, instance Instance) error
	// Deregister removes the entry of id. It is no error if there is none.
	Deregister(ctx context.Context, id string) error
}

const (
	keyRemedy      = "use non-empty path segments other than . and .."
	valueRemedy    = "keep values at or below 1 MB"
	leaseRemedy    = "give a lease name, a holder and a time to live of at least 1 ms"
	instanceRemedy = "give an instance id without slashes"
)

// CheckKey returns failure.Invalid unless key is a valid store key or lease name,
// which is a path without empty, "." or ".." segments.
func CheckKey(key string) error {
	for segment := range strings.SplitSeq(key, "/") {
		if segment == "" || segment == "." || segment == ".." {
			return failure.New(failure.Invalid, keyRemedy, "store key %q has an invalid path segment", key)
		}
	}
	return nil
}

// CheckSwap returns failure.Invalid unless key is valid and value has at most
// MaxValueBytes bytes.
func CheckSwap(key string, value []byte) error {
	if err := CheckKey(key); err != nil {
		return err
	}
	if len(value) > MaxValueBytes {
		return failure.New(failure.Invalid, valueRemedy, "value of %q has %d bytes; the limit is %d",
			key, len(value), MaxValueBytes)
	}
	return nil
}

// CheckLease returns failure.Invalid unless name is a valid key, holder is set and
// ttl is at least 1 ms, the unit of the protocol.
func CheckLease(name, holder string, ttl time.Duration) error {
	if err := CheckKey(name); err != nil {
		return err
	}
	if holder == "" || ttl < time.Millisecond {
		return failure.New(failure.Invalid, leaseRemedy, "lease %q with holder %q and ttl %v is incomplete",
			name, holder, ttl)
	}
	return nil
}

// CheckInstance returns failure.Invalid unless id is a key of a single path segment.
func CheckInstance(id string) error {
	if strings.Contains(id, "/") || CheckKey(id) != nil {
		return failure.New(failure.Invalid, instanceRemedy, "instance id %q is invalid", id)
	}
	return nil
}
