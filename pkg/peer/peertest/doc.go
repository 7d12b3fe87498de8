// Package peertest provides an in-memory network of instances with fault
// injection for tests.
//
// The network uses no sockets, so it works in a testing/synctest bubble if it is
// created there. Requests, answers and errors pass through the same CBOR codec
// as between real instances. Limits: it does not limit the bandwidth, the
// message size or the number of concurrent handlers.
package peertest
