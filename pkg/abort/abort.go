// Package abort makes responses that are not completed recognizable as such.
package abort

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of the connection in the contexts of its requests.
type connKey struct{}

// ConnContext makes the connection known to the writers of its requests. It is for
// http.Server.ConnContext of every server whose handlers use a Writer.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// tcpConn returns the TCP connection of a request, nil if it is not known.
func tcpConn(r *http.Request) *net.TCPConn {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	for {
		wrapped, ok := conn.(interface{ NetConn() net.Conn }) // such as *tls.Conn
		if !ok {
			break
		}
		conn = wrapped.NetConn()
	}
	tcp, _ := conn.(*net.TCPConn)
	return tcp
}

const (
	// resetOnClose makes the end of a connection a reset, by whomever it is closed.
	resetOnClose = 0
	// finishOnClose is the default: what was written is sent, and then the end.
	finishOnClose = -1
)
