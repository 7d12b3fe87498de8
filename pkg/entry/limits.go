package entry

import (
	"math"
	"sync"

	"golang.org/x/time/rate"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
)

// workspaceLimits enforces the request rate and the concurrency of each workspace
// on this instance.
type workspaceLimits struct {
	mu         sync.Mutex
	workspaces map[string]*workspaceUsage
}

type workspaceUsage struct {
	limiter       *rate.Limiter
	ratePerSecond float64
	inFlight      int
}

func newWorkspaceLimits() *workspaceLimits {
	return &workspaceLimits{workspaces: map[string]*workspaceUsage{}}
}

func (l *workspaceLimits) getUsage(ws config.Workspace) *workspaceUsage {
	u := l.workspaces[ws.Name]
	if u == nil {
		u = &workspaceUsage{ratePerSecond: -1}
		l.workspaces[ws.Name] = u
	}
	if u.ratePerSecond != ws.RatePerSecond {
		u.ratePerSecond = ws.RatePerSecond
		u.limiter = nil
		if u.ratePerSecond > 0 {
			// The burst is the rate of one second and at least one request.
			u.limiter = rate.NewLimiter(rate.Limit(u.ratePerSecond), int(math.Ceil(u.ratePerSecond)))
		}
	}
	return u
}

// allow takes one request from the workspace's rate. It returns failure.Limited
// if the rate is exceeded.
func (l *workspaceLimits) allow(ws config.Workspace) *failure.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.getUsage(ws); u.limiter != nil && !u.limiter.Allow() {
		return failure.New(failure.Limited, "send fewer requests per second",
			"workspace %q exceeds %g requests per second on this instance", ws.Name, ws.RatePerSecond)
	}
	return nil
}

// acquire counts a request in flight. It returns failure.Limited if the workspace
// has reached its concurrency; otherwise release must be called.
func (l *workspaceLimits) acquire(ws config.Workspace) *failure.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.getUsage(ws)
	if ws.Concurrency > 0 && u.inFlight >= ws.Concurrency {
		return failure.New(failure.Limited, "wait for earlier requests to end",
			"workspace %q has %d requests in flight on this instance, which is its limit", ws.Name, u.inFlight)
	}
	u.inFlight++
	return nil
}

func (l *workspaceLimits) release(ws config.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.workspaces[ws.Name].inFlight--
}
