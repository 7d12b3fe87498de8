package rights

import (
	"time"

	"github.com/clementinerack/clementinerack/pkg/tokens"
)

// Policy determines how many rights an instance holds. Large holdings let it serve
// requests while the store is unreachable; small holdings strand fewer rights when
// instances die. Shares are fractions between 0 and 1. The tokens left to a workspace are
// those that are prepaid, neither spent nor lost with instances that have ended.
type Policy struct {
	// Horizon is how long the rights that all instances together hold should cover the
	// consumption of a workspace. They are transferred between instances while the
	// store is unreachable.
	Horizon time.Duration
	// OwnHorizon is how long the rights of one instance should cover the demand that
	// arrives at it, so that requests find rights between two rounds.
	OwnHorizon time.Duration
	// MaxOwnShare bounds the share of the tokens left that all instances together
	// hold because of OwnHorizon. Near the end of a workspace's tokens, requests take
	// what they need instead.
	MaxOwnShare float64
	// StandingShare is the share of the tokens left, less those lost, that all instances
	// together hold regardless of recent demand, because demand may rise while the store is
	// unreachable.
	StandingShare float64
	// MaxStandingShare bounds the share of the same tokens that one buffer holder holds
	// because of StandingShare. At least that much is stranded when it dies.
	MaxStandingShare float64
	// DepletionWindow reduces the rights held because of Horizon for workspaces whose
	// tokens will soon run out: the share of the same tokens that is held is at most the
	// time for which they last, divided by DepletionWindow. The loss of all
	// instances then leaves the rest to the workspace.
	DepletionWindow time.Duration
	// RefillBelow is the fraction of the target below which an instance takes more
	// rights. ReturnAbove is the multiple of the target above which it returns the
	// excess over the target.
	RefillBelow, ReturnAbove float64
	// MinChangeShare is the fraction of the target below which taking more rights is not
	// worth a transaction.
	MinChangeShare float64
	// MaxRoundShare bounds the share of the ungranted tokens that all instances together
	// take in one round, so that the last tokens are spread over them.
	MaxRoundShare float64
}

// DefaultPolicy returns the default values. docs/platform.md compares them with others.
func DefaultPolicy() Policy {
	return Policy{Horizon: 11 * time.Second, OwnHorizon: 1800 * time.Millisecond, MaxOwnShare: 0.05, StandingShare: 0.17, MaxStandingShare: 0.015, DepletionWindow: 150 * time.Second,
		RefillBelow: 0.85, ReturnAbove: 1.2, MinChangeShare: 0.1, MaxRoundShare: 1}
}

// PolicyInput is what is known about one workspace at one instance.
type PolicyInput struct {
	// Holding is the state of the workspace at this instance.
	Holding Holding
	// Prepaid, Granted and Spent are the workspace's totals over all instances. Granted
	// may be stale, and Spent lags behind the real consumption.
	Prepaid, Granted, Spent Tokens
	// Lost estimates the tokens that were granted to instances which have ended, and that
	// nobody can spend any more.
	Lost Tokens
	// FleetRate is the consumption of the workspace at all instances, in tokens
	// per second.
	FleetRate float64
	// BufferHolders is the number of instances that hold rights beyond their own demand,
	// for a store outage. Values below 1 count as 1.
	BufferHolders int
	// NoBuffer reports that this instance is not a buffer holder: it holds rights only
	// for its own demand, and gets them from a supplier.
	NoBuffer bool
	// Shortfall is the number of tokens that waiting requests lack beyond the free ones.
	Shortfall Tokens
}

// Target returns the number of free rights that the instance should hold.
func (p Policy) Target(in PolicyInput) Tokens {
	holders := float64(max(1, in.BufferHolders))
	left := float64(in.Prepaid.Excess(in.Spent.Plus(in.Lost)))
	// Buffers shrink with what has been lost, so that repeated losses of all instances
	// leave tokens to the workspace.
	base := max(0, left-float64(in.Lost))
	standing := base * min(p.StandingShare/holders, p.MaxStandingShare)
	shared := max(standing, p.demandBuffer(in.FleetRate, base)/holders)
	if in.NoBuffer {
		shared = 0
	}
	own := in.Holding.Rate * min(p.OwnHorizon.Seconds(), p.MaxOwnShare*left/max(in.FleetRate, in.Holding.Rate, 1))
	if own < float64(in.Holding.RequestCost) {
		// Less than one request needs would only be taken and returned: in a large fleet
		// each instance gets few requests of a workspace, and asks for the rights of each.
		own = 0
	}
	target := tokens.FromFloat(max(shared, own))
	if in.Shortfall == 0 {
		return target
	}
	return max(target, in.Holding.Free.Plus(in.Shortfall))
}

// demandBuffer returns the tokens that all instances together should hold for a
// consumption of rate tokens per second, out of left tokens.
func (p Policy) demandBuffer(rate, left float64) float64 {
	if rate <= 0 {
		return 0
	}
	secondsLeft := left / rate
	return min(rate*p.Horizon.Seconds(), left*secondsLeft/p.DepletionWindow.Seconds())
}

// Change returns the number of rights to take, or to return if it is negative.
func (p Policy) Change(in PolicyInput) Delta {
	target := p.Target(in)
	ungranted := in.Prepaid.Excess(in.Granted)
	free := in.Holding.Free
	minChange := tokens.FromFloat(p.MinChangeShare * float64(target))
	switch {
	case in.Granted > in.Prepaid:
		return Tokens(0).Minus(min(free, in.Granted.Excess(in.Prepaid)))
	case float64(free.Excess(in.Holding.Waiting)) > float64(target)*p.ReturnAbove:
		return target.Minus(free.Excess(in.Holding.Waiting))
	case in.Shortfall == 0 && float64(free) >= float64(target)*p.RefillBelow:
		return 0
	}
	share := tokens.FromFloat(float64(ungranted) * min(1, p.MaxRoundShare/float64(max(1, in.BufferHolders))))
	if change := min(target.Excess(free), max(share, min(in.Shortfall, ungranted))); change > 0 && change >= minChange {
		return change.Minus(0)
	}
	return 0
}
