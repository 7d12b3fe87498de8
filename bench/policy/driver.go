//go:build bench

package policy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/ledger"
)

const (
	// largeBudgetCount is how many of the 10 budgets (defaultBudgetCount) are large.
	largeBudgetCount   = 3
	defaultBudgetCount = 10
	// largeBudgetShare is the share of the demand that goes to the large budgets.
	largeBudgetShare = 0.75
	// reserveTimeout is how long a caller waits for the decision on a reservation.
	reserveTimeout = 10 * time.Second
	// settleTimeout is how long an instance retries a settlement.
	settleTimeout = 15 * time.Minute
)

// account is the exact state of one budget in tokens. The driver keeps it to check
// the decisions of the system.
type account struct{ paid, reserved, charged ledger.Tokens }

func (a account) remaining() ledger.Tokens { return a.paid - a.reserved - a.charged }

// counters are the results of one run.
type counters struct {
	Requests int `json:"requests"`
	// WithRoom counts the requests that were admitted or whose budget could pay for
	// them.
	WithRoom int `json:"with_room"`
	Admitted int `json:"admitted"`
	// FalseExhausted and FalseUnavailable count the refusals of requests whose
	// budget could pay for them, by decision.
	FalseExhausted   int `json:"false_refusals_for_rights"`
	FalseUnavailable int `json:"false_refusals_unavailable"`
	// TrueRefusals counts the refusals of requests whose budget could not pay for
	// them.
	TrueRefusals int `json:"true_refusals"`
	// Overspend is the largest amount by which a budget was ever exceeded, in tokens.
	Overspend int64 `json:"overspend_tokens"`
}

// driver sends the demand of a scenario to a system and checks its decisions.
type driver struct {
	system       system
	deployment   deployment
	start        time.Time
	demandWeight func(domain string, budget int, at time.Duration) float64
	budgetCount  int // other than defaultBudgetCount: budgets with equal demand

	mu       sync.Mutex
	accounts map[ledger.BudgetKey]*account
	counters counters
	inFlight sync.WaitGroup
}

func budgetKey(number int) ledger.BudgetKey {
	return ledger.BudgetKey{Workspace: fmt.Sprintf("workspace-%02d", number), Budget: "rounds"}
}

// demandShare returns the share of a budget in the total demand.
func (d *driver) demandShare(budget int) float64 {
	switch {
	case d.budgetCount != defaultBudgetCount:
		return 1 / float64(d.budgetCount)
	case budget < largeBudgetCount:
		return largeBudgetShare / largeBudgetCount
	}
	return (1 - largeBudgetShare) / (defaultBudgetCount - largeBudgetCount)
}

// meanCostTokens is the expected cost of a call; see newCall.
const meanCostTokens = 0.5*maxOutputTokens*0.55*0.7 + 0.5*10.5

// demand returns the tokens that callers spend from a budget in a period, at the
// mean rate.
func (d *driver) demand(budget int, period time.Duration) ledger.Tokens {
	perSecond := float64(*requestRate*instancesPerDomain*len(d.deployment.domains)) * meanCostTokens * d.demandShare(budget)
	return ledger.Tokens(perSecond * period.Seconds())
}

// topUp adds tokens to a budget, in the system and in the driver's own account.
func (d *driver) topUp(ctx context.Context, budget int, command string, amount ledger.Tokens) {
	key := budgetKey(budget)
	d.mu.Lock()
	if d.accounts[key] == nil {
		d.accounts[key] = &account{}
	}
	d.accounts[key].paid += amount
	d.mu.Unlock()
	d.system.topUp(ctx, key, command, amount)
}

const maxOutputTokens = 1000

