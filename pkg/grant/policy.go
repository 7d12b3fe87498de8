package grant

import (
	"time"

	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// Policy holds the parameters of the grant policy.
type Policy struct {
	// Horizon is how long the rights of a shard should cover its recent demand
	// without the store.
	Horizon time.Duration
	// Domains is the number of failure domains that may draw on a budget.
	Domains int
	// StandingDivisor sets the standing share, which is the fraction of the tokens
	// unassigned or held here that a shard holds regardless of demand:
	// 1/(StandingDivisor*Domains).
	StandingDivisor int
	// RecallHorizon is how long the rights that a shard keeps on a recall, after
	// another domain has run out, should cover its own demand.
	RecallHorizon time.Duration
	// ExhaustedTTL is how long a shard refuses requests without asking the store
	// after it found a budget exhausted. It bounds the calls to the store for an
	// exhausted budget.
	ExhaustedTTL time.Duration
}

// Defaults of the policy.
const (
	// DefaultHorizon covers a partition of 10 minutes and the time to detect it.
	DefaultHorizon = 11 * time.Minute
	// DefaultStandingDivisor leaves three quarters of a new budget unassigned
	// when every domain has requested rights once.
	DefaultStandingDivisor = 4
	// DefaultRecallHorizon keeps nothing but the rights in use. Keeping rights for
	// 5 s made 4.7 times as many false refusals at the end of a budget; see
	// docs/decisions/grant-policy.md.
	DefaultRecallHorizon = 0
	// DefaultExhaustedTTL is the delay after which a top-up of an exhausted budget
	// is noticed.
	DefaultExhaustedTTL = 500 * time.Millisecond
	// refillBelow is the fraction of the demand over Horizon below which a shard
	// requests a refill. It keeps a shard from calling the store for each request.
	refillBelow = 0.8
	// returnAbove is the multiple of the target above which a shard returns rights.
	returnAbove = 2
	// spareDivisor bounds what one grant may take beyond the immediate need: to
	// 1/spareDivisor of the remaining unassigned tokens. Grants therefore shrink near
	// exhaustion.
	spareDivisor = 2
)

// Default returns the default policy for a number of failure domains. Values below 1
// count as 1.
func Default(domains int) Policy {
	return Policy{
		Horizon: DefaultHorizon, Domains: max(domains, 1), StandingDivisor: DefaultStandingDivisor,
		RecallHorizon: DefaultRecallHorizon, ExhaustedTTL: DefaultExhaustedTTL,
	}
}

// View is the state of one budget as seen by one shard.
type View struct {
	// Unassigned is what no shard held when the budget record was last read.
	Unassigned ledger.Tokens
	// Available is what the shard can still reserve. It is negative if the usable
	// amount was lowered below the charges.
	Available ledger.Tokens
	// Rate is the recent demand in tokens per second.
	Rate float64
}

// Target returns the rights that the shard should hold: enough for its recent demand,
// and at least its standing share.
func (p Policy) Target(v View) ledger.Tokens {
	standing := (v.Unassigned + max(v.Available, 0)) / ledger.Tokens(p.StandingDivisor*p.Domains)
	return max(ledger.Tokens(v.Rate*p.Horizon.Seconds()), standing)
}

// ShouldRefill reports whether the shard should request rights before it runs out.
func (p Policy) ShouldRefill(v View) bool {
	demand := v.Rate * p.Horizon.Seconds()
	return float64(v.Available) < demand*refillBelow
}

// RequestAmount returns how many tokens to request from the store when need tokens are
// to be reserved at once. The result is at most v.Unassigned, and therefore too small
// for need if the budget has too few tokens left.
func (p Policy) RequestAmount(v View, need ledger.Tokens) ledger.Tokens {
	shortfall := max(need-max(v.Available, 0), 0)
	if shortfall >= v.Unassigned {
		return max(v.Unassigned, 0)
	}
	extra := p.Target(v) - max(v.Available, 0) - shortfall
	maxExtra := (v.Unassigned - shortfall) / spareDivisor
	return shortfall + min(max(extra, 0), maxExtra)
}

// ReturnAmount returns how many tokens the shard should return because they are idle,
// or 0.
func (p Policy) ReturnAmount(v View) ledger.Tokens {
	target := p.Target(v)
	if v.Available <= returnAbove*target {
		return 0
	}
	return v.Available - target
}

// RecallAmount returns how many tokens the shard returns on a recall, which another
// domain requests after it has run out.
func (p Policy) RecallAmount(v View) ledger.Tokens {
	retained := ledger.Tokens(v.Rate * p.RecallHorizon.Seconds())
	return max(v.Available-retained, 0)
}

// Rate is an exponentially weighted moving average of demand. The zero value is a rate
// of 0.
type Rate struct {
	perSecond float64
	updatedAt time.Time
}

// rateHalfLife is long enough that one large request does not double a grant.
const rateHalfLife = 2 * time.Minute

// Add records that tokens were reserved at now.
func (r *Rate) Add(tokens ledger.Tokens, now time.Time) {
	r.decay(now)
	r.perSecond += float64(tokens) * decayConstant
}

// PerSecond returns the average at now, in tokens per second. A clock that steps back
// does not change it.
func (r *Rate) PerSecond(now time.Time) float64 {
	r.decay(now)
	return r.perSecond
}
