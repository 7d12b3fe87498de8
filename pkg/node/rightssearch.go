package node

import (
	"context"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/admission"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/gateway"
	"github.com/clementinerack/clementinerack/pkg/rights"
)

// searcher implements gateway.Rights without waiting: each request that finds too few rights
// searches for its own for as long as its Trial, and is refused then.
type searcher struct {
	*reserver

	searches       sync.Mutex
	failedSearches map[string]failedSearch // latest by workspace
}

// failedSearch is a search of the store and the other instances that did not find enough
// rights.
type failedSearch struct {
	at     time.Time
	tokens rights.Tokens
}

func newSearcher(r *reserver) *searcher {
	return &searcher{reserver: r, failedSearches: map[string]failedSearch{}}
}

// Reserve implements gateway.Rights. It fails at once if a search for as many tokens or fewer
// failed within searchRetryDelay.
func (s *searcher) Reserve(ctx context.Context, req gateway.Reservation) (*failure.Error, time.Duration) {
	now := time.Now()
	s.book.RecordDemand(req.Workspace, req.Tokens, now)
	if s.book.Reserve(req.Workspace, req.Tokens) {
		return nil, 0
	}
	if s.hasFailedRecently(req, now) {
		return s.insufficientError(req, now), admission.Jitter(meanReturnDelay)
	}
	ctx, cancel := context.WithTimeout(ctx, req.Trial)
	defer cancel()
	go s.searchFor(ctx, req)
	for {
		changed := s.book.Changed(req.Workspace)
		if s.book.Reserve(req.Workspace, req.Tokens) {
			return nil, 0
		}
		select {
		case <-changed:
		case <-ctx.Done():
			s.searches.Lock()
			s.failedSearches[req.Workspace] = failedSearch{time.Now(), req.Tokens}
			s.searches.Unlock()
			return s.insufficientError(req, time.Now()), admission.Jitter(meanReturnDelay)
		}
	}
}

// searchFor asks the other instances for rights. The first supplier asks the store first; other
// instances ask the store only if no instance that reaches the store could be asked and the
// search found too few rights. During an outage of the store a successful search continues for
// outageAskFactor times the need.
func (s *searcher) searchFor(ctx context.Context, req gateway.Reservation) {
	isFirstSupplier := s.isFirstSupplier(req.Workspace)
	if isFirstSupplier && s.takeForRequest(ctx, req) {
		return
	}
	received, reached := s.exchange.Ask(ctx, req.Workspace, req.Tokens)
	switch {
	case reached:
	case s.syncer.IsStoreUnreachable() && received >= req.Tokens:
		s.exchange.Ask(ctx, req.Workspace, req.Tokens.Times(outageAskFactor-1))
	case received < req.Tokens && !isFirstSupplier:
		s.syncer.ReportShortfall(req.Workspace, s.missing(req))
	}
}

// missing returns how much the request lacks beyond the free rights.
func (s *searcher) missing(req gateway.Reservation) rights.Tokens {
	return req.Tokens.Excess(s.book.Holding(req.Workspace, time.Now()).Free)
}

// takeForRequest requests rights from the store and reports whether enough are free within
// storeTimeout.
func (s *searcher) takeForRequest(ctx context.Context, req gateway.Reservation) bool {
	changed := s.book.Changed(req.Workspace)
	s.syncer.ReportShortfall(req.Workspace, s.missing(req))
	if s.syncer.IsStoreUnreachable() {
		return false
	}
	timer := time.NewTimer(storeTimeout)
	defer timer.Stop()
	select {
	case <-changed:
		return s.missing(req) == 0
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// hasFailedRecently reports whether a search for at most as many tokens failed within
// searchRetryDelay.
func (s *searcher) hasFailedRecently(req gateway.Reservation, now time.Time) bool {
	s.searches.Lock()
	defer s.searches.Unlock()
	last, ok := s.failedSearches[req.Workspace]
	return ok && now.Sub(last.at) < searchRetryDelay && req.Tokens >= last.tokens
}
