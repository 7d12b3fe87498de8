package ledger

import (
	"bytes"
	"fmt"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// PlanReserve decides on a request. A nil mutation means that the state does
// not change. The reply may be sent only after the state up to its current
// index, including the returned mutation, is held by the backup.
func (s *State) PlanReserve(req ReserveRequest, now time.Time) (ReserveReply, *Mutation, error) {
	id, err := s.checkReserve(req, now)
	if err != nil {
		return ReserveReply{}, nil, err
	}
	if rec := s.records[req.ID]; rec != nil {
		reply, m := s.planRepeat(rec, req, now)
		return reply, m, nil
	}
	if reason := s.mayHaveRun(id, req.Repeatable, now); reason != "" {
		return ReserveReply{Decision: OutcomeUnknown, Reason: reason}, nil, nil
	}
	reply, m := s.planAttempt(nil, req, id.IssuedAtMillis, now)
	return reply, m, nil
}

func (s *State) checkReserve(req ReserveRequest, now time.Time) (RequestID, error) {
	id, err := ParseRequestID(req.ID)
	if err != nil {
		return id, err
	}
	if id.Shard != s.shard {
		return id, failure.New(failure.NotOwner, "send the request to the owner of shard "+id.Shard.String(),
			"request %s does not belong to shard %s", req.ID, s.shard)
	}
	if id.Epoch > s.epoch {
		return id, failure.New(failure.NotOwner, "read the shard map again and retry",
			"request %s was issued in epoch %d, this replica of shard %s is in epoch %d", req.ID, id.Epoch, s.shard, s.epoch)
	}
	if ahead := s.retentionOf(retentionClass(id.Kind, req.Repeatable)); id.IssuedAtMillis > now.Add(ahead).UnixMilli() {
		// A record raises "purged through" to its mint time when it is dropped. A
		// mint time that is later than the drop would outlaw ids not yet issued.
		return id, failure.New(failure.Invalid, "get another id, or check the clock of the instance that issued it",
			"request %s was minted more than %s ahead of the clock of shard %s", req.ID, ahead, s.shard)
	}
	if req.Amount < 0 || req.Amount > MaxTokens {
		return id, failure.New(failure.Invalid, "ask for at most 2^42 tokens", "reservation of %d tokens is out of range", req.Amount)
	}
	return id, nil
}

// mayHaveRun returns why a request without a record may have run before, or "".
func (s *State) mayHaveRun(id RequestID, repeatable bool, now time.Time) string {
	class := retentionClass(id.Kind, repeatable)
	if id.Kind == CallerKey {
		if s.lostAt != 0 && now.UnixMilli()-s.lostAt < s.retentionOf(class).Milliseconds() {
			return fmt.Sprintf("the records of shard %s up to epoch %d were lost", s.shard, s.lostThrough)
		}
		return ""
	}
	if id.Epoch <= s.lostThrough {
		return fmt.Sprintf("the id was issued in epoch %d of shard %s, whose records were lost", id.Epoch, s.shard)
	}
	if id.IssuedAtMillis <= s.purged[class] {
		return "the id is older than the retention window"
	}
	return ""
}

func (s *State) planRepeat(rec *Record, req ReserveRequest, now time.Time) (ReserveReply, *Mutation) {
	if rec.Budget != req.Budget || rec.Service != req.Service || !bytes.Equal(rec.Fingerprint, req.Fingerprint) {
		return ReserveReply{Decision: Mismatch, Reason: "the id was used before for a request with another content, service or budget"}, nil
	}
	switch rec.State {
	case StateRunning:
		return s.planRepeatRunning(rec, req, now)
	case StateAnswered:
		if rec.Answer == nil {
			return ReserveReply{Decision: AnswerDropped, Charged: rec.Charged}, nil
		}
		return ReserveReply{Decision: Answered, Answer: rec.Answer, Charged: rec.Charged}, nil
	case StateNotRun:
		return s.planAfterNotRun(rec, req, now)
	case StatePartial, StateUnknown:
		if rec.Repeatable {
			return s.planAttempt(rec, req, rec.IssuedAtMillis, now)
		}
	}
	return ReserveReply{Decision: OutcomeUnknown, Reason: "an earlier attempt may have run"}, nil
}

func (s *State) planRepeatRunning(rec *Record, req ReserveRequest, now time.Time) (ReserveReply, *Mutation) {
	sameCall := rec.Dispatcher == req.Dispatcher && rec.Call == req.Call
	if sameCall {
		reply := ReserveReply{Decision: Admitted, Attempt: rec.Attempt}
		return s.withNotRun(reply, rec, now), nil
	}
	if req.DispatcherGone == "" || req.DispatcherGone != rec.Dispatcher {
		return ReserveReply{Decision: Running, Attempt: rec.Attempt,
			Dispatcher: rec.Dispatcher, DispatcherAddress: rec.DispatcherAddress}, nil
	}
	if rec.Repeatable {
		return s.planAttempt(rec, req, rec.IssuedAtMillis, now)
	}
	m := s.settled(rec, StateUnknown, rec.Reserved, nil, now)
	return ReserveReply{Decision: OutcomeUnknown, Reason: "the instance that ran the request is gone"}, m
}

// planAfterNotRun admits a repeat of a request that was recorded as not run. The
// dispatcher compares SinceNotRun with the age of its request, so a call that
// was in flight when the caller was told "not run" is not run after all.
func (s *State) planAfterNotRun(rec *Record, req ReserveRequest, now time.Time) (ReserveReply, *Mutation) {
	if rec.Dispatcher == req.Dispatcher && rec.Call == req.Call {
		return ReserveReply{Decision: Refused}, nil
	}
	return s.planAttempt(rec, req, rec.IssuedAtMillis, now)
}

// notRun returns when the last attempt that did not run was recorded as such,
// and the epoch of that clock, or 0 if there was none.
func (r *Record) notRun() (at int64, epoch uint64) {
	if r.State == StateNotRun {
		return r.UpdatedAtMillis, r.Epoch
	}
	return r.NotRunAtMillis, r.NotRunEpoch
}

// withNotRun adds to a reply when an earlier attempt was recorded as not run.
// The clock of another epoch is not comparable; the record is older than the
// present epoch then.
func (s *State) withNotRun(reply ReserveReply, rec *Record, now time.Time) ReserveReply {
	at, epoch := rec.notRun()
	if epoch == 0 {
		return reply
	}
	since := now.UnixMilli() - at
	if epoch != s.epoch {
		since = now.UnixMilli() - s.epochAt
	}
	reply.AfterNotRun = true
	reply.SinceNotRun = time.Duration(max(since, 0)) * time.Millisecond
	return reply
}

// planAttempt admits a new attempt of a request. What an earlier attempt has
// reserved or been charged is replaced, so the request is billed once.
func (s *State) planAttempt(prev *Record, req ReserveRequest, mint int64, now time.Time) (ReserveReply, *Mutation) {
	if req.Refuse {
		return s.planRefusal(prev, req, mint, now)
	}
	available := s.Right(req.Budget).Available()
	next := Record{
		ID: req.ID, Budget: req.Budget, Service: req.Service, Fingerprint: req.Fingerprint,
		Repeatable: req.Repeatable, KeepAnswer: req.KeepAnswer, State: StateRunning, Attempt: 1,
		Dispatcher: req.Dispatcher, DispatcherAddress: req.DispatcherAddress, Call: req.Call,
		Reserved: req.Amount, UpdatedAtMillis: now.UnixMilli(), IssuedAtMillis: mint, Epoch: s.epoch,
	}
	if prev != nil {
		available += prev.Reserved + prev.Charged
		next.Attempt = prev.Attempt + 1
		next.NotRunAtMillis, next.NotRunEpoch = prev.notRun()
		if prev.State != StateNotRun {
			next.MayHaveRunBefore, next.ChargedBefore = true, prev.Reserved+prev.Charged
		}
	}
	if req.Amount > available {
		return ReserveReply{Decision: Exhausted,
			Reason: fmt.Sprintf("the shard holds rights for %d tokens, the request may cost %d", max(available, 0), req.Amount)}, nil
	}
	reply := ReserveReply{Decision: Admitted, Attempt: next.Attempt}
	if prev != nil {
		reply = s.withNotRun(reply, prev, now)
	}
	return reply, &Mutation{Op: OpRecord, Record: &next}
}

// planRefusal records a request as not run. When an earlier attempt may have run,
// the request as a whole cannot be reported as not run.
func (s *State) planRefusal(prev *Record, req ReserveRequest, mint int64, now time.Time) (ReserveReply, *Mutation) {
	next := Record{
		ID: req.ID, Budget: req.Budget, Service: req.Service, Fingerprint: req.Fingerprint,
		Repeatable: req.Repeatable, KeepAnswer: req.KeepAnswer, State: StateNotRun, Attempt: 1,
		Dispatcher: req.Dispatcher, DispatcherAddress: req.DispatcherAddress, Call: req.Call,
		UpdatedAtMillis: now.UnixMilli(), IssuedAtMillis: mint, Epoch: s.epoch,
	}
	if prev != nil {
		if prev.State != StateNotRun {
			return ReserveReply{Decision: OutcomeUnknown, Reason: "an earlier attempt may have run"}, nil
		}
		next.Attempt = prev.Attempt + 1
	}
	return ReserveReply{Decision: Refused}, &Mutation{Op: OpRecord, Record: &next}
}

// PlanSettle ends an attempt. A report of an attempt that has been replaced
// changes nothing.
func (s *State) PlanSettle(req SettleRequest, now time.Time) (SettleReply, *Mutation, error) {
	rec := s.records[req.ID]
	if rec == nil {
		return SettleReply{}, nil, failure.New(failure.NotFound, "drop the report; the epoch of the request was lost or its record has expired",
			"shard %s has no record of request %s", s.shard, req.ID)
	}
	if !rec.namedBy(req) {
		return SettleReply{Charged: rec.Charged, Stale: true}, nil, nil
	}
	var m *Mutation
	var err error
	if rec.State == StateRunning || rec.State == StateUnknown {
		m, err = s.planEnd(rec, req, now)
	}
	state, charged := rec.State, rec.Charged
	if m != nil {
		state, charged = m.End.State, m.End.Charged
	}
	return SettleReply{Charged: charged, MayHaveRun: req.End == EndNotRun && state != StateNotRun}, m, err
}

func (r *Record) namedBy(req SettleRequest) bool {
	if req.Attempt != 0 {
		return req.Attempt == r.Attempt
	}
	return req.End == EndNotRun && req.Dispatcher == r.Dispatcher && req.Call == r.Call
}

func (s *State) planEnd(rec *Record, req SettleRequest, now time.Time) (*Mutation, error) {
	held := rec.Reserved + rec.Charged // the reservation, running or charged as unknown
	switch req.End {
	case EndComplete:
		return s.settled(rec, StateAnswered, clamp(req.Charge, held), keptAnswer(rec, req.Answer), now), nil
	case EndPartial:
		return s.settled(rec, StatePartial, clamp(req.Charge, held), nil, now), nil
	case EndNotRun:
		if rec.MayHaveRunBefore {
			return s.settled(rec, StatePartial, clamp(rec.ChargedBefore, held), nil, now), nil
		}
		return s.settled(rec, StateNotRun, 0, nil, now), nil
	case EndUnknown:
		if rec.State == StateUnknown {
			return nil, nil
		}
		return s.settled(rec, StateUnknown, held, nil, now), nil
	}
	return nil, failure.New(failure.Invalid, "run the same release on all instances", "unknown end %d in a settle request", req.End)
}

func clamp(charge, held Tokens) Tokens { return max(0, min(charge, held)) }

func keptAnswer(rec *Record, a *StoredAnswer) *StoredAnswer {
	if !rec.KeepAnswer || a == nil || len(a.Body) > MaxStoredAnswerBytes {
		return nil
	}
	return a
}

func (s *State) settled(rec *Record, state RecordState, charge Tokens, answer *StoredAnswer, now time.Time) *Mutation {
	return &Mutation{Op: OpEnd, End: &EndState{
		ID: rec.ID, State: state, Charged: charge, Answer: answer, EndedAtMillis: now.UnixMilli(), Epoch: s.epoch,
	}}
}

// PlanSyncGrant mirrors the grant that a read of the budget record showed at the
// given version. It returns nil when nothing changes or when the read is stale.
func (s *State) PlanSyncGrant(b BudgetKey, granted Tokens, version uint64) *Mutation {
	r := s.Right(b)
	if version < r.Version {
		return nil
	}
	returning := r.Returning && version <= r.ReturnVersion
	if r.Granted == granted && r.Returning == returning {
		return nil
	}
	r.Granted, r.Version, r.Returning = granted, version, returning
	if !returning {
		r.ReturnTo, r.ReturnVersion = 0, 0
	}
	return &Mutation{Op: OpRight, Budget: b, Right: &r}
}

// PlanReturn lowers what the shard uses of a grant before the lower grant is
// written to the store with a swap that expects version. It returns nil when
// nothing can be returned.
func (s *State) PlanReturn(b BudgetKey, to Tokens, version uint64) *Mutation {
	r := s.Right(b)
	to = max(to, r.Charged+r.Reserved)
	if to >= r.Granted || r.Returning {
		return nil
	}
	r.Returning, r.ReturnTo, r.ReturnVersion = true, to, version
	return &Mutation{Op: OpRight, Budget: b, Right: &r}
}

// PlanExpire drops up to limit records whose retention has passed, and turns
// running ones that were started before abandoned into unknown ones.
func (s *State) PlanExpire(now time.Time, abandoned time.Time, limit int) []*Mutation {
	var out []*Mutation
	if ids := s.expired(now, limit); len(ids) > 0 {
		out = append(out, &Mutation{Op: OpExpire, IDs: ids})
	}
	for _, rec := range s.records {
		if len(out) >= limit {
			break
		}
		if rec.State == StateRunning && rec.UpdatedAtMillis < abandoned.UnixMilli() {
			out = append(out, s.settled(rec, StateUnknown, rec.Reserved, nil, now))
		}
	}
	return out
}

func (s *State) expired(now time.Time, limit int) []string {
	var ids []string
	for class := range s.ended {
		before := now.Add(-s.retentionOf(class)).UnixMilli()
		for _, e := range s.ended[class] {
			if e.At > before || len(ids) >= limit {
				break
			}
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// PlanSeal puts up to limit bill lines into the next segment, or returns nil
// when there are none.
func (s *State) PlanSeal(limit int) *Mutation {
	if len(s.unsealed) == 0 {
		return nil
	}
	return &Mutation{Op: OpSeal, Count: min(limit, len(s.unsealed))}
}

// PlanDropSegment drops a segment that the store holds.
func (s *State) PlanDropSegment(seg Segment) *Mutation {
	return &Mutation{Op: OpDropSegment, Epoch: seg.Epoch, Seq: seg.Seq}
}

// PlanEpoch moves the shard to a newer epoch. lost says that the state of the
// previous epoch was lost and that this state starts empty.
func (s *State) PlanEpoch(epoch, lostThrough uint64, now time.Time) *Mutation {
	return &Mutation{Op: OpEpoch, Epoch: epoch, LostThrough: lostThrough, EpochStartMillis: now.UnixMilli()}
}

// PlanBarrier returns a mutation that changes nothing. A backup acknowledges it
// only while it follows this owner, so a state that was read before is current.
func (s *State) PlanBarrier() *Mutation { return &Mutation{Op: OpBarrier} }
