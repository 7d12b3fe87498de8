package node

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/rights"
)

const (
	// outageAskFactor is the multiple of its own cost that a request asks other instances
	// for while none of them reaches the store, so that the next requests of the workspace
	// find free rights at once.
	outageAskFactor = 4
	// searchRetryDelay is the time after a failed search during which requests that need
	// as many rights or more are refused without another search.
	searchRetryDelay = 400 * time.Millisecond
	// storeTimeout is how long the first supplier waits for rights from the store, which answers
	// within milliseconds, before it asks the other instances.
	storeTimeout = 30 * time.Millisecond
)

// reserver implements gateway.Rights: it reserves rights that this instance holds, and
// gets more from other instances or the store when they are insufficient.
type reserver struct {
	book            *rights.Book
	syncer          *rights.Syncer
	exchange        *rights.Exchange
	isFirstSupplier func(workspace string) bool // whether this instance is the first supplier
	log             logrus.FieldLogger

	mu             sync.Mutex
	failedSearches map[string]failedSearch // latest by workspace
}

// failedSearch is a search of the store and the other instances that did not find
// enough rights.
type failedSearch struct {
	at     time.Time
	tokens rights.Tokens
}

// newReserver returns a reserver of the rights in book.
func newReserver(book *rights.Book, syncer *rights.Syncer, exchange *rights.Exchange, isFirstSupplier func(string) bool, log logrus.FieldLogger) *reserver {
	return &reserver{book: book, syncer: syncer, exchange: exchange, isFirstSupplier: isFirstSupplier, log: log, failedSearches: map[string]failedSearch{}}
}

// Reserve implements gateway.Rights. It waits for rights until ctx ends, but fails at once
// if a search for as many tokens or fewer failed within searchRetryDelay.
func (r *reserver) Reserve(ctx context.Context, workspace string, maxTokens rights.Tokens) *failure.Error {
	now := time.Now()
	r.book.RecordDemand(workspace, maxTokens, now)
	if r.book.Reserve(workspace, maxTokens) {
		return nil
	}
	if r.hasFailedRecently(workspace, maxTokens, now) {
		return r.insufficientError(workspace, maxTokens)
	}
	go r.search(ctx, workspace, maxTokens)
	for {
		changed := r.book.Changed(workspace)
		if r.book.Reserve(workspace, maxTokens) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			r.mu.Lock()
			r.failedSearches[workspace] = failedSearch{time.Now(), maxTokens}
			r.mu.Unlock()
			return r.insufficientError(workspace, maxTokens)
		}
	}
}

// search asks the other instances for rights. The first supplier asks the store first; other
// instances ask the store only if no instance that reaches the store could be asked and
// the search found too few rights. During an outage of the store a successful search
// continues for outageAskFactor times the need.
func (r *reserver) search(ctx context.Context, workspace string, maxTokens rights.Tokens) {
	isFirstSupplier := r.isFirstSupplier(workspace)
	if isFirstSupplier && r.takeFromStore(ctx, workspace, maxTokens) {
		return
	}
	received, reached := r.exchange.Ask(ctx, workspace, maxTokens)
	switch {
	case reached:
	case r.syncer.IsStoreUnreachable() && received >= maxTokens:
		r.exchange.Ask(ctx, workspace, maxTokens.Times(outageAskFactor-1))
	case received < maxTokens && !isFirstSupplier:
		r.syncer.ReportShortfall(workspace, maxTokens)
	}
}

// takeFromStore requests rights from the store and reports whether enough are free within
// storeTimeout.
func (r *reserver) takeFromStore(ctx context.Context, workspace string, maxTokens rights.Tokens) bool {
	changed := r.book.Changed(workspace)
	r.syncer.ReportShortfall(workspace, maxTokens)
	if r.syncer.IsStoreUnreachable() {
		return false
	}
	timer := time.NewTimer(storeTimeout)
	defer timer.Stop()
	select {
	case <-changed:
		return r.book.Holding(workspace, time.Now()).Free >= maxTokens
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// hasFailedRecently reports whether a search for at most maxTokens failed within
// searchRetryDelay.
func (r *reserver) hasFailedRecently(workspace string, maxTokens rights.Tokens, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.failedSearches[workspace]
	return ok && now.Sub(last.at) < searchRetryDelay && maxTokens >= last.tokens
}

// insufficientError returns the error for a request that finds too few rights, with the
// figures that the refusal is based on.
func (r *reserver) insufficientError(workspace string, maxTokens rights.Tokens) *failure.Error {
	now := time.Now()
	holding := r.book.Holding(workspace, now)
	granted, age := r.syncer.Granted(workspace, now)
	return failure.New(failure.Limited, "pay in more, or repeat later",
		"workspace %q: %d tokens are needed, %d are free and %d reserved here; all instances had taken %d as of %d ms ago",
		workspace, maxTokens, holding.Free, holding.Reserved, granted, age.Milliseconds()).WithOutcome(failure.NotRun).WithCause(failure.CauseRights)
}

// Settle implements gateway.Rights.
func (r *reserver) Settle(workspace string, reserved, used rights.Tokens) {
	if err := r.book.Settle(workspace, reserved, used); err != nil {
		r.log.WithError(err).Error("reservation cannot be settled")
	}
}
