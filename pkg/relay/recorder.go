package relay

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/clementinerack/clementinerack/pkg/limits"
	"github.com/clementinerack/clementinerack/pkg/membudget"
	"github.com/clementinerack/clementinerack/pkg/splice"
)

// maxLatestBytes is the size of the buffer with which net/http reads a connection. Only
// what was read into the buffer can exceed a body.
const maxLatestBytes = 4 << 10

// errNoMemory means that the answers of an endpoint, or of all endpoints, already take the
// memory that they may take.
var errNoMemory = errors.New("no memory is left for the answer")

// recorder is a connection to an endpoint that records what net/http does not show of a
// response: the bytes of its head, of which some fields are deleted, and those after its body.
type recorder struct {
	net.Conn

	mu        sync.Mutex
	received  []byte // since start, up to the end of the first final head
	complete  bool   // received contains a final head, or is too long for one
	bodyBytes int64  // received after the head
	latest    []byte // of the latest read, if it has at most maxLatestBytes
	head      membudget.Head
	memory    *membudget.Account // of the request
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// recordConns returns dial with connections that are recorders.
func recordConns(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &recorder{Conn: c, complete: true}, nil
	}
}

// withRecorder returns a context whose request starts the recorder of its connection; heads take
// their memory from the account. used returns that recorder once the request has a connection.
func withRecorder(ctx context.Context, memory *membudget.Account) (_ context.Context, used func() *recorder) {
	var r *recorder
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if r, _ = info.Conn.(*recorder); r != nil {
			r.start(memory)
		}
	}}
	return httptrace.WithClientTrace(ctx, trace), func() *recorder { return r }
}

// start forgets what was received for earlier requests.
func (r *recorder) start(memory *membudget.Account) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received, r.complete, r.bodyBytes, r.head, r.memory = nil, false, 0, membudget.Head{}, memory
}

// Read implements net.Conn.
func (r *recorder) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.latest = r.latest[:0]; n <= maxLatestBytes {
		r.latest = append(r.latest, p[:n]...)
	}
	if r.complete {
		r.bodyBytes += int64(n)
		return n, err
	}
	if !r.head.Receive(p[:n], r.memory) {
		return 0, errNoMemory
	}
	r.received = append(r.received, p[:n]...)
	head, rest, ok := splice.FinalHead(r.received)
	r.complete = ok || len(r.received) > limits.ResponseHeadBytes
	r.received, r.bodyBytes = head, int64(len(rest))
	return n, err
}

// checkHead fails with splice.ErrHead if the head received since start goes on with other bytes,
// and forgets the head.
func (r *recorder) checkHead() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	err := splice.CheckHead(r.received)
	r.received = nil
	return err
}

// after returns the latest bytes that were received after a body of the given length.
func (r *recorder) after(length int64) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(max(0, r.bodyBytes-length), int64(len(r.latest)))
	return append([]byte(nil), r.latest[len(r.latest)-int(n):]...)
}
