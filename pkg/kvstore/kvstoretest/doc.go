// Package kvstoretest provides an in-memory platform store with fault
// switches, and contract tests for implementations of platform.Store.
//
// Fake uses only mutexes, channels and package time, so it works inside a
// testing/synctest bubble. Create it inside the bubble that uses it. Limits:
// it keeps everything in memory and does not model the store's call rates.
package kvstoretest
