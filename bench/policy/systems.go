//go:build bench

package policy

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// decision is the answer to a reservation.
type decision int

const (
	admitted decision = iota
	exhausted
	unavailable
)

// call is one request of a caller.
type call struct {
	domain        string
	firstInstance int // index of the instance that the load balancer tries first
	budget        ledger.BudgetKey
	amount        ledger.Tokens // reserved
	cost          ledger.Tokens // charged by the settlement
	serviceTime   time.Duration // time at the endpoint
	repeatable    bool
	keepAnswer    bool // the caller knows the request id, so the answer is stored
}

// system enforces budgets. reserve also returns the function that settles the
// call, which reports whether the system has recorded the cost.
type system interface {
	reserve(ctx context.Context, c *call) (decision, func(ctx context.Context) bool)
	topUp(ctx context.Context, b ledger.BudgetKey, command string, amount ledger.Tokens)
}

// ledgerSystem is the sharded ledger.
type ledgerSystem struct{ fleet *fleet }

var lastCallNumber atomic.Uint64

const (
	callTimeout   = 2 * time.Second
	retryInterval = 100 * time.Millisecond
)

// reserve tries the instances of the caller's domain until one of them answers.
func (s *ledgerSystem) reserve(ctx context.Context, c *call) (decision, func(context.Context) bool) {
	for ; ctx.Err() == nil; sleep(ctx, retryInterval) {
		in := s.fleet.pickInstance(c.domain, c.firstInstance)
		if in == nil {
			continue
		}
		id, err := in.router.NewID(c.budget)
		if err != nil {
			continue
		}
		if decided, settle, ok := s.reserveAt(ctx, in, id.String(), c); ok {
			return decided, settle
		}
	}
	return unavailable, nil
}

// reserveAt retries the call at one instance until the instance answers or ctx
// ends. It reports false if the instance was killed, so that the caller tries
// another one.
func (s *ledgerSystem) reserveAt(ctx context.Context, in *instance, id string, c *call) (decision, func(context.Context) bool, bool) {
	req := ledger.ReserveRequest{
		ID: id, Budget: c.budget, Service: "rounds-app", Fingerprint: make([]byte, 16), Amount: c.amount, Repeatable: c.repeatable,
		KeepAnswer: c.keepAnswer, Dispatcher: in.identity.Incarnation, DispatcherAddress: in.identity.Address, Call: lastCallNumber.Add(1),
	}
	for ; ctx.Err() == nil && in.ctx.Err() == nil; sleep(ctx, retryInterval) {
		attempt, cancel := context.WithTimeout(ctx, callTimeout)
		reply, err := in.router.Reserve(attempt, req)
		cancel()
		if err != nil {
			continue
		}
		switch reply.Decision {
		case ledger.Admitted:
			return admitted, func(ctx context.Context) bool { return s.settle(ctx, in, id, reply.Attempt, c) }, true
		case ledger.Exhausted, ledger.Refused:
			return exhausted, nil, true
		}
		return unavailable, nil, true
	}
	return unavailable, nil, ctx.Err() != nil
}

const storedAnswerBytes = 300 // size of the body of a stored answer

// settle retries the settlement until the ledger answers, the instance is killed or
// ctx ends. It reports whether the ledger has recorded the cost.
func (s *ledgerSystem) settle(ctx context.Context, in *instance, id string, attempt uint32, c *call) bool {
	req := ledger.SettleRequest{ID: id, Attempt: attempt, End: ledger.EndComplete, Charge: c.cost}
	if c.keepAnswer {
		req.Answer = &ledger.StoredAnswer{Status: 200, ContentType: "application/json", Body: make([]byte, storedAnswerBytes)}
	}
	for ; ctx.Err() == nil && in.ctx.Err() == nil; sleep(ctx, retryInterval) {
		attempt, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := in.router.Settle(attempt, req)
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
	store := s.fleet.store.Client("operator")
	for ctx.Err() == nil {
		record, err := store.Get(ctx, b.StoreKey())
		if err != nil {
			continue
		}
		budget, err := ledger.DecodeBudget(record.Value)
		if err != nil {
			return
		}
		if changed, err := budget.TopUp(command, amount); err != nil || !changed {
			return
		}
		data, _ := budget.Encode() // a record of this size always encodes
		if _, err = store.CompareAndSwap(ctx, b.StoreKey(), record.Version, data); err == nil {
			return
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
