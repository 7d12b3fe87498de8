package entry

import (
	"context"
	"sync"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// inFlightCounter counts requests in flight and refuses new ones while draining.
type inFlightCounter struct {
	mu       sync.Mutex
	draining bool
	count    int
	drained  chan struct{} // closed when the last request ends; nil until drain waits for one
}

// begin counts a request and reports whether it may be served. A request that
// arrives while draining is counted too, because its refusal may have to be
// recorded with the owner.
func (c *inFlightCounter) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.count++
	return !c.draining
}

func (c *inFlightCounter) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.count--; c.count == 0 && c.drained != nil {
		close(c.drained)
		c.drained = nil
	}
}

// drain refuses new requests from now on and returns a channel that is closed
// when none is in flight.
func (c *inFlightCounter) drain() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if c.count == 0 {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if c.drained == nil {
		c.drained = make(chan struct{})
	}
	return c.drained
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int {
	s.inFlight.mu.Lock()
	defer s.inFlight.mu.Unlock()
	return s.inFlight.count
}

// Drain refuses new requests and waits until those in flight have ended and
// their settlements are confirmed. It returns the error of ctx if ctx ends first.
func (s *Server) Drain(ctx context.Context) error {
	select {
	case <-s.inFlight.drain():
	case <-ctx.Done():
		return ctx.Err()
	}
	return s.settleQueue.waitIdle(ctx)
}

// Close stops the background work immediately. Settlements that are still
// pending are lost; call Drain first.
func (s *Server) Close() { s.settleQueue.close() }

func notReadyError() *failure.Error {
	return failure.New(failure.NotReady, "repeat the request, another instance will take it", "the instance is stopping")
}
