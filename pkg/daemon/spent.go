package daemon

import (
	"context"
	"slices"
	"sync"

	"github.com/clementinerack/clementinerack/pkg/kvstore"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/operator"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/shard"
)

// chargesRequest names budgets; at most operator.MaxBudgetsPerQuery are sent.
type chargesRequest struct {
	Budgets []ledger.BudgetKey `cbor:"1,keyasint"`
}

type chargesReply struct {
	Charges []shard.BudgetCharge `cbor:"1,keyasint"`
}

func (d *Daemon) handleCharges(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
	var req chargesRequest
	if err := peer.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	charges, err := d.manager.Charges(ctx, req.Budgets)
	return chargesReply{charges}, err
}

// Spent returns what the records show and what the owners of the shards know.
func (b *backend) Spent(ctx context.Context, sel operator.BudgetSelection) (operator.SpentReport, error) {
	report, err := b.StoreBackend.Spent(ctx, sel)
	if err != nil {
		return report, err
	}
	var req chargesRequest
	for _, s := range report.Budgets {
		req.Budgets = append(req.Budgets, s.Budget)
	}
	var charges []shard.BudgetCharge
	charges, report.Silent = b.d.charges(ctx, req)
	for i := range report.Budgets {
		addCurrent(&report.Budgets[i], charges)
	}
	return report, nil
}

// charges asks all instances and returns the ids of those that did not answer.
func (d *Daemon) charges(ctx context.Context, req chargesRequest) (all []shard.BudgetCharge, silent []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, t := range d.targets(ctx) {
		wg.Go(func() {
			reply, err := d.chargesOf(ctx, t, req)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, reply.Charges...)
			if err != nil {
				silent = append(silent, t.ID)
			}
		})
	}
	wg.Wait()
	slices.Sort(silent)
	return all, silent
}

func (d *Daemon) chargesOf(ctx context.Context, t kvstore.Instance, req chargesRequest) (reply chargesReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	if t.ID == d.self.Instance {
		reply.Charges, err = d.manager.Charges(ctx, req.Budgets)
		return reply, err
	}
	err = d.transport.Call(ctx, t.Address, methodCharges, req, &reply)
	return reply, err
}

// addCurrent adds up the charges of a budget. Of two owners of one shard, which
// a takeover can show for a moment, the one of the later epoch counts.
func addCurrent(s *operator.BudgetStatus, charges []shard.BudgetCharge) {
	if s.Fault != "" {
		return
	}
	byShard := map[ledger.ShardID]shard.BudgetCharge{}
	for _, c := range charges {
		if known, ok := byShard[c.Shard]; c.Budget == s.Budget && (!ok || known.Epoch < c.Epoch) {
			byShard[c.Shard] = c
		}
	}
	s.Now = &operator.CurrentUsage{Charged: s.StrandedCharged}
	for _, c := range byShard {
		s.Now.Charged += c.Charged
		s.Now.Reserved += c.Reserved
	}
	for _, g := range s.Grants {
		if _, heard := byShard[g.Shard]; !heard {
			s.Now.Charged += g.Charged
			s.Now.UnreportedShards = append(s.Now.UnreportedShards, g.Shard.String())
		}
	}
	slices.Sort(s.Now.UnreportedShards)
}
