// Package peer carries calls between instances as CBOR messages over WebSocket.
//
// An instance opens at most one connection to a peer, which carries many calls
// at once. Every call has a deadline. Keepalive messages, one each second,
// detect connections that deliver no more data; they are closed and replaced. A
// call whose connection breaks after it was sent fails with failure.Uncertain, a
// call that was never sent with failure.Unavailable.
package peer
