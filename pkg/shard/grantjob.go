package shard

import (
	"context"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// grantJob changes the shard's grant in one budget record. It runs in its own
// goroutine and touches the replica on the control goroutine only.
type grantJob struct {
	r      *replica
	epoch  uint64
	budget ledger.BudgetKey
	need   ledger.Tokens
	// giveBack is set for a job that returns rights.
	giveBack func(ledger.Right) ledger.Tokens
	returned ledger.Tokens
	recalled bool
	// unmet is true when the budget has no room for need.
	unmet bool
}

// step is the next change of the budget record.
type step struct {
	data    []byte
	granted ledger.Tokens
	// held is closed when the backup holds what must precede the swap.
	held chan error
	// recall names the other shards that hold rights, when the budget has none
	// left for this one.
	recall []ledger.ShardID
	done   bool
	err    error
}

func (j *grantJob) run(ctx context.Context) error {
	key := j.budget.StoreKey()
	for range grantRounds {
		rec, err := j.read(ctx, key)
		if err != nil {
			return err
		}
		var s step
		if err := j.r.m.do(ctx, func() { s = j.plan(rec) }); err != nil {
			return err
		}
		if s.err != nil || s.done {
			return s.err
		}
		if len(s.recall) > 0 {
			if j.unmet = !j.recallFrom(ctx, s.recall); j.unmet {
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

func (j *grantJob) read(ctx context.Context, key string) (kvstore.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, j.r.m.opts.Timing.StoreTimeout)
	defer cancel()
	return j.r.m.opts.Store.Get(ctx, key)
}

// write swaps the record. It reports whether the job is done; a conflict or a lost
// answer is settled by the next read.
func (j *grantJob) write(ctx context.Context, key string, version uint64, s step) (bool, error) {
	if s.held != nil {
		select {
		case err := <-s.held:
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
	err = j.r.m.do(ctx, func() { done = j.mirror(s.granted, next) })
	return done, err
}

// current reports whether the replica still serves the epoch of the job. A newer
// epoch of the same owner is fine.
func (j *grantJob) current() bool { return j.r.role == roleOwner && j.r.epoch >= j.epoch }

// mirror takes over what a swap wrote. It reports whether the job has what it was
// started for; otherwise another round looks for more.
func (j *grantJob) mirror(granted ledger.Tokens, version uint64) bool {
	if !j.current() {
		return false
	}
	j.r.commit(j.r.state.PlanSyncGrant(j.budget, granted, version))
	right := j.r.state.Right(j.budget)
	return !right.Returning && right.Available() >= j.need
}

// plan decides on the next step from a read of the record.
func (j *grantJob) plan(rec kvstore.Record) step {
	r := j.r
	if !j.current() {
		return step{err: r.errNotOwner()}
	}
	if rec.Version < r.state.Right(j.budget).Version {
		return step{err: failure.New(failure.Unavailable, "check the platform store: it shows an older value than before",
			"budget %s is at version %d, version %d was seen before", j.budget, rec.Version, r.state.Right(j.budget).Version)}
	}
	budget, err := ledger.DecodeBudget(rec.Value)
	if err != nil {
		return step{err: err}
	}
	stranded := budget.Strand(r.id(), r.state.LostThrough())
	g := budget.GrantOf(r.id())
	if g.Epoch > r.state.Epoch() {
		return step{err: errFenced(r, r.state.Epoch())}
	}
	if !stranded {
		r.commit(r.state.PlanSyncGrant(j.budget, g.Granted, rec.Version))
	}
	d := r.demandOf(j.budget)
	d.unassigned, d.known = budget.Unassigned(), rec.Version > 0
	next := j.nextGrant(budget, g, rec.Version)
	if next.done && stranded {
		next = step{granted: g.Granted}
	}
	if next.done || len(next.recall) > 0 || next.err != nil {
		return next
	}
	return j.encode(budget, next)
}

func (j *grantJob) encode(budget *ledger.BudgetRecord, s step) step {
	r := j.r
	g := ledger.Grant{Shard: r.id(), Epoch: r.state.Epoch(), Granted: s.granted, Charged: r.state.Right(j.budget).Charged}
	if err := budget.SetGrant(g); err != nil {
		return step{err: err}
	}
	s.data, s.err = budget.Encode()
	return s
}

func (j *grantJob) nextGrant(budget *ledger.BudgetRecord, g ledger.Grant, version uint64) step {
	r := j.r
	right := r.state.Right(j.budget)
	if right.Returning {
		return j.returnStep(right.ReturnTo)
	}
	if j.giveBack != nil {
		return j.planReturn(right, version)
	}
	view := r.viewOf(j.budget)
	ask := r.m.opts.Policy().RequestAmount(view, j.need)
	if ask > 0 {
		r.m.metrics.granted.Add(float64(ask))
		return step{granted: g.Granted + ask}
	}
	j.unmet = j.need > max(view.Available, 0)
	if !j.unmet || j.recalled {
		return step{done: true}
	}
	j.recalled = true
	holders := otherHolders(budget, r.id())
	return step{recall: holders, done: len(holders) == 0}
}

func (j *grantJob) planReturn(right ledger.Right, version uint64) step {
	amount := min(j.giveBack(right), right.Available())
	if amount <= 0 || j.returned > 0 {
		return step{done: true}
	}
	mutation := j.r.state.PlanReturn(j.budget, right.Granted-amount, version)
	if mutation == nil {
		return step{done: true}
	}
	j.r.commit(mutation)
	j.returned = amount
	j.r.m.metrics.returned.Add(float64(amount))
	return j.returnStep(right.Granted - amount)
}

// returnStep writes a lower grant after the backup holds the lower usable amount.
func (j *grantJob) returnStep(to ledger.Tokens) step {
	held := make(chan error, 1)
	j.r.whenHeld(func(err error) { held <- err })
	return step{granted: to, held: held}
}

func otherHolders(budget *ledger.BudgetRecord, self ledger.ShardID) []ledger.ShardID {
	var out []ledger.ShardID
	for _, g := range budget.Grants {
		if g.Shard != self && g.Granted > g.Charged {
			out = append(out, g.Shard)
		}
	}
	return out
}

// recallFrom asks the owners in other domains to return idle rights. It reports
// whether anything was returned.
func (j *grantJob) recallFrom(ctx context.Context, shards []ledger.ShardID) bool {
	ask := j.r.m.opts.Recall
	if ask == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, recallTimeout)
	defer cancel()
	results := make(chan ledger.Tokens, len(shards))
	for _, s := range shards {
		go func() {
			n, _ := ask(ctx, s, j.budget) // an owner that is out of reach returns nothing
			results <- n
		}()
	}
	var total ledger.Tokens
	for range shards {
		total += <-results
	}
	return total > 0
}
