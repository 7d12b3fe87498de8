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
	// largeBudgets of the 10 ordinary ones are large.
	largeBudgets = 3
	tenBudgets   = 10
	// largeShare is the part of the demand that the large workspaces make.
	largeShare = 0.75
	// patience is how long a caller waits for the answer of the ledger.
	patience = 10 * time.Second
	// settlePatience is how long an instance repeats a settlement.
	settlePatience = 15 * time.Minute
)

// account is the truth about one budget, kept by the driver.
type account struct{ paid, reserved, charged ledger.Tokens }

func (a account) room() ledger.Tokens { return a.paid - a.reserved - a.charged }

// tally is what one run gave.
type tally struct {
	Requests     int   `json:"requests"`
	WithRoom     int   `json:"with_room"`
	Admitted     int   `json:"admitted"`
	FalseRights  int   `json:"false_refusals_for_rights"`
	FalseAway    int   `json:"false_refusals_unavailable"`
	TrueRefusals int   `json:"true_refusals"`
	Overspend    int64 `json:"overspend_tokens"`
}

// driver sends the demand of a scenario to a system.
type driver struct {
	sys     system
	dep     deployment
	began   time.Time
	weights func(domain string, budget int, at time.Duration) float64
	budgets int // tenBudgets, or a number of equal ones

	mu       sync.Mutex
	accounts map[ledger.BudgetKey]*account
	tally    tally
	inFlight sync.WaitGroup
}

func budgetKey(n int) ledger.BudgetKey {
	return ledger.BudgetKey{Workspace: fmt.Sprintf("workspace-%02d", n), Budget: "rounds"}
}

// share returns the part of the demand of a budget.
func (r *driver) share(n int) float64 {
	switch {
	case r.budgets != tenBudgets:
		return 1 / float64(r.budgets)
	case n < largeBudgets:
		return largeShare / largeBudgets
	}
	return (1 - largeShare) / (tenBudgets - largeBudgets)
}

// meanCost is the expected cost of a request in tokens; see newCall.
const meanCost = 0.5*mostOutput*0.55*0.7 + 0.5*10.5

// demand returns the tokens that a budget spends in d.
func (r *driver) demand(budget int, d time.Duration) ledger.Tokens {
	perSecond := float64(*rate*instancesPerDomain*len(r.dep.domains)) * meanCost * r.share(budget)
	return ledger.Tokens(perSecond * d.Seconds())
}

func (r *driver) pay(ctx context.Context, budget int, command string, amount ledger.Tokens) {
	key := budgetKey(budget)
	r.mu.Lock()
	if r.accounts[key] == nil {
		r.accounts[key] = &account{}
	}
	r.accounts[key].paid += amount
	r.mu.Unlock()
	r.sys.topUp(ctx, key, command, amount)
}

const mostOutput = 1000 // tokens

// newCall draws a request: half are model calls with 100 to 1,000 tokens
// reserved, of which 40% to 100% are used in 1 to 10 s; half are app calls with a
// fixed price of 1 to 20 that take 50 ms. A fifth of the app calls is keyed.
func (r *driver) newCall(rng *rand.Rand, domain string, at time.Duration) *call {
	c := &call{domain: domain, balance: rng.IntN(instancesPerDomain), budget: budgetKey(r.draw(rng, domain, at)), repeatable: true}
	if rng.IntN(2) == 0 {
		c.amount = ledger.Tokens(mostOutput/10 + rng.IntN(mostOutput*9/10+1))
		c.cost = ledger.Tokens(float64(c.amount) * (0.4 + 0.6*rng.Float64()))
		c.runs = time.Second + time.Duration(rng.Int64N(int64(9*time.Second)))
		return c
	}
	c.amount = ledger.Tokens(1 + rng.IntN(20))
	c.cost, c.runs = c.amount, 50*time.Millisecond
	c.keyed = rng.IntN(5) == 0
	c.repeatable = !c.keyed
	return c
}

// draw chooses a budget by its share and by the weight of the domain for it.
func (r *driver) draw(rng *rand.Rand, domain string, at time.Duration) int {
	if r.budgets != tenBudgets {
		return rng.IntN(r.budgets)
	}
	var sum float64
	weight := func(n int) float64 { return r.share(n) * r.weights(domain, n, at) }
	for n := range tenBudgets {
		sum += weight(n)
	}
	x := rng.Float64() * sum
	for n := range tenBudgets {
		if x -= weight(n); x < 0 {
			return n
		}
	}
	return 0
}

// domainRate returns the requests per second of a domain.
func (r *driver) domainRate(domain string, at time.Duration) float64 {
	if r.budgets != tenBudgets {
		return float64(*rate) * instancesPerDomain
	}
	var sum float64
	for n := range tenBudgets {
		sum += r.share(n) * r.weights(domain, n, at)
	}
	return sum * float64(*rate) * instancesPerDomain
}

// generate sends the demand of one domain with exponential gaps until end.
func (r *driver) generate(ctx context.Context, domain string, seed, stream uint64, end time.Duration) {
	rng := rand.New(rand.NewPCG(seed, stream))
	for {
		at := time.Since(r.began)
		if at >= end {
			return
		}
		gap := rng.ExpFloat64() / r.domainRate(domain, at)
		sleep(ctx, time.Duration(gap*float64(time.Second)))
		c := r.newCall(rng, domain, time.Since(r.began))
		r.inFlight.Go(func() { r.send(ctx, c) })
	}
}

func (r *driver) send(ctx context.Context, c *call) {
	reserveCtx, cancel := context.WithTimeout(ctx, patience)
	v, settle := r.sys.reserve(reserveCtx, c)
	cancel()
	if !r.judge(c, v) {
		return
	}
	sleep(ctx, c.runs)
	settleCtx, cancel := context.WithTimeout(ctx, settlePatience)
	defer cancel()
	if !settle(settleCtx) {
		return // the reservation stays, because the end of the request is unknown
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.accounts[c.budget]
	a.reserved -= c.amount
	a.charged += c.cost
}

// judge compares a decision with the truth at this moment. It reports whether
// the request runs.
func (r *driver) judge(c *call, v verdict) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, t := r.accounts[c.budget], &r.tally
	t.Requests++
	hasRoom := a.room() >= c.amount
	if hasRoom || v == admitted {
		t.WithRoom++
	}
	switch {
	case v == admitted:
		t.Admitted++
		a.reserved += c.amount
		t.Overspend = max(t.Overspend, -int64(a.room()))
	case !hasRoom:
		t.TrueRefusals++
	case v == exhausted:
		t.FalseRights++
	default:
		t.FalseAway++
	}
	return v == admitted
}
