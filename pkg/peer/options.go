package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"
)

// Path is the HTTP path of the WebSocket endpoint.
const Path = "/peer/v1"

// ProtocolVersion is the version of the protocol. It must be equal at both ends
// of a connection.
const ProtocolVersion = 1

// Defaults of Options.
const (
	// DefaultKeepaliveInterval is the time after which an unused connection sends a
	// keepalive.
	DefaultKeepaliveInterval = time.Second
	// DefaultSilenceTimeout is three keepalive intervals, so that one lost or
	// late keepalive does not close the connection.
	DefaultSilenceTimeout = 3 * time.Second
	// DefaultIdleTimeout is long enough to keep connections open between
	// periodic calls.
	DefaultIdleTimeout = time.Minute
	// DefaultMaxMessageBytes leaves room for the state of a shard; a document
	// in the store has at most 1 MiB.
	DefaultMaxMessageBytes = 8 << 20
	// DefaultMaxHandlers is the number of handlers that run at once per connection.
	DefaultMaxHandlers = 256
	// DefaultMaxWaiting is the number of calls per connection that wait for a
	// handler.
	DefaultMaxWaiting = 1024
)

// Options configures a Transport. Zero values select the defaults.
type Options struct {
	// Credential is the secret shared by all instances. If it is empty, every
	// connection is refused.
	Credential []byte
	// TLS configures outgoing connections, which are plain if it is nil.
	// Incoming connections use the TLS configuration of the HTTP server.
	TLS *tls.Config
	// KeepaliveInterval is the time without a sent message after which a
	// keepalive is due.
	KeepaliveInterval time.Duration
	// SilenceTimeout is the time without a received byte after which a
	// connection is closed. It also bounds dialing and the handshake.
	SilenceTimeout time.Duration
	// IdleTimeout is the time without calls after which an outgoing connection
	// is closed.
	IdleTimeout time.Duration
	// CallTimeout bounds calls whose context has no deadline.
	CallTimeout time.Duration
	// MaxMessageBytes bounds the encoded request or answer of a call.
	MaxMessageBytes int
	// MaxHandlers bounds the handlers that run at once for a connection, and
	// MaxWaiting the calls that wait for one of them. Further calls are refused
	// with failure.Limited.
	MaxHandlers int
	MaxWaiting  int
	// OnPeer is called with the identity of the peer after each successful
	// handshake, on both sides. It must not block. It may be nil.
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
