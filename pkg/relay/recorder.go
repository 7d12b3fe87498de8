package relay

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"slices"
	"sync"

	"github.com/clementinerack/clementinerack/pkg/limits"
	"github.com/clementinerack/clementinerack/pkg/membudget"
	"github.com/clementinerack/clementinerack/pkg/splice"
)

// maxLatestBytes is the size of the buffer with which net/http reads a connection. Only
// what was read into the buffer can exceed a body.
const maxLatestBytes = 4 << 10

// maxRefusedRequests bounds the IDs of refused requests that a connection remembers. After
// as many refusals it is closed.
const maxRefusedRequests = 64

// errNoMemory means that the answers of an endpoint, or of all endpoints, already take the
// memory that they may take.
var errNoMemory = errors.New("no memory is left for the answer")

// recorder is a connection to an endpoint that records what net/http does not show of a
// response: the bytes of its head, of which some fields are deleted, and those after its body.
// It carries no request again that was refused on it.
type recorder struct {
	net.Conn

	mu        sync.Mutex
	received  []byte // since start, up to the end of the first final head
	complete  bool   // received contains a final head, or is too long for one
	bodyBytes int64  // received after the head
	latest    []byte // of the latest read, if it has at most maxLatestBytes
	head      membudget.Head
	memory    *membudget.Account // of the request

	// inUse is held from start to release. net/http may hand the connection to the next
	// request before the caller has received the answer to the previous one.
	inUse    sync.Mutex
	refused  []uint64 // hashes of the IDs of the requests that were refused on this connection
	declined bool     // the latest request was not sent on this connection
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

// withRecorder returns a context whose request, with the ID of the given hash, starts the
// recorder of its connection; heads take their memory from the account. used returns that
// recorder, or nil, once the request was sent. Unless the recorder is released, its connection
// must not be used again.
func withRecorder(ctx context.Context, id uint64, memory *membudget.Account) (_ context.Context, used func() *recorder) {
	var r *recorder
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if r != nil {
			r.release() // net/http could not write to it
		}
		if r, _ = info.Conn.(*recorder); r != nil {
			r.start(id, memory)
		}
	}}
	return httptrace.WithClientTrace(ctx, trace), func() *recorder { return r }
}

// start forgets what was received for earlier requests. If the request was refused on this
// connection before, it closes the connection: a copy of the refusal would look like the
// new answer. net/http then sends the request, of which no byte was written, on another
// connection.
func (r *recorder) start(id uint64, memory *membudget.Account) {
	r.inUse.Lock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received, r.complete, r.bodyBytes, r.head, r.memory = nil, false, 0, membudget.Head{}, memory
	if r.declined = len(r.refused) >= maxRefusedRequests || slices.Contains(r.refused, id); r.declined {
		_ = r.Close()
	}
}

// recordRefusal records that the request with the ID of the given hash was refused. It must
// be called between start and release.
func (r *recorder) recordRefusal(id uint64) { r.refused = append(r.refused, id) }

// release ends the use by the request of the latest start, whose answer has arrived.
func (r *recorder) release() { r.inUse.Unlock() }

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
