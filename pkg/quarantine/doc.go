// Package quarantine finds requests that crash endpoints.
//
// A Tracker knows which fingerprints run on which endpoint, counts one death for
// each of them when the endpoint dies, and refuses a fingerprint after its
// second death. Limits: the package performs no I/O and starts no goroutine;
// counts live in memory and are shared with other instances by Notice only. A
// fingerprint that runs on many endpoints at once can be refused without fault
// when several of them die; such a quarantine is ambiguous and short.
package quarantine
