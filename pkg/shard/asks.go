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
	instanceAskBurst = 400 // a new owner learns the budgets of its shards at once
	// A workspace that names budgets at random uses up its own share only.
	workspaceAskRate  = 1
	workspaceAskBurst = 100
)

// askLimits bounds calls to the store for unknown and for empty budgets apart
// from each other, so that exhausted budgets do not keep new ones from being
// found. It belongs to the control goroutine.
type askLimits struct {
	unknown, empty *askLimit
}

// askLimit bounds the calls of one kind that bring no rights. A call that brings
// some costs nothing, so that a workspace may begin to use many budgets at once.
type askLimit struct {
	instance   failedAsks
	workspaces map[string]*failedAsks
}

// failedAsks limits the calls without a result and counts those under way, each of
// which may turn out to be one.
type failedAsks struct {
	limiter  *rate.Limiter
	underWay int
}

func newFailedAsks(limit rate.Limit, burst int) failedAsks {
	return failedAsks{limiter: rate.NewLimiter(limit, burst)}
}

func (f *failedAsks) room(now time.Time) int { return int(f.limiter.TokensAt(now)) - f.underWay }

func (f *failedAsks) end(failed bool, now time.Time) {
	f.underWay--
	if failed {
		f.limiter.AllowN(now, 1)
	}
}

func newAskLimits() askLimits { return askLimits{newAskLimit(), newAskLimit()} }

func newAskLimit() *askLimit {
	return &askLimit{newFailedAsks(instanceAskRate, instanceAskBurst), map[string]*failedAsks{}}
}

// begin takes one call, which must be ended. A workspace that has not asked lately
// passes even when others have used up the limit of the instance.
func (l *askLimit) begin(workspace string, now time.Time) bool {
	own := l.workspaces[workspace]
	if own == nil {
		f := newFailedAsks(workspaceAskRate, workspaceAskBurst)
		own = &f
		l.workspaces[workspace] = own
	}
	room := own.room(now)
	rested := room >= workspaceAskBurst
	if room < 1 || (l.instance.room(now) < 1 && !rested) {
		return false
	}
	own.underWay++
	l.instance.underWay++
	return true
}

func (l *askLimit) end(workspace string, failed bool, now time.Time) {
	l.workspaces[workspace].end(failed, now)
	l.instance.end(failed, now)
}

// mayAsk reports whether the store may be asked for more rights now.
func (r *replica) mayAsk(workspace string, d *demand) bool {
	limits, now := &r.m.asks, r.m.now()
	switch {
	case !d.known:
		d.limit = limits.unknown
	case d.empty:
		d.limit = limits.empty
	default:
		return true
	}
	if d.limit.begin(workspace, now) {
		return true
	}
	d.limit = nil
	return false
}

// endAsk returns what mayAsk took. A call that the store did not answer is not
// counted: the circuit breaker bounds those.
func (r *replica) endAsk(workspace string, d *demand, err error) {
	if d.limit != nil {
		d.limit.end(workspace, err == nil && (!d.known || d.empty), r.m.now())
		d.limit = nil
	}
}

// reasonNotAsked explains an exhausted reply for which the store was not asked.
const reasonNotAsked = "too many requests for unknown or empty budgets reach this instance; the store was not asked about this one"
