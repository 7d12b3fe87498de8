// Package keepalive keeps no connections on which a request was refused. An http.Transport
// keeps every connection whose response was read, so that a late copy of a refusal may be
// taken for the response to the next request, which is not refused.
package keepalive

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// errForeignResponse means that a response arrived on a connection on which the request was
// not sent.
var errForeignResponse = errors.New("the response is not that to the request")

// Transport sends HTTP/1 requests. It uses no connection again on which the status of a
// response was 429 or 503. It is safe for concurrent use.
type Transport struct{ base *http.Transport }

// New returns a transport that sends requests with base, whose DialContext it replaces.
// Requests with a body need a GetBody, which http.NewRequest sets.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, reusable: true}, nil
	}
	return &Transport{base}
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var u use
	trace := &httptrace.ClientTrace{GotConn: u.begin}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	u.end(err == nil && !isRefusal(resp.StatusCode))
	if err == nil && u.declined {
		_ = resp.Body.Close()
		return nil, errForeignResponse
	}
	return resp, err
}

func isRefusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

// conn is a connection that carries another request only if reusable is set.
type conn struct {
	net.Conn
	// inUse is held from the choice of the connection for a request to the decision about
	// its response. The Transport may hand the connection to the next request before that.
	inUse    sync.Mutex
	reusable bool
}

// use is the use of connections by a request, of which net/http tries another one if it
// could not write to the first.
type use struct {
	conn     *conn
	declined bool // the request was not sent on conn
}

// begin closes a connection that must not be used again. net/http then sends the request,
// of which no byte was written, on another connection.
func (u *use) begin(info httptrace.GotConnInfo) {
	u.end(false)
	netConn := info.Conn
	if c, ok := netConn.(interface{ NetConn() net.Conn }); ok { // TLS
		netConn = c.NetConn()
	}
	if u.conn, _ = netConn.(*conn); u.conn == nil {
		return
	}
	u.conn.inUse.Lock()
	if u.declined = !u.conn.reusable; u.declined {
		_ = u.conn.Close()
	}
}

// end decides whether the latest connection may be used again.
func (u *use) end(reusable bool) {
	if u.conn == nil {
		return
	}
	u.conn.reusable = reusable
	u.conn.inUse.Unlock()
	u.conn = nil
}
