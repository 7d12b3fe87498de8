package ledger

import (
	"slices"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// Op is the kind of a mutation.
type Op int

// Kinds of mutations.
const (
	// OpRecord replaces a request record and adjusts the right on its budget.
	OpRecord Op = iota + 1
	// OpRight replaces the mirrored grant of a budget and the state of a return.
	OpRight
	// OpExpire drops the records whose retention has passed.
	OpExpire
	// OpSeal moves bill lines into a new segment.
	OpSeal
	// OpDropSegment drops a segment that the store holds.
	OpDropSegment
	// OpEpoch starts a new epoch.
	OpEpoch
	// OpEnd ends the current attempt of a request. It contains only the fields that
	// change, which is less than half of the record.
	OpEnd
	// OpBarrier changes nothing (see PlanBarrier).
	OpBarrier
)

// Mutation is one change of the state of a shard. Applying the same mutations in
// the same order gives the same state on the owner and on the backup.
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

// EndState holds the fields of a record that change when an attempt ends.
type EndState struct {
	ID            string        `cbor:"1,keyasint"`
	State         RecordState   `cbor:"2,keyasint"`
	Charged       Tokens        `cbor:"3,keyasint,omitempty"`
	Answer        *StoredAnswer `cbor:"4,keyasint,omitempty"`
	EndedAtMillis int64         `cbor:"5,keyasint"`
	Epoch         uint64        `cbor:"6,keyasint"`
}

// Commit assigns the next index to the mutation and applies it at the owner.
func (s *State) Commit(m *Mutation) {
	m.Index = s.index + 1
	s.apply(m)
}

// Apply applies a mutation of the owner at the backup. It ignores a mutation that
// was applied before. It fails with failure.Conflict if a mutation is missing
// before m; the owner must then send a snapshot.
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
			s.dropRecord(id)
		}
	case OpSeal:
		s.applySeal(m.Count)
	case OpDropSegment:
		s.sealed = slices.DeleteFunc(s.sealed, func(seg Segment) bool { return seg.Epoch == m.Epoch && seg.Seq == m.Seq })
	case OpEpoch:
		s.applyEpoch(m)
	case OpEnd:
		s.applyEnd(m.End)
	}
}

// applyEnd ends an attempt. The record exists on every replica, because a record
// is dropped only after its last attempt ended.
func (s *State) applyEnd(end *EndState) {
	prev := s.records[end.ID]
	if prev == nil {
		return
	}
	next := *prev
	next.State, next.Charged, next.Reserved, next.Answer = end.State, end.Charged, 0, end.Answer
	next.UpdatedAtMillis, next.Epoch = end.EndedAtMillis, end.Epoch
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
	class := next.retentionClass()
	s.expiryQueues[class] = append(s.expiryQueues[class], endedRecord{next.ID, next.UpdatedAtMillis})
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

// dropRecord removes a record at the end of its retention, unless the record
// changed after it was queued. A request that was charged without a complete
// answer gets its bill line only now, because a late report or another attempt
// could still have changed the charge.
func (s *State) dropRecord(id string) {
	endedAtMillis, ok := s.dequeue(id)
	rec := s.records[id]
	if !ok || rec == nil || rec.State == StateRunning || rec.UpdatedAtMillis > endedAtMillis {
		return
	}
	if rec.Charged > 0 && rec.State != StateAnswered {
		s.addBill(rec, false)
	}
	class := rec.retentionClass()
	s.purgedThrough[class] = max(s.purgedThrough[class], rec.IssuedAtMillis)
	delete(s.records, id)
}

// dequeue removes id from the head of its expiry queue and returns the time at
// which the attempt ended, in ms since 1970.
func (s *State) dequeue(id string) (endedAtMillis int64, ok bool) {
	for class, queue := range s.expiryQueues {
		if len(queue) > 0 && queue[0].ID == id {
			s.expiryQueues[class] = queue[1:]
			return queue[0].EndedAtMillis, true
		}
	}
	return 0, false
}

func (s *State) applySeal(count int) {
	seg := Segment{Epoch: s.epoch, Seq: s.nextSegmentSeq, Lines: slices.Clone(s.unsealed[:count])}
	s.nextSegmentSeq++
	s.sealed = append(s.sealed, seg)
	s.unsealed = slices.Clone(s.unsealed[count:])
}

func (s *State) applyEpoch(m *Mutation) {
	if m.Epoch > s.epoch {
		s.epoch, s.epochStartMillis, s.nextSegmentSeq = m.Epoch, m.EpochStartMillis, 0
	}
	if m.LostThrough > s.lostThrough {
		s.lostThrough, s.lostAtMillis = m.LostThrough, m.EpochStartMillis
	}
}
