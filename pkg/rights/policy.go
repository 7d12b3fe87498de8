package rights

import "time"

// Policy decides how many rights an instance holds. Large holdings serve on
// while the store is away; small ones strand less when instances die.
type Policy struct {
	// Horizon is the demand of a workspace that all instances together hold, to be
	// moved between them while the store is away.
	Horizon time.Duration
	// OwnHorizon is the demand that arrives at this instance which it holds by
	// itself, so that requests find rights between two rounds.
	OwnHorizon time.Duration
	// MaxOwnShare bounds the part of the unspent tokens that all instances together hold
	// for that reason: near the end of a workspace's tokens requests take what they
	// need.
	MaxOwnShare float64
	// StandingShare is the part of the unspent tokens that all instances together
	// hold whatever the recent demand, because it may rise while the store is away.
	StandingShare float64
	// MaxStandingShare bounds the part of the unspent tokens that one taker holds for
	// that reason, which is what its death strands at least.
	MaxStandingShare float64
	// DepletionWindow shortens the Horizon of workspaces that will soon be used up: the part
	// of their unspent tokens that is held is the time for which these last, divided
	// by DepletionWindow. A loss of all instances then leaves them the rest.
	DepletionWindow time.Duration
	// RefillBelow is the part of the target under which more is taken, and
	// ReturnAbove the multiple over which the rest is given back.
	RefillBelow, ReturnAbove float64
	// MinChangeShare is the part of the target below which a change is not worth a
	// transaction.
	MinChangeShare float64
	// MaxRoundShare is the share of the ungranted tokens that all instances together
	// take in one round, so that the last ones spread.
	MaxRoundShare float64
}

// DefaultPolicy returns the values in use; docs/platform.md compares them.
func DefaultPolicy() Policy {
	return Policy{Horizon: 11 * time.Second, OwnHorizon: 1800 * time.Millisecond, MaxOwnShare: 0.05, StandingShare: 0.17, MaxStandingShare: 0.015, DepletionWindow: 150 * time.Second,
		RefillBelow: 0.85, ReturnAbove: 1.2, MinChangeShare: 0.1, MaxRoundShare: 1}
}

// PolicyInput is what the policy decides from.
type PolicyInput struct {
	Holding Holding
	// Prepaid, Granted and Spent are the workspace's totals; Granted may be out of
	// date and Spent lags behind.
	Prepaid, Granted, Spent Tokens
	// FleetRate is the consumption of the workspace at all instances, in tokens
	// per second.
	FleetRate float64
	// BufferHolders is the number of instances that take rights from the store, at least 1.
	BufferHolders int
	// NoBuffer marks an instance that gets its rights from takers.
	NoBuffer bool
	// Shortfall is what waiting requests lack.
	Shortfall Tokens
}

// Target returns the rights that the instance should hold free.
func (p Policy) Target(s PolicyInput) Tokens {
	n := float64(max(1, s.BufferHolders))
	unspent := float64(max(0, s.Prepaid-s.Spent))
	standing := unspent * min(p.StandingShare/n, p.MaxStandingShare)
	shared := max(standing, p.covered(s.FleetRate, unspent)/n)
	if s.NoBuffer {
		shared = 0
	}
	own := s.Holding.Rate * min(p.OwnHorizon.Seconds(), p.MaxOwnShare*unspent/max(s.FleetRate, s.Holding.Rate, 1))
	return Tokens(max(shared, own)) + s.Shortfall
}

// covered returns what all instances together hold for a recent demand.
func (p Policy) covered(rate, unspent float64) float64 {
	if rate <= 0 {
		return 0
	}
	lasts := unspent / rate // seconds
	return min(rate*p.Horizon.Seconds(), unspent*lasts/p.DepletionWindow.Seconds())
}

// Change returns the rights to take, or, if negative, to give back.
func (p Policy) Change(s PolicyInput) Tokens {
	target := p.Target(s)
	rest := s.Prepaid - s.Granted
	free := s.Holding.Free
	least := Tokens(p.MinChangeShare * float64(target))
	switch {
	case rest < 0:
		return -min(free, -rest)
	case float64(free) > float64(target)*p.ReturnAbove:
		return target - free
	case s.Shortfall == 0 && float64(free) >= float64(target)*p.RefillBelow:
		return 0
	}
	share := Tokens(float64(rest) * min(1, p.MaxRoundShare/float64(max(1, s.BufferHolders))))
	if d := min(target-free, max(share, min(s.Shortfall, rest))); d > 0 && d >= least {
		return d
	}
	return 0
}
