package shard

import (
	"context"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// grantJob changes the shard's grant in one budget record. It runs in a goroutine of
// its own and accesses the replica only on the control goroutine.
type grantJob struct {
	r      *replica
	epoch  uint64
	budget ledger.BudgetKey
	need   ledger.Tokens
	// returnAmount computes how much to return; it is set only for a job that returns
	// rights.
	returnAmount func(ledger.Right) ledger.Tokens
	returned     ledger.Tokens
	recalled     bool
	// exhausted is true if the budget cannot cover need.
	exhausted bool
}

// grantStep is the next change of the budget record.
type grantStep struct {
	data    []byte
	granted ledger.Tokens
	// replicated, if not nil, receives the result of the replication that must
	// precede the swap.
	replicated chan error
	// recallHolders are the other shards to recall idle rights from, if the budget has
	// no unassigned rights left.
	recallHolders []ledger.ShardID
	done          bool
	err           error
}

// run reads and swaps the budget record until the job is done. It fails with
// failure.Conflict after maxGrantRounds rounds.
func (j *grantJob) run(ctx context.Context) error {
	key := j.budget.StoreKey()
	for range maxGrantRounds {
		rec, err := j.read(ctx, key)
		if err != nil {
			return err
		}
		var s grantStep
		if err := j.r.m.do(ctx, func() { s = j.plan(rec) }); err != nil {
			return err
		}
		if s.err != nil || s.done {
			return s.err
		}
		if len(s.recallHolders) > 0 {
			if j.exhausted = !j.recallFromHolders(ctx, s.recallHolders); j.exhausted {
				return nil
			}
			continue
		}
		if done, err := j.write(ctx, key, rec.Version, s); done || err != nil {
			return err
		}
	}
	return failure.New(failure.Conflict, "retry later", "budget %s changed too often", j.budget)
}

// read reads the budget record from the store.
func (j *grantJob) read(ctx context.Context, key string) (kvstore.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, j.r.m.opts.Timing.StoreTimeout)
	defer cancel()
	return j.r.m.opts.Store.Get(ctx, key)
}

