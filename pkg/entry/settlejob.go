package entry

import (
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// confirmWait bounds how long a caller waits for the record of "not run"; then
// its outcome is unknown.
const confirmWait = 3 * time.Second

// settle reports the end of an admitted attempt in the background.
func (s *Server) settle(e *entry, end ledger.End, charge ledger.Tokens, kept *ledger.StoredAnswer) *settlement {
	req := ledger.SettleRequest{
		ID: e.id, Attempt: e.attempt, End: end, Charge: charge, Answer: kept,
		Dispatcher: s.opts.Self.Incarnation, Call: e.call,
	}
	return s.settles.submit(req, func(verdict) { s.table.settled(e, end, s.now()) })
}

// settleNotRun ends an admitted attempt that was never sent, and returns err with
// the outcome that may be told.
func (s *Server) settleNotRun(j *job, e *entry, err *failure.Error) *failure.Error {
	report := s.settle(e, ledger.EndNotRun, 0, nil)
	if !j.known || s.confirm(report) {
		return err.WithOutcome(failure.NotRun)
	}
	return err.WithOutcome(failure.Unknown)
}

// confirm reports whether the owner has recorded a settlement.
func (s *Server) confirm(report *settlement) bool {
	t := time.NewTimer(confirmWait)
	defer t.Stop()
	select {
	case <-report.done:
		return report.verdict == confirmed
	case <-t.C:
		return false
	}
}

// settleGivenUp reports a call whose answer never came as not run.
func (s *Server) settleGivenUp(e *entry) {
	s.settles.submit(ledger.SettleRequest{
		ID: e.id, End: ledger.EndNotRun, Dispatcher: s.opts.Self.Incarnation, Call: e.call,
	}, nil)
}
