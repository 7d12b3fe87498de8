// Package ingress bounds what callers can make a process hold: connections, heads and bodies
// of requests, and answers that they do not read.
package ingress

import (
	"sync"
	"sync/atomic"
	"time"
)

// Limits bounds what all callers together hold.
type Limits struct {
	Connections int   // open at the same time
	Bytes       int64 // of heads and bodies
}

// Rules are what one caller has to keep to. They may change while connections are open.
type Rules struct {
	// HeadBytes bounds the head of a request, and HeadTimeout the time in which it arrives.
	HeadBytes   int64
	HeadTimeout time.Duration
	// IdleTimeout bounds the time without a request, and that without progress of a body
	// or of an answer.
	IdleTimeout time.Duration
}

// Cause says why the connection of a caller was ended.
type Cause string

// Values of Cause.
const (
	// Memory means that heads and bodies take all of Limits.Bytes.
	Memory Cause = "memory"
	// Connections means that as many connections are open as may be.
	Connections Cause = "connections"
	// Idle means that no request arrived.
	Idle Cause = "idle"
	// SlowHead, SlowBody and SlowReader mean that a head, a body or the reading of an answer
	// took too long or made no progress.
	SlowHead   Cause = "slow-head"
	SlowBody   Cause = "slow-body"
	SlowReader Cause = "slow-reader"
	// LongHead means that a head exceeds Rules.HeadBytes.
	LongHead Cause = "long-head"
)

// phase is how far the current request of a connection has got.
type phase uint32

const (
	waiting phase = iota // for the first byte of a request
	inHead
	inBody
	running // the request has arrived
	refused // its answer is sent and its connection ends
	ended   // by the guard
)

// stallTime is how long a caller may make no progress before it yields to others that need
// memory or a connection. It exceeds the interval of sweeps.
const stallTime = time.Second

// started is the origin of deadlines, which do not follow jumps of the time of day.
var started = time.Now()

// Account is what the guard knows of one connection.
type Account struct {
	conn     *Conn
	sequence uint64 // grows with each connection

	// These are changed without a lock, so that requests cost little; sweeps find out about
	// the changes.
	phase    atomic.Uint32
	received atomic.Int64
	sent     atomic.Int64
	heads    atomic.Int64 // that have begun to arrive
	writing  atomic.Bool  // an answer is being written
	deadline atomic.Int64 // of the body, as the time since started, 0 if none

	// Guarded by Guard.mu.
	head, body int64 // bytes that it holds
	progress   int64 // received and sent as of the latest sweep
	seen       phase // as of the latest sweep
	seenHeads  int64 // as of the latest sweep
	since      time.Time
	overdue    bool  // as of the latest sweep
	cause      Cause // why it was ended, and in which phase
	endedIn    phase
}

func (a *Account) currentPhase() phase { return phase(a.phase.Load()) }

// move changes the phase and reports whether it was from.
func (a *Account) move(from, to phase) bool {
	return a.phase.CompareAndSwap(uint32(from), uint32(to))
}

// Guard decides whose connection ends when callers hold too much or take too long. It does no
// I/O: its methods return the connections that it has ended. It is safe for concurrent use.
type Guard struct {
	limits Limits

	mu         sync.Mutex
	accounts   map[*Account]struct{}
	sequence   uint64
	head, body int64 // bytes that all hold
	leaving    int64 // bytes of ended connections among them
}

// NewGuard returns a guard of no connections.
func NewGuard(limits Limits) *Guard {
	return &Guard{limits: limits, accounts: map[*Account]struct{}{}}
}

// Usage is what all connections hold.
type Usage struct {
	Connections int
	Head, Body  int64 // bytes
}

// Usage returns what all connections hold.
func (g *Guard) Usage() Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Usage{len(g.accounts), g.head, g.body}
}

// open adds a connection. If there are too many, the worst of the others ends. The account is
// nil if all others are needed.
func (g *Guard) open(c *Conn, now time.Time) (added, victim *Account) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limits.Connections > 0 && len(g.accounts) >= g.limits.Connections {
		if victim = g.endWorst(now, Connections, rankConnection); victim == nil {
			return nil, nil
		}
		g.forget(victim)
	}
	g.sequence++
	added = &Account{conn: c, sequence: g.sequence, since: now}
	g.accounts[added] = struct{}{}
	return added, victim
}

// close removes a connection.
func (g *Guard) close(a *Account) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(a)
	g.forget(a)
}

// forget removes a connection from those that count. The mutex is held.
func (g *Guard) forget(a *Account) { delete(g.accounts, a) }

// end ends a connection unless its phase has changed meanwhile. The mutex is held.
func (g *Guard) end(a *Account, from phase, cause Cause) bool {
	if !a.move(from, ended) {
		return false
	}
	a.cause, a.endedIn = cause, from
	g.leaving += a.head + a.body
	return true
}

// endWorst ends the connection with the highest rank above 0. The mutex is held.
func (g *Guard) endWorst(now time.Time, cause Cause, rank func(*Account, phase, time.Time) float64) *Account {
	for range endAttempts {
		var worst *Account
		var from phase
		highest := 0.0
		for a := range g.accounts {
			p := a.currentPhase()
			r := rank(a, p, now)
			if r > highest || r > 0 && r == highest && a.sequence < worst.sequence {
				worst, from, highest = a, p, r
			}
		}
		if worst == nil {
			return nil
		}
		if g.end(worst, from, cause) {
			return worst
		}
	}
	return nil
}

