// Package kvstoretest provides an in-memory platform store with fault injection, and
// contract tests for implementations of kvstore.Store.
//
// Fake uses only mutexes, channels and package time, so it works inside a
// testing/synctest bubble. It must be created inside the bubble that uses it.
// Limits: it keeps everything in memory and does not model the rate limits of the
// store.
package kvstoretest
