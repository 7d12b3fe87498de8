package entry

import (
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// confirmTimeout bounds how long a caller waits until the owner has recorded "not
// run". After it the caller is told that the outcome is unknown.
const confirmTimeout = 3 * time.Second

// settle reports the end of an admitted attempt in the background.
func (s *Server) settle(e *requestEntry, end ledger.End, charge ledger.Tokens, answer *ledger.StoredAnswer) *settlement {
	req := ledger.SettleRequest{
		ID: e.id, Attempt: e.attempt, End: end, Charge: charge, Answer: answer,
		Dispatcher: s.opts.Self.Incarnation, Call: e.call,
	}
	return s.settleQueue.submit(req, func(settleResult) { s.requests.markSettled(e, end, s.now()) })
}

// settleNotRun settles an admitted attempt that was never sent. It returns err
// with the outcome to report to the caller.
func (s *Server) settleNotRun(j *job, e *requestEntry, err *failure.Error) *failure.Error {
	pending := s.settle(e, ledger.EndNotRun, 0, nil)
	if !j.callerKnowsID || s.waitConfirmed(pending) {
		return err.WithOutcome(failure.NotRun)
	}
	return err.WithOutcome(failure.Unknown)
}

// waitConfirmed waits up to confirmTimeout and reports whether the owner has
// recorded the settlement.
func (s *Server) waitConfirmed(pending *settlement) bool {
	t := time.NewTimer(confirmTimeout)
	defer t.Stop()
	select {
	case <-pending.done:
		return pending.result == settleConfirmed
	case <-t.C:
		return false
	}
}

// settleUndecided settles a Reserve call that was never answered as not run.
func (s *Server) settleUndecided(e *requestEntry) {
	s.settleQueue.submit(ledger.SettleRequest{
		ID: e.id, End: ledger.EndNotRun, Dispatcher: s.opts.Self.Incarnation, Call: e.call,
	}, nil)
}
