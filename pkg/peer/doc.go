// Package peer carries calls between instances as CBOR messages over WebSocket.
//
// One connection per pair of instances carries many calls at once. Every call
// has a deadline. An application heartbeat each second finds connections that
// went silent; they are closed and replaced. A call whose connection breaks
// after it was sent fails with failure.Uncertain, a call that was never sent
// with failure.Unavailable.
package peer