// write swaps the record and reports whether the job is done. After a conflict or an
// uncertain result the job is not done, because only the next read shows the outcome.
func (j *grantJob) write(ctx context.Context, key string, version uint64, s grantStep) (bool, error) {
	if s.replicated != nil {
		select {
		case err := <-s.replicated:
			if err != nil {
				return false, err
			}
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
	ctx, cancel := context.WithTimeout(ctx, j.r.m.opts.Timing.StoreTimeout)
	defer cancel()
	next, err := j.r.m.opts.Store.CompareAndSwap(ctx, key, version, s.data)
	if failure.Is(err, failure.Conflict) || failure.Is(err, failure.Uncertain) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	done := false
	err = j.r.m.do(ctx, func() { done = j.applyGrant(s.granted, next) })
	return done, err
}

// isCurrent reports whether the replica still serves the epoch of the job or a later
// epoch of the same owner.
func (j *grantJob) isCurrent() bool { return j.r.role == roleOwner && j.r.epoch >= j.epoch }

// applyGrant applies a grant that a swap has written. It reports whether the job is
// done; otherwise another round follows.
func (j *grantJob) applyGrant(granted ledger.Tokens, version uint64) bool {
	if !j.isCurrent() {
		return false
	}
	j.r.commit(j.r.state.PlanSyncGrant(j.budget, granted, version))
	right := j.r.state.Right(j.budget)
	return !right.Returning && right.Available() >= j.need
}

// plan decides on the next step from the record just read.
func (j *grantJob) plan(rec kvstore.Record) grantStep {
	r := j.r
	if !j.isCurrent() {
		return grantStep{err: r.notOwnerError()}
	}
	if rec.Version < r.state.Right(j.budget).Version {
		return grantStep{err: failure.New(failure.Unavailable, "check the platform store: it shows an older value than before",
			"budget %s is at version %d, version %d was seen before", j.budget, rec.Version, r.state.Right(j.budget).Version)}
	}
	budget, err := ledger.DecodeBudget(rec.Value)
	if err != nil {
		return grantStep{err: err}
	}
	stranded := budget.Strand(r.id(), r.state.LostThrough())
	g := budget.GrantOf(r.id())
	if g.Epoch > r.state.Epoch() {
		return grantStep{err: fencedError(r, r.state.Epoch())}
	}
	if !stranded {
		r.commit(r.state.PlanSyncGrant(j.budget, g.Granted, rec.Version))
	}
	d := r.demandFor(j.budget)
	d.unassigned, d.hasRecord = budget.Unassigned(), rec.Version > 0
	next := j.planGrant(budget, g, rec.Version)
	if next.done && stranded {
		next = grantStep{granted: g.Granted}
	}
	if next.done || len(next.recallHolders) > 0 || next.err != nil {
		return next
	}
	return j.encode(budget, next)
}

// encode adds to s the record with the grant that s plans.
func (j *grantJob) encode(budget *ledger.BudgetRecord, s grantStep) grantStep {
	r := j.r
	g := ledger.Grant{Shard: r.id(), Epoch: r.state.Epoch(), Granted: s.granted, Charged: r.state.Right(j.budget).Charged}
	if err := budget.SetGrant(g); err != nil {
		return grantStep{err: err}
	}
	s.data, s.err = budget.Encode()
	return s
}

// planGrant decides on the next grant: it finishes a return that was started, returns
// rights, raises the grant, or recalls rights from other domains.
func (j *grantJob) planGrant(budget *ledger.BudgetRecord, g ledger.Grant, version uint64) grantStep {
	r := j.r
	right := r.state.Right(j.budget)
	if right.Returning {
		return j.newReturnStep(right.ReturnTo)
	}
	if j.returnAmount != nil {
		return j.planReturn(right, version)
	}
	view := r.grantView(j.budget)
	amount := r.m.opts.Policy().RequestAmount(view, j.need)
	if amount > 0 {
		r.m.metrics.granted.Add(float64(amount))
		return grantStep{granted: g.Granted + amount}
	}
	j.exhausted = j.need > max(view.Available, 0)
	if !j.exhausted || j.recalled {
		return grantStep{done: true}
	}
	j.recalled = true
	holders := otherHolders(budget, r.id())
	return grantStep{recallHolders: holders, done: len(holders) == 0}
}

// planReturn plans to return rights to the store. The job is done if it has returned
// some already or there are none to return.
func (j *grantJob) planReturn(right ledger.Right, version uint64) grantStep {
	amount := min(j.returnAmount(right), right.Available())
	if amount <= 0 || j.returned > 0 {
		return grantStep{done: true}
	}
	mutation := j.r.state.PlanReturn(j.budget, right.Granted-amount, version)
	if mutation == nil {
		return grantStep{done: true}
	}
	j.r.commit(mutation)
	j.returned = amount
	j.r.m.metrics.returned.Add(float64(amount))
	return j.newReturnStep(right.Granted - amount)
}

// newReturnStep returns a step that lowers the grant once the lower usable amount has
// been replicated to the backup.
func (j *grantJob) newReturnStep(to ledger.Tokens) grantStep {
	replicated := make(chan error, 1)
	j.r.whenReplicated(func(err error) { replicated <- err })
	return grantStep{granted: to, replicated: replicated}
}

// otherHolders returns the shards other than self that hold unused rights.
func otherHolders(budget *ledger.BudgetRecord, self ledger.ShardID) []ledger.ShardID {
	var out []ledger.ShardID
	for _, g := range budget.Grants {
		if g.Shard != self && g.Granted > g.Charged {
			out = append(out, g.Shard)
		}
	}
	return out
}

// recallFromHolders asks the owners of the shards to return idle rights on the budget.
// It reports whether anything was returned.
func (j *grantJob) recallFromHolders(ctx context.Context, shards []ledger.ShardID) bool {
	recall := j.r.m.opts.Recall
	if recall == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	results := make(chan ledger.Tokens, len(shards))
	for _, s := range shards {
		go func() {
			n, _ := recall(ctx, s, j.budget) // an unreachable owner returns nothing
			results <- n
		}()
	}
	var total ledger.Tokens
	for range shards {
		total += <-results
	}
	return total > 0
}
