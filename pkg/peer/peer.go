package peer

import (
	"context"
)

// Method is the name of a remote method.
type Method string

// Identity identifies an instance to its peers.
type Identity struct {
	// Instance is the configured name of the instance.
	Instance string `cbor:"1,keyasint" json:"instance"`
	// Incarnation is a random value that identifies one start of the process.
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	// Domain is the failure domain of the instance.
	Domain string `cbor:"3,keyasint" json:"domain"`
	// Address is the host:port on which the instance accepts calls of its
	// peers.
	Address string `cbor:"4,keyasint" json:"address"`
}

// Caller sends calls to other instances.
type Caller interface {
	// Call sends req to the instance at address and decodes the answer into
	// resp, which may be nil. An error of the handler arrives as
	// *failure.Error. A call that was not sent fails with failure.Unavailable,
	// one that was sent but not answered with failure.Uncertain.
	Call(ctx context.Context, address string, method Method, req, resp any) error
}

// Handler answers the calls of one method. body is the CBOR encoding of the
// request; the result is encoded as CBOR.
type Handler func(ctx context.Context, from Identity, body []byte) (any, error)

// Registrar registers handlers. All of them must be registered before the first
// call is served.
type Registrar interface {
	// Handle registers the handler of a method.
	Handle(method Method, h Handler)
}