// endAttempts bounds the search for a connection whose request does not get on meanwhile.
const endAttempts = 4

// stalledFor returns how long a connection has made no progress that a sweep saw.
func (a *Account) stalledFor(p phase, now time.Time) time.Duration {
	if p != a.seen || a.received.Load()+a.sent.Load() != a.progress {
		return 0
	}
	return now.Sub(a.since)
}

// isStalled reports whether a request waits for its caller for too long to keep others waiting.
func (a *Account) isStalled(p phase, now time.Time) bool {
	return (p == inHead || p == inBody || p == running && a.writing.Load()) && a.stalledFor(p, now) >= stallTime
}

// rankConnection orders connections by how little is lost if they end: those that end anyway,
// requests that wait for their callers, idle connections from the one that is idle for longest,
// and requests that still arrive.
func rankConnection(a *Account, p phase, now time.Time) float64 {
	const class = 1e9 // seconds
	age := a.stalledFor(p, now).Seconds() + 1
	switch {
	case p == refused:
		return 4*class + age
	case a.isStalled(p, now):
		return 3*class + age
	case p == waiting:
		return 2*class + age
	case p == inHead:
		return class + age
	case p == inBody:
		return age
	}
	return 0
}

// take takes bytes for the body of a request. If too few are left, requests that wait for
// their callers end, and then larger ones that are still arriving, by how much they have held
// for how long. It reports false if those do not suffice.
func (g *Guard) take(a *Account, n int64, now time.Time) (ok bool, victims []*Account) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.currentPhase() == ended {
		return false, nil
	}
	for g.head+g.body-g.leaving+n > g.limits.Bytes {
		victim := g.endWorst(now, Memory, func(other *Account, p phase, now time.Time) float64 {
			return rankHolder(other, p, now, a, n)
		})
		if victim == nil {
			return false, victims
		}
		victims = append(victims, victim)
	}
	if g.head+g.body+n > g.limits.Bytes+g.limits.Bytes/excessShare {
		return false, victims // until those that ended have returned what they hold
	}
	a.body += n
	g.body += n
	return true, victims
}

// excessShare bounds, as a divisor of Limits.Bytes, by how much it is exceeded while ended
// connections still hold what others already take.
const excessShare = 2

// rankHolder orders connections for take, which needs n bytes for a.
func rankHolder(other *Account, p phase, now time.Time, a *Account, n int64) float64 {
	const stalled = 1e18 // above all byte-seconds
	held := other.head + other.body
	switch {
	case other == a || held == 0:
		return 0
	case other.isStalled(p, now):
		return stalled + float64(held)
	case (p == inBody || p == inHead) && held > a.body+a.head+n:
		return float64(held) * (now.Sub(other.since).Seconds() + 1)
	}
	return 0
}

// takeHead takes what a part of a head costs. It reports false if too little is left.
func (g *Guard) takeHead(a *Account, n int64, now time.Time) (ok bool, victims []*Account) {
	ok, victims = g.take(a, n, now)
	if ok {
		g.mu.Lock()
		defer g.mu.Unlock()
		a.body -= n
		a.head += n
		g.body -= n
		g.head += n
	}
	return ok, victims
}

// giveBack returns bytes of a body.
func (g *Guard) giveBack(a *Account, n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a.body -= n
	g.body -= n
	if a.currentPhase() == ended {
		g.leaving -= n
	}
}

// releaseAll returns all that a connection holds.
func (g *Guard) releaseAll(a *Account) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.release(a)
}

// release is releaseAll for callers that hold the mutex.
func (g *Guard) release(a *Account) {
	if a.cause != "" && a.currentPhase() == ended {
		g.leaving -= a.head + a.body
	}
	g.head, g.body = g.head-a.head, g.body-a.body
	a.head, a.body = 0, 0
}

// ending returns why a connection was ended, "" if it was not, and in which phase.
func (g *Guard) ending(a *Account) (Cause, phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return a.cause, a.endedIn
}

// sweep ends the connections that break the rules, and returns them. A connection must break
// them in two sweeps: in between, a process that was suspended reads what came in time.
func (g *Guard) sweep(now time.Time, rules Rules) (victims []*Account) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for a := range g.accounts {
		p := a.currentPhase()
		if progress := a.received.Load() + a.sent.Load(); p != a.seen || a.heads.Load() != a.seenHeads || p != inHead && progress != a.progress {
			a.seen, a.seenHeads, a.progress, a.since = p, a.heads.Load(), progress, now
		} else {
			a.progress = progress
		}
		cause := a.violation(p, now, rules)
		if cause == "" {
			a.overdue = false
			continue
		}
		if a.overdue && g.end(a, p, cause) {
			victims = append(victims, a)
			continue
		}
		a.overdue = true
	}
	return victims
}

// violation returns the rule that a connection breaks, or "".
func (a *Account) violation(p phase, now time.Time, rules Rules) Cause {
	age := now.Sub(a.since)
	deadline := a.deadline.Load()
	switch {
	case p == waiting && age > rules.IdleTimeout:
		return Idle
	case p == inHead && age > rules.HeadTimeout:
		return SlowHead
	case p == inBody && (age > rules.IdleTimeout || deadline != 0 && now.Sub(started) > time.Duration(deadline)):
		return SlowBody
	case p == running && a.writing.Load() && age > rules.IdleTimeout:
		return SlowReader
	}
	return ""
}
