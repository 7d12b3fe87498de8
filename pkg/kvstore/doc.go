// Package kvstore defines the interfaces to the platform's key-value store and
// instance list, and a client that implements them over HTTP.
//
// The store offers compare-and-swap, leases and watches. Its capacity cannot be
// extended quickly, it has outages, and responses to writes that took effect can be
// lost. Every method therefore takes a context with a deadline and distinguishes
// three kinds of failure: failure.Unavailable (no effect), failure.Uncertain (a
// write may or may not have taken effect) and failure.Conflict (the version did not
// match).
package kvstore
