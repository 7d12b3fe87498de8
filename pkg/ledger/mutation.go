package ledger

import (
	"slices"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// Op is the kind of a mutation.
type Op int

// Kinds of mutations.
const (
	// OpRecord replaces a request record and adjusts the budget's right.
	OpRecord Op = iota + 1
	// OpRight replaces the grant and the return in progress of a budget.
	OpRight
	// OpExpire drops records.
	OpExpire
	// OpSeal moves bill lines into a segment.
	OpSeal
	// OpDropSegment drops a segment that the store holds.
	OpDropSegment
	// OpEpoch starts an epoch.
	OpEpoch
	// OpEnd ends the present attempt of a request. It carries only what changes,
	// which is less than half of the record.
	OpEnd
	// OpBarrier changes nothing.
	OpBarrier
)

// Mutation is one change of a shard. Applying the same mutations in the same
// order gives the same state on the owner and on the backup.
type Mutation struct {
	Index            uint64    `cbor:"1,keyasint"`
	Op               Op        `cbor:"2,keyasint"`
	Record           *Record   `cbor:"3,keyasint,omitempty"`
	Budget           BudgetKey `cbor:"4,keyasint,omitzero"`
	Right            *Right    `cbor:"5,keyasint,omitempty"`
	IDs              []string  `cbor:"6,keyasint,omitempty"`
	Count            int       `cbor:"7,keyasint,omitempty"`
	Epoch            uint64    `cbor:"8,keyasint,omitempty"`
	Seq              uint64    `cbor:"9,keyasint,omitempty"`
	LostThrough      uint64    `cbor:"10,keyasint,omitempty"`
	EpochStartMillis int64     `cbor:"11,keyasint,omitempty"`
	End              *EndState `cbor:"12,keyasint,omitempty"`
}

// EndState is the part of a record that changes when an attempt ends.
type EndState struct {
	ID            string        `cbor:"1,keyasint"`
	State         RecordState   `cbor:"2,keyasint"`
	Charged       Tokens        `cbor:"3,keyasint,omitempty"`
	Answer        *StoredAnswer `cbor:"4,keyasint,omitempty"`
	EndedAtMillis int64         `cbor:"5,keyasint"`
	Epoch         uint64        `cbor:"6,keyasint"`
}

// Commit gives the mutation the next index and applies it at the owner.
func (s *State) Commit(m *Mutation) {
	m.Index = s.index + 1
	s.apply(m)
}

// Apply applies a mutation of the owner at the backup. One that was applied
// before is ignored. A gap fails with failure.Conflict, and the owner must send
// a snapshot.
func (s *State) Apply(m *Mutation) error {
	if m.Index <= s.index {
		return nil
	}
	if m.Index != s.index+1 {
		return failure.New(failure.Conflict, "install a snapshot at the backup",
			"mutation %d of shard %s does not follow %d", m.Index, s.shard, s.index)
	}
	s.apply(m)
	return nil
}

func (s *State) apply(m *Mutation) {
	s.index = m.Index
	switch m.Op {
	case OpRecord:
		s.applyRecord(m.Record)
	case OpRight:
		s.applyRight(m.Budget, m.Right)
	case OpExpire:
		for _, id := range m.IDs {
			s.drop(id)
		}
	case OpSeal:
		s.applySeal(m.Count)
	case OpDropSegment:
		s.sealed = slices.DeleteFunc(s.sealed, func(g Segment) bool { return g.Epoch == m.Epoch && g.Seq == m.Seq })
	case OpEpoch:
		s.applyEpoch(m)
	case OpEnd:
		s.applyEnd(m.End)
	}
}

// applyEnd ends an attempt. The record exists on every replica, because records
// are dropped only after their end.
func (s *State) applyEnd(e *EndState) {
	prev := s.records[e.ID]
	if prev == nil {
		return
	}
	next := *prev
	next.State, next.Charged, next.Reserved, next.Answer = e.State, e.Charged, 0, e.Answer
	next.UpdatedAtMillis, next.Epoch = e.EndedAtMillis, e.Epoch
	s.applyRecord(&next)
}

func (s *State) applyRecord(next *Record) {
	right := s.right(next.Budget)
	if prev := s.records[next.ID]; prev != nil {
		right.Reserved -= prev.Reserved
		right.Charged -= prev.Charged
	}
	right.Reserved += next.Reserved
	right.Charged += next.Charged
	s.records[next.ID] = next
	if next.State == StateRunning {
		return
	}
	class := next.class()
	s.ended[class] = append(s.ended[class], endedRecord{next.ID, next.UpdatedAtMillis})
	if next.State == StateAnswered {
		s.addBill(next, true)
	}
}

func (s *State) addBill(r *Record, complete bool) {
	s.unsealed = append(s.unsealed, BillLine{ID: r.ID, Budget: r.Budget, Service: r.Service, Tokens: r.Charged, Complete: complete})
}

func (s *State) applyRight(b BudgetKey, next *Right) {
	r := s.right(b)
	r.Granted, r.Version = next.Granted, next.Version
	r.Returning, r.ReturnTo, r.ReturnVersion = next.Returning, next.ReturnTo, next.ReturnVersion
}

// drop removes a record at the end of its retention, unless the record changed
// after it was queued. A request that was charged without a complete answer gets
// its bill line only now, because a late report or another attempt could still
// have changed the charge.
func (s *State) drop(id string) {
	queuedAt, ok := s.dequeue(id)
	rec := s.records[id]
	if !ok || rec == nil || rec.State == StateRunning || rec.UpdatedAtMillis > queuedAt {
		return
	}
	if rec.Charged > 0 && rec.State != StateAnswered {
		s.addBill(rec, false)
	}
	class := rec.class()
	s.purged[class] = max(s.purged[class], rec.IssuedAtMillis)
	delete(s.records, id)
}

// dequeue removes id from the head of its retention queue.
func (s *State) dequeue(id string) (at int64, ok bool) {
	for class, queue := range s.ended {
		if len(queue) > 0 && queue[0].ID == id {
			s.ended[class] = queue[1:]
			return queue[0].At, true
		}
	}
	return 0, false
}

func (s *State) applySeal(count int) {
	seg := Segment{Epoch: s.epoch, Seq: s.nextSeal, Lines: slices.Clone(s.unsealed[:count])}
	s.nextSeal++
	s.sealed = append(s.sealed, seg)
	s.unsealed = slices.Clone(s.unsealed[count:])
}

func (s *State) applyEpoch(m *Mutation) {
	if m.Epoch > s.epoch {
		s.epoch, s.epochAt, s.nextSeal = m.Epoch, m.EpochStartMillis, 0
	}
	if m.LostThrough > s.lostThrough {
		s.lostThrough, s.lostAt = m.LostThrough, m.EpochStartMillis
	}
}
