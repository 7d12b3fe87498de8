package shard

import (
	"time"

	"golang.org/x/time/rate"
)

// Limits of the calls to the store for budgets that are unknown here or were
// empty when last asked. A known budget that had room is not limited. At 340
// instances 2 asks/s each are 680 reads/s, a third of what the store sustains.
const (
	instanceAskRate  = 2
	instanceAskBurst = 200 // a new owner learns the budgets of its shards at once
	// A workspace that names budgets at random uses up its own share only.
	workspaceAskRate  = 1
	workspaceAskBurst = 50
)

// askLimits bounds calls to the store for unknown and for empty budgets apart
// from each other, so that exhausted budgets do not keep new ones from being
// found. It belongs to the control goroutine.
type askLimits struct {
	unknown, empty askLimit
}

type askLimit struct {
	instance   *rate.Limiter
	workspaces map[string]*rate.Limiter
}

func newAskLimits() askLimits { return askLimits{newAskLimit(), newAskLimit()} }

func newAskLimit() askLimit {
	return askLimit{rate.NewLimiter(instanceAskRate, instanceAskBurst), map[string]*rate.Limiter{}}
}

// allow takes one call. A workspace that has not asked lately passes even when
// others have used up the limit of the instance.
func (l *askLimit) allow(workspace string, now time.Time) bool {
	own := l.workspaces[workspace]
	if own == nil {
		own = rate.NewLimiter(workspaceAskRate, workspaceAskBurst)
		l.workspaces[workspace] = own
	}
	rested := own.TokensAt(now) >= workspaceAskBurst
	if !own.AllowN(now, 1) {
		return false
	}
	return l.instance.AllowN(now, 1) || rested
}

// mayAsk reports whether the store may be asked for more rights now.
func (r *replica) mayAsk(workspace string, d *demand) bool {
	limits, now := &r.m.asks, r.m.now()
	switch {
	case !d.known:
		return limits.unknown.allow(workspace, now)
	case d.empty:
		return limits.empty.allow(workspace, now)
	}
	return true
}

// reasonNotAsked explains an exhausted reply for which the store was not asked.
const reasonNotAsked = "too many requests for unknown or empty budgets reach this instance; the store was not asked about this one"
