package entry

import (
	"context"
	"sync"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// gate counts requests in flight and closes for a graceful stop.
type gate struct {
	mu      sync.Mutex
	closed  bool
	inside  int
	emptied chan struct{} // closed when the last request leaves a closed gate
}

// enter counts a request and reports whether the gate is open. A request that
// finds it closed is counted too, because its refusal may have to be recorded.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inside++
	return !g.closed
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inside--; g.inside == 0 && g.emptied != nil {
		close(g.emptied)
		g.emptied = nil
	}
}

// close returns a channel that is closed when no request is inside.
func (g *gate) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.inside == 0 {
		done := make(chan struct{})
		close(done)
		return done
	}
	if g.emptied == nil {
		g.emptied = make(chan struct{})
	}
	return g.emptied
}

// InFlight returns the number of requests that this instance serves now.
func (s *Server) InFlight() int {
	s.gate.mu.Lock()
	defer s.gate.mu.Unlock()
	return s.gate.inside
}

// Drain refuses new requests and waits until those in flight have ended and
// their settlements are confirmed. It returns the error of ctx when that comes
// first.
func (s *Server) Drain(ctx context.Context) error {
	select {
	case <-s.gate.close():
	case <-ctx.Done():
		return ctx.Err()
	}
	return s.settles.wait(ctx)
}

// Close ends the background work at once. Settlements that are still pending
// are lost; call Drain first.
func (s *Server) Close() { s.settles.close() }

func notReady() *failure.Error {
	return failure.New(failure.NotReady, "repeat the request, another instance will take it", "the instance is stopping")
}
