// Package abort makes responses that cannot be completed recognizable as such.
package abort

import (
	"net"
	"net/http"
)

// reset resets the connection of an HTTP/1.0 request: a body without a length ends
// there when the connection is closed.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is closed already
	}
	defer func() { _ = conn.Close() }()
	raw := conn
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok { // *tls.Conn
		raw = wrapped.NetConn()
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = raw.Close()
}
