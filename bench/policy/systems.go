//go:build bench

package policy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// verdict is the answer to a request for tokens.
type verdict int

const (
	admitted verdict = iota
	exhausted
	unavailable
)

// call is one request of a caller.
type call struct {
	domain     string
	balance    int // which instance the load balancer tries first
	budget     ledger.BudgetKey
	amount     ledger.Tokens
	cost       ledger.Tokens
	runs       time.Duration
	repeatable bool
	keyed      bool // the caller knows the request id, so its answer is kept
}

// system decides on requests. reserve returns the function that
// settles, which reports whether the system has recorded the cost.
type system interface {
	reserve(ctx context.Context, c *call) (verdict, func(ctx context.Context) bool)
	topUp(ctx context.Context, b ledger.BudgetKey, command string, amount ledger.Tokens)
}

// ledgerSystem is the product.
type ledgerSystem struct{ f *fleet }

var callNumber atomic.Uint64

const (
	callTimeout  = 2 * time.Second
	reservePause = 100 * time.Millisecond
)

func (s *ledgerSystem) reserve(ctx context.Context, c *call) (verdict, func(context.Context) bool) {
	for ; ctx.Err() == nil; sleep(ctx, reservePause) {
		d := s.f.pick(c.domain, c.balance)
		if d == nil {
			continue
		}
		id, err := d.router.NewID(c.budget)
		if err != nil {
			continue
		}
		if v, settle, ok := s.at(ctx, d, id.String(), c); ok {
			return v, settle
		}
	}
	return unavailable, nil
}

// at repeats the call at one instance until it has an answer. It reports false
// when the instance was killed and the caller tries another one.
func (s *ledgerSystem) at(ctx context.Context, d *node, id string, c *call) (verdict, func(context.Context) bool, bool) {
	req := ledger.ReserveRequest{
		ID: id, Budget: c.budget, Service: "rounds-app", Fingerprint: make([]byte, 16), Amount: c.amount, Repeatable: c.repeatable,
		KeepAnswer: c.keyed, Dispatcher: d.id.Incarnation, DispatcherAddress: d.id.Address, Call: callNumber.Add(1),
	}
	for ; ctx.Err() == nil && d.ctx.Err() == nil; sleep(ctx, reservePause) {
		attempt, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := d.router.Reserve(attempt, req)
		cancel()
		if err != nil {
			continue
		}
		switch reply.Decision {
		case ledger.Admitted:
			return admitted, func(ctx context.Context) bool { return s.settle(ctx, d, id, reply.Attempt, c) }, true
		case ledger.Exhausted, ledger.Refused:
			return exhausted, nil, true
		}
		return unavailable, nil, true
	}
	return unavailable, nil, ctx.Err() != nil
}

const storedAnswer = 300 // bytes of a kept answer

func (s *ledgerSystem) settle(ctx context.Context, d *node, id string, attempt uint32, c *call) bool {
	req := ledger.SettleRequest{ID: id, Attempt: attempt, End: ledger.EndComplete, Charge: c.cost}
	if c.keyed {
		req.Answer = &ledger.StoredAnswer{Status: 200, ContentType: "application/json", Body: make([]byte, storedAnswer)}
	}
	for ; ctx.Err() == nil && d.ctx.Err() == nil; sleep(ctx, reservePause) {
		attempt, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := d.router.Settle(attempt, req)
		cancel()
		if err == nil {
			return true
		}
		if failure.Is(err, failure.NotFound) {
			return false
		}
	}
	return false
}

func (s *ledgerSystem) topUp(ctx context.Context, b ledger.BudgetKey, command string, amount ledger.Tokens) {
	store := s.f.store.Client("operator")
	for ctx.Err() == nil {
		rec, err := store.Get(ctx, b.StoreKey())
		if err != nil {
			continue
		}
		budget, err := ledger.DecodeBudget(rec.Value)
		if err != nil {
			return
		}
		if changed, err := budget.TopUp(command, amount); err != nil || !changed {
			return
		}
		data, _ := budget.Encode() // a record of this size always encodes
		if _, err = store.CompareAndSwap(ctx, b.StoreKey(), rec.Version, data); err == nil {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
