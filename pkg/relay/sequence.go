package relay

// reorderWindow bounds the events held back while an earlier one is missing.
// Engines deliver events late by a few positions; more means a lost event.
const reorderWindow = 16

// sequencer puts events back in order.
type sequencer struct {
	last uint64 // sequence number of the last event in order
	held map[uint64]event
	// done is set by a terminal marker without a sequence number, which may
	// overtake events that are still missing.
	done bool
}

// add takes an event. It returns errGap when more events are held back than
// the window allows.
func (s *sequencer) add(e event) error {
	if e.done() && e.seq == 0 {
		s.done = true
		return nil
	}
	if e.seq <= s.last {
		return nil
	}
	if s.held == nil {
		s.held = map[uint64]event{}
	}
	if len(s.held) >= reorderWindow && e.seq != s.last+1 {
		return errGap
	}
	s.held[e.seq] = e
	return nil
}

// next returns the next event in order, if it has arrived.
func (s *sequencer) next() (event, bool) {
	e, ok := s.held[s.last+1]
	if ok {
		delete(s.held, e.seq)
		s.last = e.seq
	}
	return e, ok
}
