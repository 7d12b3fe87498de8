package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleTimeout is how long an unused connection stays open if the declarations set no
	// limit, and on the listeners that are not for callers.
	idleTimeout = time.Minute
	// idleSweepInterval is the interval of the search for idle connections: short compared
	// with the fifth of a limit by which callers stay below it.
	idleSweepInterval = 500 * time.Millisecond
)

// idleConns closes the connections of callers that are idle for longer than the declarations
// allow. http.Server.IdleTimeout would not follow a change while the server runs, nor hold for
// connections that are idle already.
type idleConns struct {
	limit func() time.Duration // current limit, 0 if none is declared

	mu    sync.Mutex
	conns map[net.Conn]idleConn
}

// idleConn is the state of a connection that waits for a request.
type idleConn struct {
	since   time.Time
	expired bool // exceeded the limit in the latest sweep already
}

func newIdleConns(limit func() time.Duration) *idleConns {
	return &idleConns{limit: limit, conns: map[net.Conn]idleConn{}}
}

// observe records a change of the state of a connection. It is for http.Server.ConnState.
func (c *idleConns) observe(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.conns[conn] = idleConn{since: time.Now()}
		return
	}
	delete(c.conns, conn)
}

// run closes idle connections until ctx ends.
func (c *idleConns) run(ctx context.Context) {
	for {
		select {
		case <-time.After(idleSweepInterval): // a ticker would not keep the interval after a suspension
			c.closeExpired(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// closeExpired closes the connections that exceeded the limit in the previous sweep too. In
// between, a process that was suspended reads the requests that came in time.
func (c *idleConns) closeExpired(now time.Time) {
	limit := c.limit()
	if limit <= 0 {
		limit = idleTimeout
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, idle := range c.conns {
		expired := now.Sub(idle.since) > limit
		if expired && idle.expired {
			_ = conn.Close() // its server notices that and forgets it
			delete(c.conns, conn)
			continue
		}
		c.conns[conn] = idleConn{idle.since, expired}
	}
}
