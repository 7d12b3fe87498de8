package relay

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/clementinerack/clementinerack/pkg/limits"
	"github.com/clementinerack/clementinerack/pkg/responsehead"
)

// headRecorder is a connection to an endpoint that records the heads of responses as they
// are received: net/http deletes fields of which a head that goes on with another one shows.
type headRecorder struct {
	net.Conn

	mu       sync.Mutex
	received []byte // since start, up to the end of the first final head
	complete bool   // received contains a final head, or is too long for one
}

// recordHeads returns dial with connections that record heads.
func recordHeads(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &headRecorder{Conn: c, complete: true}, nil
	}
}

// withHeadTrace returns a context whose request records the head of its response. recorder
// returns the recorder once the request has a connection.
func withHeadTrace(ctx context.Context) (_ context.Context, recorder func() *headRecorder) {
	var used *headRecorder
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if r, ok := info.Conn.(*headRecorder); ok {
			used = r
			r.start()
		}
	}}
	return httptrace.WithClientTrace(ctx, trace), func() *headRecorder { return used }
}

// start forgets what was received for earlier requests.
func (r *headRecorder) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received, r.complete = nil, false
}

// Read implements net.Conn.
func (r *headRecorder) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.complete && n > 0 {
		r.received = append(r.received, p[:n]...)
		_, r.complete = responsehead.Final(r.received)
		r.complete = r.complete || len(r.received) > limits.ResponseHeadBytes
	}
	return n, err
}

// isMerged reports whether the head received since start contains another one.
func (r *headRecorder) isMerged() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	head, _ := responsehead.Final(r.received)
	return responsehead.IsMerged(head)
}
