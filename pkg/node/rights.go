package node

import (
	"context"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/rights"
)

const (
	// awayFactor is the multiple of its need that a request asks other instances for
	// while none of them reaches the store, so that the next requests of its workspace
	// find rights at once.
	awayFactor = 4
	// searchRest is how long after a search without success in the store and at the
	// other instances an equal search is left out.
	searchRest = 400 * time.Millisecond
	// storeWait is how long the supplier waits for the store before it asks the other
	// instances; the store answers within milliseconds.
	storeWait = 30 * time.Millisecond
)

// purse is the rights of this instance with the ways to get more.
type purse struct {
	book     *rights.Book
	syncer   *rights.Syncer
	exchange *rights.Exchange
	supplies func(workspace string) bool // whether this instance takes the rights of all from the store

	mu       sync.Mutex
	searched map[string]search // latest ones without success, by workspace
}

// search is one that did not bring enough.
type search struct {
	at   time.Time
	most rights.Tokens
}

func newPurse(b *rights.Book, s *rights.Syncer, x *rights.Exchange, supplies func(string) bool) *purse {
	return &purse{book: b, syncer: s, exchange: x, supplies: supplies, searched: map[string]search{}}
}

// Reserve implements gateway.Rights.
func (p *purse) Reserve(ctx context.Context, workspace string, most rights.Tokens) *failure.Error {
	now := time.Now()
	p.book.RecordDemand(workspace, most, now)
	if p.book.Reserve(workspace, most) {
		return nil
	}
	if p.hopeless(workspace, most, now) {
		return p.tooFew(workspace, most)
	}
	go p.search(ctx, workspace, most)
	for {
		changed := p.book.Changed(workspace)
		if p.book.Reserve(workspace, most) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			p.mu.Lock()
			p.searched[workspace] = search{time.Now(), most}
			p.mu.Unlock()
			return p.tooFew(workspace, most)
		}
	}
}

// search asks the other instances. The supplier asks the store first, and the others
// do so if they do not reach the supplier.
func (p *purse) search(ctx context.Context, workspace string, most rights.Tokens) {
	supplies := p.supplies(workspace)
	if supplies && p.awaitStore(ctx, workspace, most) {
		return
	}
	got, reached := p.exchange.Ask(ctx, workspace, most)
	switch {
	case reached:
	case p.syncer.IsStoreUnreachable() && got >= most:
		p.exchange.Ask(ctx, workspace, (awayFactor-1)*most)
	case got < most && !supplies:
		p.syncer.ReportShortfall(workspace, most)
	}
}

// awaitStore asks the store for rights and reports whether they arrived in time.
func (p *purse) awaitStore(ctx context.Context, workspace string, most rights.Tokens) bool {
	changed := p.book.Changed(workspace)
	p.syncer.ReportShortfall(workspace, most)
	if p.syncer.IsStoreUnreachable() {
		return false
	}
	timer := time.NewTimer(storeWait)
	defer timer.Stop()
	select {
	case <-changed:
		return p.book.Holding(workspace, time.Now()).Free >= most
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// hopeless reports whether a search for as little has just failed.
func (p *purse) hopeless(workspace string, most rights.Tokens, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.searched[workspace]
	return ok && now.Sub(s.at) < searchRest && most >= s.most
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
