// Package kvstore is the narrow interface to the platform's key-value store
// and instance list.
//
// The store offers compare-and-swap, leases and watches. It is slow to grow,
// has outages, and loses answers of writes that took effect. Every method
// therefore takes a context with a deadline and tells three kinds of failure
// apart: failure.Unavailable (no effect), failure.Uncertain (a write may or
// may not have taken effect) and failure.Conflict (the version did not match).
package kvstore
