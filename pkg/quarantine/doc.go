// Package quarantine detects requests that crash endpoints and refuses them for
// a while.
//
// A Tracker records which fingerprints run on which endpoint. When an endpoint
// dies, it counts one death for each of them, and it refuses a fingerprint after
// its second death. Limits: the package performs no I/O and starts no
// goroutine; counts are kept in memory and are shared with other instances only
// by Notice. A fingerprint that runs on many endpoints at once can be refused
// wrongly if several of them die; such a quarantine is ambiguous and short.
package quarantine
