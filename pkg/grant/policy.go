package grant

import (
	"time"

	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// Policy holds the parameters of the grant policy.
type Policy struct {
	// Horizon is how long a shard should be able to serve its recent demand
	// without the store.
	Horizon time.Duration
	// Domains is the number of failure domains that may draw on a budget.
	Domains int
	// StandingDivisor sets the share of the unassigned rest that a shard takes
	// without any known demand: 1/(StandingDivisor*Domains).
	StandingDivisor int
	// RecallHorizon is the time for which a shard keeps rights for its own demand
	// when another domain has run out.
	RecallHorizon time.Duration
	// ExhaustedTTL is how long a shard refuses by itself after it found a budget
	// empty. It bounds the calls to the store for an exhausted budget.
	ExhaustedTTL time.Duration
}

// Defaults of the policy.
const (
	// DefaultHorizon covers a partition of 10 minutes and the time to notice it.
	DefaultHorizon = 11 * time.Minute
	// DefaultStandingDivisor leaves three quarters of a new budget unassigned
	// when every domain has asked once.
	DefaultStandingDivisor = 4
	// DefaultRecallHorizon returns everything that is not in use: keeping rights for
	// 5 s made 4.7 times as many false refusals at the end of a budget. See
	// docs/decisions/grant-policy.md.
	DefaultRecallHorizon = 0
	// DefaultExhaustedTTL is the delay after which a top-up of an exhausted budget
	// is noticed.
	DefaultExhaustedTTL = 500 * time.Millisecond
	// refillPoint is the part of the target below which a shard asks again. It
	// keeps a shard from calling the store for each request.
	refillPoint = 0.8
	// idleFactor is how many targets a shard may hold before it gives back.
	idleFactor = 2
	// restFraction is the largest part of the unassigned rest that one grant
	// may take beyond the immediate need, so that grants shrink near exhaustion.
	restFraction = 2
)

// Default returns the policy for a number of failure domains.
func Default(domains int) Policy {
	return Policy{
		Horizon: DefaultHorizon, Domains: max(domains, 1), StandingDivisor: DefaultStandingDivisor,
		RecallHorizon: DefaultRecallHorizon, ExhaustedTTL: DefaultExhaustedTTL,
	}
}

// View is what the policy knows about one budget at one shard.
type View struct {
	// Unassigned is what no shard holds, at the last read of the record.
	Unassigned ledger.Tokens
	// Available is what the shard can still reserve.
	Available ledger.Tokens
	// Rate is the recent demand in tokens per second.
	Rate float64
}

// Target returns the rights that the shard should hold for its recent demand.
func (p Policy) Target(v View) ledger.Tokens {
	standing := (v.Unassigned + max(v.Available, 0)) / ledger.Tokens(p.StandingDivisor*p.Domains)
	return max(ledger.Tokens(v.Rate*p.Horizon.Seconds()), standing)
}

// ShouldRefill reports whether the shard should ask before it runs out.
func (p Policy) ShouldRefill(v View) bool {
	demand := v.Rate * p.Horizon.Seconds()
	return float64(v.Available) < demand*refillPoint
}

// RequestAmount returns how much to ask for when need tokens are wanted at once. The
// result is at most v.Unassigned; it is less than need when the budget has no
// more.
func (p Policy) RequestAmount(v View, need ledger.Tokens) ledger.Tokens {
	short := max(need-max(v.Available, 0), 0)
	if short >= v.Unassigned {
		return max(v.Unassigned, 0)
	}
	more := p.Target(v) - max(v.Available, 0) - short
	spare := (v.Unassigned - short) / restFraction
	return short + min(max(more, 0), spare)
}

// ReturnAmount returns how much an idle shard should give back, or 0.
func (p Policy) ReturnAmount(v View) ledger.Tokens {
	target := p.Target(v)
	if v.Available <= idleFactor*target {
		return 0
	}
	return v.Available - target
}

// RecallAmount returns how much a shard gives back when another domain has run out
// and asks for it.
func (p Policy) RecallAmount(v View) ledger.Tokens {
	keep := ledger.Tokens(v.Rate * p.RecallHorizon.Seconds())
	return max(v.Available-keep, 0)
}

// Rate is an exponentially weighted average of demand.
type Rate struct {
	perSecond float64
	at        time.Time
}

// rateHalfLife is long enough that one large request does not double a grant.
const rateHalfLife = 2 * time.Minute

// Add notes that tokens were reserved at now.
func (r *Rate) Add(tokens ledger.Tokens, now time.Time) {
	r.decay(now)
	r.perSecond += float64(tokens) * decayPerSecond
}

// PerSecond returns the average at now in tokens per second.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.decay(now)
	return r.perSecond
}
