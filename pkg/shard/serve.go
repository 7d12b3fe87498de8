package shard

import (
	"context"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// result carries the result of a call from the control goroutine to the waiting caller.
type result[T any] struct {
	value T
	err   error
}

// await posts fn, which must call answer exactly once, and waits for that call. If ctx
// or Run ends before the call, fn may have taken effect, so the error is
// failure.Uncertain.
func await[T any](ctx context.Context, m *Manager, fn func(answer func(T, error))) (T, error) {
	ch := make(chan result[T], 1)
	var zero T
	if !m.post(func() { fn(func(v T, err error) { ch <- result[T]{v, err} }) }) {
		return zero, stoppingError()
	}
	select {
	case r := <-ch:
		if r.err != nil {
			return zero, r.err // the value of a failed call must not leak into the reply of a later attempt
		}
		return r.value, nil
	case <-ctx.Done():
		return zero, failure.New(failure.Uncertain, "repeat the call with the same request id", "the owner of the shard did not answer in time")
	case <-m.done:
		return zero, failure.New(failure.Uncertain, "repeat the call with the same request id", "the owner of the shard is stopping")
	}
}

// ownedReplica returns the replica of a shard that this instance serves.
func (m *Manager) ownedReplica(id ledger.ShardID) (*replica, error) {
	r := m.replicas[id.Shard]
	if id.Domain != m.opts.Self.Domain || r == nil || r.role != roleOwner {
		return nil, (&replica{m: m, shard: id.Shard}).notOwnerError()
	}
	return r, nil
}

// readyReplica returns the replica of a shard that this instance serves. It fails if too
// many replies wait for the backup.
func (m *Manager) readyReplica(id ledger.ShardID) (*replica, error) {
	r, err := m.ownedReplica(id)
	if err == nil {
		err = r.checkBacklog()
	}
	return r, err
}

// Reserve decides on a request at the shard that its id names. It fails with
// failure.NotOwner if this instance does not serve the shard. A reply that admits a
// request or reports that it did not run is sent only after the backup has
// acknowledged it. Running and OutcomeUnknown may be sent by an owner that was
// replaced: for the first, the dispatcher has the actual state, and the second is
// safe at any time.
func (m *Manager) Reserve(ctx context.Context, req ledger.ReserveRequest) (ledger.ReserveReply, error) {
	id, err := ledger.ParseRequestID(req.ID)
	if err != nil {
		return ledger.ReserveReply{}, err
	}
	return await(ctx, m, func(answer func(ledger.ReserveReply, error)) {
		r, err := m.ownedReplica(id.Shard)
		if err != nil {
			answer(ledger.ReserveReply{}, err)
			return
		}
		r.reserve(req, 0, answer)
	})
}

// reserve decides on a request for which storeCalls calls to the store were made so far.
// Another request may take the rights that such a call obtained, so it requests rights
// again unless the budget is exhausted or the last call failed.
func (r *replica) reserve(req ledger.ReserveRequest, storeCalls int, answer func(ledger.ReserveReply, error)) {
	if r.role != roleOwner {
		answer(ledger.ReserveReply{}, r.notOwnerError())
		return
	}
	if err := r.checkBacklog(); err != nil {
		answer(ledger.ReserveReply{}, err)
		return
	}
	now := r.m.now()
	reply, mutation, err := r.state.PlanReserve(req, now)
	if err != nil {
		answer(reply, err)
		return
	}
	d := r.demandFor(req.Budget)
	retry := storeCalls < maxStoreCallsPerRequest && d.lastErr == nil && !d.exhausted
	if reply.Decision == ledger.Exhausted && (storeCalls == 0 || retry) {
		if r.requestRights(req.Budget, req.Amount, func() { r.reserve(req, storeCalls+1, answer) }) {
			return
		}
		reply.Kind, reply.Reason = failure.Limited, reasonStoreCallLimited
	} else if reply.Decision == ledger.Exhausted {
		reply = d.explainExhausted(reply)
	}
	if reply.Decision == ledger.Exhausted {
		reply, mutation = r.refuseExhausted(req, reply)
	}
	if reply.Decision == ledger.Admitted && mutation != nil {
		d.rate.Add(req.Amount, now)
	}
	r.m.metrics.decisions.WithLabelValues(decisionName(reply.Decision)).Inc()
	if mutation == nil && (reply.Decision == ledger.Admitted || reply.Decision == ledger.Refused) {
		mutation = r.state.PlanBarrier()
	}
	r.commit(mutation)
	r.whenReplicated(func(err error) { answer(reply, err) })
}

// refuseExhausted records that a request whose id is known to its caller did not run:
// "not run" is reported to the caller, and another attempt with the same id may still be
// in flight. It returns a reply of OutcomeUnknown if an earlier attempt may have run.
func (r *replica) refuseExhausted(req ledger.ReserveRequest, reply ledger.ReserveReply) (ledger.ReserveReply, *ledger.Mutation) {
	req.Refuse = true
	refused, mutation, err := r.state.PlanReserve(req, r.m.now())
	switch {
	case err == nil && refused.Decision == ledger.OutcomeUnknown:
		return refused, nil
	case err != nil || refused.Decision != ledger.Refused || !req.KeepAnswer:
		return reply, nil
	}
	return reply, mutation
}

// Settle ends an attempt at the shard that its id names. It fails with failure.NotOwner
// if this instance does not serve the shard.
func (m *Manager) Settle(ctx context.Context, req ledger.SettleRequest) (ledger.SettleReply, error) {
	id, err := ledger.ParseRequestID(req.ID)
	if err != nil {
		return ledger.SettleReply{}, err
	}
	return await(ctx, m, func(answer func(ledger.SettleReply, error)) {
		r, err := m.readyReplica(id.Shard)
		if err != nil {
			answer(ledger.SettleReply{}, err)
			return
		}
		reply, mutation, err := r.state.PlanSettle(req, m.now())
		if err != nil {
			answer(reply, err)
			return
		}
		if mutation == nil {
			mutation = r.state.PlanBarrier()
		}
		r.commit(mutation)
		r.whenReplicated(func(err error) { answer(reply, err) })
	})
}

// Lookup returns the status of a request, or failure.NotFound if the shard has no record
// of it. The reply waits for an acknowledgement of the backup, because an owner that is
// cut off may have been replaced and its state may be stale.
func (m *Manager) Lookup(ctx context.Context, id string) (ledger.RequestStatus, error) {
	parsed, err := ledger.ParseRequestID(id)
	if err != nil {
		return ledger.RequestStatus{}, err
	}
	return await(ctx, m, func(answer func(ledger.RequestStatus, error)) {
		r, err := m.readyReplica(parsed.Shard)
		if err != nil {
			answer(ledger.RequestStatus{}, err)
			return
		}
		status, ok := r.state.Lookup(id)
		r.commit(r.state.PlanBarrier())
		r.whenReplicated(func(err error) {
			if err == nil && !ok {
				err = failure.New(failure.NotFound, "check the id; records are kept for the retention window only", "shard %s has no record of request %s", r.id(), id)
			}
			answer(status, err)
		})
	})
}

// Status is a summary of the shards that this instance serves.
type Status struct {
	Owned   int                    `cbor:"1,keyasint" json:"owned"`
	Backups int                    `cbor:"2,keyasint" json:"backups"`
	Budgets int                    `cbor:"3,keyasint" json:"budgets"`
	Records int                    `cbor:"4,keyasint" json:"records"`
	Running []ledger.RequestStatus `cbor:"5,keyasint" json:"running"`
}

// BudgetCharge is the right of one shard on a budget, as recorded by the owner.
type BudgetCharge struct {
	Budget   ledger.BudgetKey `cbor:"1,keyasint" json:"budget"`
	Shard    ledger.ShardID   `cbor:"2,keyasint" json:"shard"`
	Epoch    uint64           `cbor:"3,keyasint" json:"epoch"`
	Granted  ledger.Tokens    `cbor:"4,keyasint" json:"granted"`
	Charged  ledger.Tokens    `cbor:"5,keyasint" json:"charged"`
	Reserved ledger.Tokens    `cbor:"6,keyasint" json:"reserved"`
}

// Charges returns the exact charges of those of the given budgets whose shard this
// instance serves. A shard without a right on its budget is listed with zeros.
func (m *Manager) Charges(ctx context.Context, budgets []ledger.BudgetKey) ([]BudgetCharge, error) {
	shards := m.opts.Shards()
	return await(ctx, m, func(answer func([]BudgetCharge, error)) {
		out := []BudgetCharge{}
		for _, b := range budgets {
			if shards == 0 {
				break
			}
			r := m.replicas[ledger.ShardOf(b, shards)]
			if r == nil || r.role != roleOwner {
				continue
			}
			right := r.state.Right(b)
			out = append(out, BudgetCharge{b, r.id(), r.epoch, right.Granted, right.Charged, right.Reserved})
		}
		answer(out, nil)
	})
}

// Status returns a summary of the shards of this instance.
func (m *Manager) Status(ctx context.Context) (Status, error) {
	return await(ctx, m, func(answer func(Status, error)) {
		var s Status
		for _, r := range m.replicas {
			r.addToStatus(&s)
		}
		answer(s, nil)
	})
}

// addToStatus adds the replica to the counts of s.
func (r *replica) addToStatus(s *Status) {
	switch r.role {
	case roleBackup:
		s.Backups++
	case roleOwner:
		s.Owned++
		budgets, records := r.state.Sizes()
		s.Budgets += budgets
		s.Records += records
		s.Running = append(s.Running, r.state.Running()...)
	}
}
