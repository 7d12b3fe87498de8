package peer

import (
	"context"
)

// Method names a kind of call.
type Method string

// Identity tells who is at the other end of a connection.
type Identity struct {
	// Instance is the configured name of the instance.
	Instance string `cbor:"1,keyasint" json:"instance"`
	// Incarnation is drawn at random at each start of the process.
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	// Domain is the failure domain.
	Domain string `cbor:"3,keyasint" json:"domain"`
	// Address is the host:port at which the instance takes calls of its peers.
	Address string `cbor:"4,keyasint" json:"address"`
}

// Caller sends calls to other instances.
type Caller interface {
	// Call sends req to the instance at address and decodes the answer into
	// resp, which may be nil. Errors of the handler arrive as *failure.Error.
	Call(ctx context.Context, address string, method Method, req, resp any) error
}

// Handler answers one kind of call. body is the CBOR form of the request; the
// result is encoded as CBOR.
type Handler func(ctx context.Context, from Identity, body []byte) (any, error)

// Registrar takes handlers. All of them are registered before serving begins.
type Registrar interface {
	// Handle registers the handler of a method.
	Handle(method Method, h Handler)
}
