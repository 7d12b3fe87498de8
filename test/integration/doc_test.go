// Package integration runs the fault matrix over the whole path of a request:
// real instances of two failure domains in one process, over in-memory stores,
// peers, callers and endpoints, in a bubble of testing/synctest.
//
// Membership is real too. Not part of it are the probes of endpoints, notices
// between instances, TCP, TLS and the codecs of the store's HTTP form.
package integration
