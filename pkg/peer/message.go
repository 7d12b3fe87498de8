package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/limits"
)

// messageType identifies the kind of a message. The values are part of the
// protocol.
type messageType uint8

const (
	typeKeepalive messageType = 1
	typeCall      messageType = 2
	typeAnswer    messageType = 3
)

// message is one element of the CBOR sequence (RFC 8742) in a WebSocket
// message.
type message struct {
	Type   messageType `cbor:"1,keyasint"`
	CallID uint64      `cbor:"2,keyasint,omitempty"`
	Method Method      `cbor:"3,keyasint,omitempty"`
	// TimeoutMillis is the remaining time of a call when it was queued. Unlike
	// a deadline it does not depend on synchronized clocks.
	TimeoutMillis int64           `cbor:"4,keyasint,omitempty"`
	Body          cbor.RawMessage `cbor:"5,keyasint,omitempty"`
	Error         *failure.Error  `cbor:"6,keyasint,omitempty"`
}

func (m *message) timeout() time.Duration { return limits.Millis(m.TimeoutMillis) }

// roundUpMillis returns d in milliseconds, rounded up and at least 1, so that a
// short timeout is not sent as none.
func roundUpMillis(d time.Duration) int64 {
	return max(1, int64((d+time.Millisecond-1)/time.Millisecond))
}

func unreachableError(address string, cause any) *failure.Error {
	return failure.New(failure.Unavailable, "check that the instance runs and that the network reaches it",
		"peer %s cannot be reached: %v", address, cause)
}

func notSentError(method Method, address string, cause any) *failure.Error {
	return failure.New(failure.Unavailable, "repeat the call", "call %s to peer %s was not sent: %v", method, address, cause)
}

func notAnsweredError(method Method, address string, cause any) *failure.Error {
	return failure.New(failure.Uncertain, "read the state back before repeating the call",
		"call %s to peer %s was sent and not answered: %v", method, address, cause)
}
