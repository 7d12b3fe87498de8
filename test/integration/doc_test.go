// Package integration runs the fault matrix over the whole path of a request:
// real instances in two failure domains, which share one process and a
// testing/synctest bubble with an in-memory store, peer network, callers and
// endpoints.
//
// Membership is real too. The tests do not cover endpoint probes, notices
// between instances, TCP, TLS and the codecs of the store's HTTP API.
package integration
