package ledger

import (
	"bytes"
	"fmt"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// PlanReserve decides on a request. A nil mutation means that the state does not
// change. The reply may be sent only after the backup holds the state up to its
// current index, including the returned mutation. PlanReserve fails with
// failure.Invalid if the id or the amount is not valid, and with failure.NotOwner
// if this replica cannot decide on the id.
func (s *State) PlanReserve(req ReserveRequest, now time.Time) (ReserveReply, *Mutation, error) {
	id, err := s.validateReserve(req, now)
	if err != nil {
		return ReserveReply{}, nil, err
	}
	if rec := s.records[req.ID]; rec != nil {
		reply, m := s.planRepeat(rec, req, now)
		return reply, m, nil
	}
	if reason := s.reasonOutcomeUnknown(id, req.Repeatable, now); reason != "" {
		return ReserveReply{Decision: OutcomeUnknown, Reason: reason}, nil, nil
	}
	reply, m := s.planAttempt(nil, req, id.IssuedAtMillis, now)
	return reply, m, nil
}

func (s *State) validateReserve(req ReserveRequest, now time.Time) (RequestID, error) {
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
	if maxAhead := s.retentionOf(retentionClass(id.Kind, req.Repeatable)); id.IssuedAtMillis > now.Add(maxAhead).UnixMilli() {
		// Dropping a record raises purgedThrough to the issue time of its id. An
		// issue time later than the drop would block ids that are not yet issued.
		return id, failure.New(failure.Invalid, "get another id, or check the clock of the instance that issued it",
			"request %s was issued more than %s ahead of the clock of shard %s", req.ID, maxAhead, s.shard)
	}
	if req.Amount < 0 || req.Amount > MaxTokens {
		return id, failure.New(failure.Invalid, "ask for at most 2^42 tokens", "reservation of %d tokens is out of range", req.Amount)
	}
	return id, nil
}

// reasonOutcomeUnknown returns why a request without a record may have run
// before, or "" if it cannot have run.
func (s *State) reasonOutcomeUnknown(id RequestID, repeatable bool, now time.Time) string {
	class := retentionClass(id.Kind, repeatable)
	if id.Kind == CallerKey {
		if s.lostAtMillis != 0 && now.UnixMilli()-s.lostAtMillis < s.retentionOf(class).Milliseconds() {
			return fmt.Sprintf("the records of shard %s up to epoch %d were lost", s.shard, s.lostThrough)
		}
		return ""
	}
	if id.Epoch <= s.lostThrough {
		return fmt.Sprintf("the id was issued in epoch %d of shard %s, whose records were lost", id.Epoch, s.shard)
	}
	if id.IssuedAtMillis <= s.purgedThrough[class] {
		return "the id is older than the retention window"
	}
	return ""
}

func (s *State) planRepeat(rec *Record, req ReserveRequest, now time.Time) (ReserveReply, *Mutation) {
	if rec.Budget != req.Budget || rec.Service != req.Service || !bytes.Equal(rec.Fingerprint, req.Fingerprint) {
		return ReserveReply{Decision: Mismatch, Reason: "the id was used before for a request with different content, service or budget"}, nil
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
		return s.addNotRunInfo(reply, rec, now), nil
	}
	if req.LostDispatcher == "" || req.LostDispatcher != rec.Dispatcher {
		return ReserveReply{Decision: Running, Attempt: rec.Attempt,
			Dispatcher: rec.Dispatcher, DispatcherAddress: rec.DispatcherAddress}, nil
	}
	if rec.Repeatable {
		return s.planAttempt(rec, req, rec.IssuedAtMillis, now)
	}
	m := s.endMutation(rec, StateUnknown, rec.Reserved, nil, now)
	return ReserveReply{Decision: OutcomeUnknown, Reason: "the instance that ran the request is no longer available"}, m
}

// planAfterNotRun admits a repeat of a request that was recorded as not run. The
// dispatcher compares SinceNotRun with the age of its request, so a call that
// was in flight when the caller was told "not run" is not sent to an endpoint.
func (s *State) planAfterNotRun(rec *Record, req ReserveRequest, now time.Time) (ReserveReply, *Mutation) {
	if rec.Dispatcher == req.Dispatcher && rec.Call == req.Call {
		return ReserveReply{Decision: Refused}, nil
	}
	return s.planAttempt(rec, req, rec.IssuedAtMillis, now)
}

// lastNotRun returns the time at which an attempt was last recorded as not run,
// in ms on the owner's wall clock, and the epoch of that owner. Both are 0 if
// there is no such attempt.
func (r *Record) lastNotRun() (atMillis int64, epoch uint64) {
	if r.State == StateNotRun {
		return r.UpdatedAtMillis, r.Epoch
	}
	return r.NotRunAtMillis, r.NotRunEpoch
}

// addNotRunInfo sets AfterNotRun and SinceNotRun if an earlier attempt was
// recorded as not run. A time from another epoch is on another owner's clock and
// not comparable. The start of the current epoch, which is later, then replaces
// it.
func (s *State) addNotRunInfo(reply ReserveReply, rec *Record, now time.Time) ReserveReply {
	atMillis, epoch := rec.lastNotRun()
	if epoch == 0 {
		return reply
	}
	sinceMillis := now.UnixMilli() - atMillis
	if epoch != s.epoch {
		sinceMillis = now.UnixMilli() - s.epochStartMillis
	}
	reply.AfterNotRun = true
	reply.SinceNotRun = time.Duration(max(sinceMillis, 0)) * time.Millisecond
	return reply
}

// planAttempt admits a new attempt of a request. It replaces the reservation or
// charge of an earlier attempt, so the request is billed once.
func (s *State) planAttempt(prev *Record, req ReserveRequest, issuedAtMillis int64, now time.Time) (ReserveReply, *Mutation) {
	if req.Refuse {
		return s.planRefusal(prev, req, issuedAtMillis, now)
	}
	available := s.Right(req.Budget).Available()
	next := Record{
		ID: req.ID, Budget: req.Budget, Service: req.Service, Fingerprint: req.Fingerprint,
		Repeatable: req.Repeatable, KeepAnswer: req.KeepAnswer, State: StateRunning, Attempt: 1,
		Dispatcher: req.Dispatcher, DispatcherAddress: req.DispatcherAddress, Call: req.Call,
		Reserved: req.Amount, UpdatedAtMillis: now.UnixMilli(), IssuedAtMillis: issuedAtMillis, Epoch: s.epoch,
	}
	if prev != nil {
		available += prev.Reserved + prev.Charged
		next.Attempt = prev.Attempt + 1
		next.NotRunAtMillis, next.NotRunEpoch = prev.lastNotRun()
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
		reply = s.addNotRunInfo(reply, prev, now)
	}
	return reply, &Mutation{Op: OpRecord, Record: &next}
}

// planRefusal records a request as not run. If an earlier attempt may have run,
// the request as a whole cannot be reported as not run.
func (s *State) planRefusal(prev *Record, req ReserveRequest, issuedAtMillis int64, now time.Time) (ReserveReply, *Mutation) {
	next := Record{
		ID: req.ID, Budget: req.Budget, Service: req.Service, Fingerprint: req.Fingerprint,
		Repeatable: req.Repeatable, KeepAnswer: req.KeepAnswer, State: StateNotRun, Attempt: 1,
		Dispatcher: req.Dispatcher, DispatcherAddress: req.DispatcherAddress, Call: req.Call,
		UpdatedAtMillis: now.UnixMilli(), IssuedAtMillis: issuedAtMillis, Epoch: s.epoch,
	}
	if prev != nil {
		if prev.State != StateNotRun {
			return ReserveReply{Decision: OutcomeUnknown, Reason: "an earlier attempt may have run"}, nil
		}
		next.Attempt = prev.Attempt + 1
	}
	return ReserveReply{Decision: Refused}, &Mutation{Op: OpRecord, Record: &next}
}

// PlanSettle ends an attempt. A nil mutation means that the state does not
// change, for example because another attempt has replaced the reported one. It
// fails with failure.NotFound if there is no record of the request, and with
// failure.Invalid if the end is unknown.
func (s *State) PlanSettle(req SettleRequest, now time.Time) (SettleReply, *Mutation, error) {
	rec := s.records[req.ID]
	if rec == nil {
		return SettleReply{}, nil, failure.New(failure.NotFound, "drop the report; the epoch of the request was lost or its record has expired",
			"shard %s has no record of request %s", s.shard, req.ID)
	}
	if !rec.isTargetOf(req) {
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

// isTargetOf reports whether req reports the current attempt of the record.
func (r *Record) isTargetOf(req SettleRequest) bool {
	if req.Attempt != 0 {
		return req.Attempt == r.Attempt
	}
	return req.End == EndNotRun && req.Dispatcher == r.Dispatcher && req.Call == r.Call
}

func (s *State) planEnd(rec *Record, req SettleRequest, now time.Time) (*Mutation, error) {
	maxCharge := rec.Reserved + rec.Charged // the reservation: Reserved in StateRunning, Charged in StateUnknown
	switch req.End {
	case EndComplete:
		return s.endMutation(rec, StateAnswered, clampCharge(req.Charge, maxCharge), storableAnswer(rec, req.Answer), now), nil
	case EndPartial:
		return s.endMutation(rec, StatePartial, clampCharge(req.Charge, maxCharge), nil, now), nil
	case EndNotRun:
		if rec.MayHaveRunBefore {
			return s.endMutation(rec, StatePartial, clampCharge(rec.ChargedBefore, maxCharge), nil, now), nil
		}
		return s.endMutation(rec, StateNotRun, 0, nil, now), nil
	case EndUnknown:
		if rec.State == StateUnknown {
			return nil, nil
		}
		return s.endMutation(rec, StateUnknown, maxCharge, nil, now), nil
	}
	return nil, failure.New(failure.Invalid, "run the same release on all instances", "unknown end %d in a settle request", req.End)
}

func clampCharge(charge, maxCharge Tokens) Tokens { return max(0, min(charge, maxCharge)) }

// storableAnswer returns the answer to store, or nil if none is to be stored.
func storableAnswer(rec *Record, answer *StoredAnswer) *StoredAnswer {
	if !rec.KeepAnswer || answer == nil || len(answer.Body) > MaxStoredAnswerBytes {
		return nil
	}
	return answer
}

// endMutation returns the mutation that ends the current attempt of rec.
func (s *State) endMutation(rec *Record, state RecordState, charge Tokens, answer *StoredAnswer, now time.Time) *Mutation {
	return &Mutation{Op: OpEnd, End: &EndState{
		ID: rec.ID, State: state, Charged: charge, Answer: answer, EndedAtMillis: now.UnixMilli(), Epoch: s.epoch,
	}}
}

// PlanSyncGrant mirrors the grant that the budget record holds at the given
// version. It returns nil if nothing changes or if the version is lower than one
// mirrored before.
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

// PlanReturn limits the shard to the amount to, or to what is charged and
// reserved if that is more. It is committed before the lower grant is written to
// the store by a compare-and-swap that expects version. It returns nil if there
// is nothing to return or another return is in progress.
func (s *State) PlanReturn(b BudgetKey, to Tokens, version uint64) *Mutation {
	r := s.Right(b)
	to = max(to, r.Charged+r.Reserved)
	if to >= r.Granted || r.Returning {
		return nil
	}
	r.Returning, r.ReturnTo, r.ReturnVersion = true, to, version
	return &Mutation{Op: OpRight, Budget: b, Right: &r}
}

// PlanExpire drops up to limit records whose retention has passed, and ends
// running attempts that started before abandonedBefore as unknown. It returns at
// most limit mutations.
func (s *State) PlanExpire(now time.Time, abandonedBefore time.Time, limit int) []*Mutation {
	var mutations []*Mutation
	if ids := s.expiredIDs(now, limit); len(ids) > 0 {
		mutations = append(mutations, &Mutation{Op: OpExpire, IDs: ids})
	}
	for _, rec := range s.records {
		if len(mutations) >= limit {
			break
		}
		if rec.State == StateRunning && rec.UpdatedAtMillis < abandonedBefore.UnixMilli() {
			mutations = append(mutations, s.endMutation(rec, StateUnknown, rec.Reserved, nil, now))
		}
	}
	return mutations
}

func (s *State) expiredIDs(now time.Time, limit int) []string {
	var ids []string
	for class := range s.expiryQueues {
		cutoff := now.Add(-s.retentionOf(class)).UnixMilli()
		for _, e := range s.expiryQueues[class] {
			if e.EndedAtMillis > cutoff || len(ids) >= limit {
				break
			}
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// PlanSeal moves up to limit bill lines into the next segment. It returns nil if
// there are none.
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

// PlanEpoch moves the shard to a newer epoch. lostThrough is the highest epoch
// whose state was lost, or 0.
func (s *State) PlanEpoch(epoch, lostThrough uint64, now time.Time) *Mutation {
	return &Mutation{Op: OpEpoch, Epoch: epoch, LostThrough: lostThrough, EpochStartMillis: now.UnixMilli()}
}

// PlanBarrier returns a mutation that changes nothing. A backup acknowledges it
// only while it follows this owner, so the acknowledgement proves that a state
// read before is current.
func (s *State) PlanBarrier() *Mutation { return &Mutation{Op: OpBarrier} }
