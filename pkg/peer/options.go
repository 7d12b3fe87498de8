package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"
)

// Path is the HTTP path of the WebSocket endpoint.
const Path = "/peer/v1"

// ProtocolVersion must be equal at both ends of a connection.
const ProtocolVersion = 1

// Defaults of Options.
const (
	DefaultKeepaliveInterval = time.Second
	// DefaultSilenceTimeout is three heartbeats, so one lost or late beat closes nothing.
	DefaultSilenceTimeout = 3 * time.Second
	// DefaultIdleTimeout is long enough that periodic calls keep their connection.
	DefaultIdleTimeout = time.Minute
	// DefaultMaxMessageBytes leaves room for the state of a shard; a document of
	// the store is at most 1 MiB.
	DefaultMaxMessageBytes = 8 << 20
	DefaultMaxHandlers     = 256
	DefaultMaxWaiting      = 1024
)

// Options configure a Transport. Zero values mean the defaults.
type Options struct {
	// Credential is the secret shared by all instances. Without one every
	// connection is refused.
	Credential []byte
	// TLS is used for outgoing connections if it is set. Incoming connections
	// use the TLS of the HTTP server.
	TLS *tls.Config
	// KeepaliveInterval is the longest time for which a connection sends nothing.
	KeepaliveInterval time.Duration
	// SilenceTimeout is the time without any received byte after which a connection is
	// closed. It also bounds the opening of a connection.
	SilenceTimeout time.Duration
	// IdleTimeout is the time without calls after which an outgoing connection is closed.
	IdleTimeout time.Duration
	// CallTimeout bounds calls whose context has no deadline.
	CallTimeout time.Duration
	// MaxMessageBytes bounds the encoded request or answer of a call.
	MaxMessageBytes int
	// MaxHandlers bounds the handlers that run at once for one connection, and
	// MaxWaiting the calls that wait for one of them. Calls above that are
	// refused with failure.Limited.
	MaxHandlers int
	MaxWaiting  int
	// OnPeer is called with the identity of each instance with which a connection
	// was opened, from either side. It must return at once.
	OnPeer func(Identity)

	dial func(ctx context.Context, network, address string) (net.Conn, error) // replaced in tests
}

func (o Options) withDefaults() Options {
	setDefault(&o.KeepaliveInterval, DefaultKeepaliveInterval)
	setDefault(&o.SilenceTimeout, DefaultSilenceTimeout)
	setDefault(&o.IdleTimeout, DefaultIdleTimeout)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&o.MaxHandlers, DefaultMaxHandlers)
	setDefault(&o.MaxWaiting, DefaultMaxWaiting)
	return o
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
