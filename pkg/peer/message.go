package peer

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// messageType tells what a message is. The values are part of the protocol.
type messageType uint8

const (
	typeBeat   messageType = 1
	typeCall   messageType = 2
	typeAnswer messageType = 3
)

// message is one element of the CBOR sequence (RFC 8742) in a WebSocket message.
type message struct {
	Type   messageType `cbor:"1,keyasint"`
	Number uint64      `cbor:"2,keyasint,omitempty"`
	Method Method      `cbor:"3,keyasint,omitempty"`
	// TimeoutMillis is the time left for a call when it was queued. A duration
	// needs no agreement between clocks.
	TimeoutMillis int64           `cbor:"4,keyasint,omitempty"`
	Body          cbor.RawMessage `cbor:"5,keyasint,omitempty"`
	Error         *failure.Error  `cbor:"6,keyasint,omitempty"`
}

func (m *message) timeout() time.Duration { return time.Duration(m.TimeoutMillis) * time.Millisecond }

// millis rounds up, so that a short rest is not sent as "no time".
func millis(d time.Duration) int64 {
	return max(1, int64((d+time.Millisecond-1)/time.Millisecond))
}

func unreachable(address string, cause any) *failure.Error {
	return failure.New(failure.Unavailable, "check that the instance runs and that the network reaches it",
		"peer %s cannot be reached: %v", address, cause)
}

func notSent(method Method, address string, cause any) *failure.Error {
	return failure.New(failure.Unavailable, "repeat the call", "call %s to peer %s was not sent: %v", method, address, cause)
}

func notAnswered(method Method, address string, cause any) *failure.Error {
	return failure.New(failure.Uncertain, "read the state back before repeating the call",
		"call %s to peer %s was sent and not answered: %v", method, address, cause)
}
