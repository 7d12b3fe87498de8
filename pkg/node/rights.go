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
	go p.exchange.Ask(ctx, workspace, askFactor*most)
	for {
		changed := p.book.Changed(workspace)
		if p.book.Reserve(workspace, most) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return p.tooFew(workspace, most)
		}
	}
}

// tooFew tells what the refusal was decided from.
func (p *purse) tooFew(workspace string, most rights.Tokens) *failure.Error {
	now := time.Now()
	h := p.book.Holding(workspace, now)
	granted, age := p.syncer.Granted(workspace, now)
	return failure.New(failure.Limited, "pay in more, or repeat later",
		"workspace %q: %d tokens are needed, %d are free and %d reserved here; all instances had taken %d as of %d ms ago",
		workspace, most, h.Free, h.Reserved, granted, age.Milliseconds()).WithOutcome(failure.NotRun)
}

// Settle implements gateway.Rights.
func (p *purse) Settle(workspace string, reserved, used rights.Tokens) {
	p.book.Settle(workspace, reserved, used)
}
