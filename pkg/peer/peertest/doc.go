// Package peertest gives tests an in-memory network of instances with faults.
//
// The network uses no sockets, so it works inside testing/synctest bubbles when
// it is created there. Requests, answers and errors pass through the same CBOR
// codec as on the wire. Limits: it has no bandwidth, no message size limit and
// no bound on concurrent handlers.
package peertest
