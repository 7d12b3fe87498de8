package shard

import (
	"time"

	"golang.org/x/time/rate"
)

// Limits of misses: calls to the store that obtain no rights because the budget has no
// record or is exhausted. Calls for a budget that has a record and was not exhausted at
// the last call are not limited. With 340 instances, 2 misses/s each are 680 reads/s, a
// third of what the store sustains.
const (
	instanceMissesPerSecond = 2
	instanceMissBurst       = 400 // a new owner looks up all budgets of its shards at once
	// The limit per workspace keeps one that requests random budget names from using
	// up the limit of the instance.
	workspaceMissesPerSecond = 1
	workspaceMissBurst       = 100
)

// missLimiters has separate limits for unknown and for exhausted budgets, so that
// calls for exhausted budgets do not block the first use of new ones. It is confined
// to the control goroutine.
type missLimiters struct {
	unknown, exhausted *missLimiter
}

// missLimiter limits the misses of one kind, per instance and per workspace. A call
// that obtains rights is not counted, so a workspace can start to use many budgets at
// once.
type missLimiter struct {
	instance   missBucket
	workspaces map[string]*missBucket
}

// missBucket is a token bucket for misses. Calls in flight count against it, because
// each of them may turn out to be a miss.
type missBucket struct {
	limiter  *rate.Limiter
	inFlight int
}

func newMissBucket(limit rate.Limit, burst int) missBucket {
	return missBucket{limiter: rate.NewLimiter(limit, burst)}
}

func (b *missBucket) available(now time.Time) int { return int(b.limiter.TokensAt(now)) - b.inFlight }

func (b *missBucket) finish(missed bool, now time.Time) {
	b.inFlight--
	if missed {
		b.limiter.AllowN(now, 1)
	}
}

func newMissLimiters() missLimiters { return missLimiters{newMissLimiter(), newMissLimiter()} }

func newMissLimiter() *missLimiter {
	return &missLimiter{newMissBucket(instanceMissesPerSecond, instanceMissBurst), map[string]*missBucket{}}
}

// tryStart reports whether a call is allowed. An allowed call must be ended with finish. A
// workspace whose bucket is full is allowed a call even if others have used up the
// limit of the instance.
func (l *missLimiter) tryStart(workspace string, now time.Time) bool {
	bucket := l.workspaces[workspace]
	if bucket == nil {
		created := newMissBucket(workspaceMissesPerSecond, workspaceMissBurst)
		bucket = &created
		l.workspaces[workspace] = bucket
	}
	available := bucket.available(now)
	idle := available >= workspaceMissBurst
	if available < 1 || (l.instance.available(now) < 1 && !idle) {
		return false
	}
	bucket.inFlight++
	l.instance.inFlight++
	return true
}

// finish ends a call that tryStart allowed. missed is true for a call that counts as
// a miss.
func (l *missLimiter) finish(workspace string, missed bool, now time.Time) {
	l.workspaces[workspace].finish(missed, now)
	l.instance.finish(missed, now)
}

// tryStartStoreCall reports whether the limits allow a call to the store for rights on
// a budget of the workspace. An allowed call must be ended with finishStoreCall.
func (r *replica) tryStartStoreCall(workspace string, d *demand) bool {
	limits, now := &r.m.missLimits, r.m.now()
	switch {
	case !d.hasRecord:
		d.limiter = limits.unknown
	case d.exhausted:
		d.limiter = limits.exhausted
	default:
		return true
	}
	if d.limiter.tryStart(workspace, now) {
		return true
	}
	d.limiter = nil
	return false
}

// finishStoreCall ends a call that tryStartStoreCall allowed. A call that failed is
// not counted as a miss: the circuit breaker of the store client bounds those.
func (r *replica) finishStoreCall(workspace string, d *demand, err error) {
	if d.limiter != nil {
		d.limiter.finish(workspace, err == nil && (!d.hasRecord || d.exhausted), r.m.now())
		d.limiter = nil
	}
}

// reasonStoreCallLimited is the reason in the reply to a request whose call to the
// store was not allowed.
const reasonStoreCallLimited = "too many requests for unknown or exhausted budgets on this instance; the store was not queried for this one"
