package entry

import (
	"math"
	"sync"

	"golang.org/x/time/rate"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
)

// limits holds the rate and the requests in flight of each workspace.
type limits struct {
	mu         sync.Mutex
	workspaces map[string]*usage
}

type usage struct {
	limiter  *rate.Limiter
	perSec   float64
	inFlight int
}

func newLimits() *limits { return &limits{workspaces: map[string]*usage{}} }

func (l *limits) of(ws config.Workspace) *usage {
	u := l.workspaces[ws.Name]
	if u == nil {
		u = &usage{perSec: -1}
		l.workspaces[ws.Name] = u
	}
	if u.perSec != ws.RatePerSecond {
		u.perSec = ws.RatePerSecond
		u.limiter = nil
		if u.perSec > 0 {
			// The burst is one second's worth, and at least one request.
			u.limiter = rate.NewLimiter(rate.Limit(u.perSec), int(math.Ceil(u.perSec)))
		}
	}
	return u
}

// allow takes one request of the workspace's rate.
func (l *limits) allow(ws config.Workspace) *failure.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.of(ws); u.limiter != nil && !u.limiter.Allow() {
		return failure.New(failure.Limited, "send fewer requests per second",
			"workspace %q exceeds %g requests per second on this instance", ws.Name, ws.RatePerSecond)
	}
	return nil
}

// enter counts a request in flight; leave must follow when it returns nil.
func (l *limits) enter(ws config.Workspace) *failure.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.of(ws)
	if ws.Concurrency > 0 && u.inFlight >= ws.Concurrency {
		return failure.New(failure.Limited, "wait for earlier requests to end",
			"workspace %q has %d requests in flight on this instance, which is its limit", ws.Name, u.inFlight)
	}
	u.inFlight++
	return nil
}

func (l *limits) leave(ws config.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workspaces[ws.Name].inFlight--
}
