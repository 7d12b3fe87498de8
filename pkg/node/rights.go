package node

import (
	"context"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/rights"
)

// askFactor is the multiple of its need that a request asks other instances for,
// so that the next requests of its workspace find rights at once.
const askFactor = 4

// purse is the rights of this instance with the ways to get more.
type purse struct {
	book     *rights.Book
	syncer   *rights.Syncer
	exchange *rights.Exchange
}

// Reserve implements gateway.Rights. It asks the store and the other instances at
// the same time, because the store may be away.
func (p *purse) Reserve(ctx context.Context, workspace string, most rights.Tokens) *failure.Error {
	p.book.Demand(workspace, most, time.Now())
	if p.book.Reserve(workspace, most) {
		return nil
	}
	p.syncer.Want(workspace, most)
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		p.exchange.Ask(ctx, workspace, askFactor*most)
	}()
	for {
		changed := p.book.Changed(workspace)
		if p.book.Reserve(workspace, most) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return failure.New(failure.Limited, "pay in more, or repeat later",
				"workspace %q has too few rights here for %d tokens", workspace, most).WithOutcome(failure.NotRun)
		}
	}
}

// Settle implements gateway.Rights.
func (p *purse) Settle(workspace string, reserved, used rights.Tokens) {
	p.book.Settle(workspace, reserved, used)
}