// newCall draws a random call. Half of the calls go to models: they reserve 100 to
// 1,000 tokens, use 40% to 100% of them and take 1 to 10 s. The other half go to
// apps: they have a fixed price of 1 to 20 tokens and take 50 ms. The answers of a
// fifth of the app calls are stored.
func (d *driver) newCall(rng *rand.Rand, domain string, at time.Duration) *call {
	c := &call{domain: domain, firstInstance: rng.IntN(instancesPerDomain), budget: budgetKey(d.drawBudget(rng, domain, at)), repeatable: true}
	if rng.IntN(2) == 0 {
		c.amount = ledger.Tokens(maxOutputTokens/10 + rng.IntN(maxOutputTokens*9/10+1))
		c.cost = ledger.Tokens(float64(c.amount) * (0.4 + 0.6*rng.Float64()))
		c.serviceTime = time.Second + time.Duration(rng.Int64N(int64(9*time.Second)))
		return c
	}
	c.amount = ledger.Tokens(1 + rng.IntN(20))
	c.cost, c.serviceTime = c.amount, 50*time.Millisecond
	c.keepAnswer = rng.IntN(5) == 0
	c.repeatable = !c.keepAnswer
	return c
}

// drawBudget draws a random budget for a call from a domain.
func (d *driver) drawBudget(rng *rand.Rand, domain string, at time.Duration) int {
	if d.budgetCount != defaultBudgetCount {
		return rng.IntN(d.budgetCount)
	}
	var sum float64
	weight := func(n int) float64 { return d.demandShare(n) * d.demandWeight(domain, n, at) }
	for n := range defaultBudgetCount {
		sum += weight(n)
	}
	x := rng.Float64() * sum
	for n := range defaultBudgetCount {
		if x -= weight(n); x < 0 {
			return n
		}
	}
	return 0
}

// domainRequestRate returns the mean requests per second from a domain.
func (d *driver) domainRequestRate(domain string, at time.Duration) float64 {
	if d.budgetCount != defaultBudgetCount {
		return float64(*requestRate) * instancesPerDomain
	}
	var sum float64
	for n := range defaultBudgetCount {
		sum += d.demandShare(n) * d.demandWeight(domain, n, at)
	}
	return sum * float64(*requestRate) * instancesPerDomain
}

// generateCalls sends the calls of one domain as a Poisson process until duration
// has passed since the start.
func (d *driver) generateCalls(ctx context.Context, domain string, seed, stream uint64, duration time.Duration) {
	rng := rand.New(rand.NewPCG(seed, stream))
	for {
		at := time.Since(d.start)
		if at >= duration {
			return
		}
		gap := rng.ExpFloat64() / d.domainRequestRate(domain, at)
		sleep(ctx, time.Duration(gap*float64(time.Second)))
		c := d.newCall(rng, domain, time.Since(d.start))
		d.inFlight.Go(func() { d.send(ctx, c) })
	}
}

// send runs one call: it reserves, waits for the endpoint and settles.
func (d *driver) send(ctx context.Context, c *call) {
	reserveCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	decided, settle := d.system.reserve(reserveCtx, c)
	cancel()
	if !d.recordDecision(c, decided) {
		return
	}
	sleep(ctx, c.serviceTime)
	settleCtx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	if !settle(settleCtx) {
		return // the outcome of the request is unknown, so the reservation remains
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	a := d.accounts[c.budget]
	a.reserved -= c.amount
	a.charged += c.cost
}

// recordDecision compares a decision with the current state of the account and
// counts it. It reports whether the call was admitted.
func (d *driver) recordDecision(c *call, decided decision) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, counts := d.accounts[c.budget], &d.counters
	counts.Requests++
	hasRoom := a.remaining() >= c.amount
	if hasRoom || decided == admitted {
		counts.WithRoom++
	}
	switch {
	case decided == admitted:
		counts.Admitted++
		a.reserved += c.amount
		counts.Overspend = max(counts.Overspend, -int64(a.remaining()))
	case !hasRoom:
		counts.TrueRefusals++
	case decided == exhausted:
		counts.FalseExhausted++
	default:
		counts.FalseUnavailable++
	}
	return decided == admitted
}
