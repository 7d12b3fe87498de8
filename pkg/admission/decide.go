package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// Never is the estimate of a wait that has no foreseeable end.
const Never time.Duration = math.MaxInt64

// Supply is what the requests of a queue can expect.
type Supply struct {
	// Free is what is available now.
	Free float64
	// PerSecond is the rate at which more becomes free, by recent experience, and Pending
	// what is expected to become free of all that is in use. The rate ends with it.
	PerSecond, Pending float64
	// SourceDelay is the expected time until a source has supplied up to SourceUnits.
	SourceDelay time.Duration
	SourceUnits float64
}

// Wait estimates when a request that needs units is served behind others that need ahead.
func (s Supply) Wait(ahead, units float64) time.Duration {
	missing := ahead + units - s.Free
	if missing <= 0 {
		return 0
	}
	wait := Never
	if missing <= s.SourceUnits {
		wait = s.SourceDelay
	}
	if missing <= s.Pending {
		wait = min(wait, duration(missing, s.PerSecond))
	}
	return wait
}

// Spacing returns the time for which the supply covers units and nothing else.
func (s Supply) Spacing(units float64) time.Duration { return duration(units, s.PerSecond) }

// duration returns the time in which units become available, or Never.
func duration(units, perSecond float64) time.Duration {
	seconds := units / perSecond
	if !(seconds < float64(Never)/float64(time.Second)) { // also if it is no number
		return Never
	}
	return time.Duration(seconds * float64(time.Second))
}

// Patience is the time that a request has.
type Patience struct {
	// Objective is the time until which a response counts as fast, and Deadline that of the
	// complete response. Objective may be zero.
	Objective, Deadline time.Time
	// Trial is how long the request waits for an attempt to get more whose result cannot be
	// estimated, or 0.
	Trial time.Duration
}

// maxWaitShare bounds a wait, as a fraction of what is left to the deadline: a caller that is
// refused then can still be served elsewhere or later.
const maxWaitShare = 0.5

// minWait is the shortest time for which a request waits: what frees supply for others at the
// same moment may serve it.
const minWait = 5 * time.Millisecond

// waitMargin is the multiple of its estimate for which a request waits.
const waitMargin = 2

// Decide returns until when a request waits whose wait is estimated as wait, or false if it
// is refused at once because it would not be served in time.
func Decide(now time.Time, wait time.Duration, p Patience) (until time.Time, ok bool) {
	wait = max(wait, minWait)
	latest := now.Add(time.Duration(float64(p.Deadline.Sub(now)) * maxWaitShare))
	if !p.Objective.IsZero() && p.Objective.Before(latest) {
		latest = p.Objective
	}
	trial := now.Add(p.Trial)
	if trial.After(latest) {
		trial = latest
	}
	if wait > latest.Sub(now) {
		return trial, trial.After(now)
	}
	until = now.Add(waitMargin * wait)
	switch {
	case until.Before(trial):
		until = trial
	case until.After(latest):
		until = latest
	}
	return until, until.After(now)
}

// Returns spreads the callers that were refused for want of one supply over the time in which
// it can serve them, in the order of their refusals.
type Returns struct {
	last time.Time // the latest moment that a caller was told
}

// Bounds of the delays after which refused callers come back.
const (
	MinReturnDelay = 50 * time.Millisecond
	MaxReturnDelay = 10 * time.Second
)

// Next returns after which delay a refused caller comes back: when it is expected to be served
// (see Supply.Wait), and not before those that were told to come back earlier. spacing is the
// time for which it uses the supply then. Next returns fallback if wait is Never, or 0 although
// the caller was refused.
func (r *Returns) Next(now time.Time, wait, spacing, fallback time.Duration) time.Duration {
	switch {
	case wait == 0, wait == Never:
		return fallback
	case spacing == Never: // nothing is known about those that come back later
		return BoundReturn(Jitter(wait))
	}
	at := now.Add(min(wait, MaxReturnDelay))
	if next := r.last.Add(min(spacing, MaxReturnDelay)); r.last.After(now) && next.After(at) {
		at = next
	}
	delay := BoundReturn(at.Sub(now))
	r.last = now.Add(delay)
	return delay
}

// BoundReturn returns d within the bounds of return delays.
func BoundReturn(d time.Duration) time.Duration { return min(max(d, MinReturnDelay), MaxReturnDelay) }

// Jitter returns a random duration between half of d and one and a half of d, so that callers
// that were refused together do not come back together.
func Jitter(d time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(d))
}
