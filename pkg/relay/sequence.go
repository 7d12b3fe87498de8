package relay

// maxReorderedEvents bounds the events that are held back while an earlier one is
// missing. Engines deliver events late by a few positions at most; beyond that the
// event is considered lost.
const maxReorderedEvents = 16

// reorderBuffer restores the order of events and drops duplicates.
type reorderBuffer struct {
	lastSeq uint64           // sequence number of the last event in order
	held    map[uint64]event // events after a missing one, by sequence number
	// terminated is true after the terminal marker. A marker without a sequence
	// number may arrive before events that are still missing.
	terminated bool
}

// isNew reports whether an event is neither delivered nor held back.
func (b *reorderBuffer) isNew(e event) bool {
	_, held := b.held[e.seq]
	return e.seq > b.lastSeq && !held
}

// add adds an event. It returns errMissingEvents if maxReorderedEvents are already
// held back and e is not the next one in order.
func (b *reorderBuffer) add(e event) error {
	if e.isTerminal() && e.seq == 0 {
		b.terminated = true
		return nil
	}
	if !b.isNew(e) {
		return nil
	}
	if b.held == nil {
		b.held = map[uint64]event{}
	}
	if len(b.held) >= maxReorderedEvents && e.seq != b.lastSeq+1 {
		return errMissingEvents
	}
	b.held[e.seq] = e
	return nil
}

// pop removes and returns the next event in order, if it has arrived.
func (b *reorderBuffer) pop() (event, bool) {
	e, ok := b.held[b.lastSeq+1]
	if ok {
		delete(b.held, e.seq)
		b.lastSeq = e.seq
	}
	return e, ok
}
