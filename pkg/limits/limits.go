// Package limits holds bounds on what other processes may send.
package limits

// ResponseHeadBytes bounds the head of an HTTP response. The heads of real responses take
// a few hundred bytes; a faulty server may send one that never ends.
const ResponseHeadBytes = 64 << 10
