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

// chargesRequest is the request of methodCharges. It names at most
// operator.MaxBudgetsPerQuery budgets.
type chargesRequest struct {
	Budgets []ledger.BudgetKey `cbor:"1,keyasint"`
}

// chargesReply has the charges of those of the budgets whose shards the instance owns.
type chargesReply struct {
	Charges []shard.BudgetCharge `cbor:"1,keyasint"`
}

// handleCharges implements methodCharges.
func (d *Daemon) handleCharges(ctx context.Context, _ peer.Identity, body []byte) (any, error) {
	var req chargesRequest
	if err := peer.Unmarshal(body, &req); err != nil {
		return nil, err
	}
	charges, err := d.shardManager.Charges(ctx, req.Budgets)
	return chargesReply{charges}, err
}

// Spent implements operator.Queries. To the spending in the budget records it adds the
// current spending that the shard owners report.
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
	charges, report.Silent = b.daemon.collectCharges(ctx, req)
	for i := range report.Budgets {
		setCurrentSpending(&report.Budgets[i], charges)
	}
	return report, nil
}

// collectCharges returns the charges that all known instances report, and the sorted IDs
// of the instances that did not answer.
func (d *Daemon) collectCharges(ctx context.Context, req chargesRequest) (all []shard.BudgetCharge, silent []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, instance := range d.knownInstances(ctx) {
		wg.Go(func() {
			reply, err := d.fetchCharges(ctx, instance, req)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, reply.Charges...)
			if err != nil {
				silent = append(silent, instance.ID)
			}
		})
	}
	wg.Wait()
	slices.Sort(silent)
	return all, silent
}

// fetchCharges returns the charges that one instance reports.
func (d *Daemon) fetchCharges(ctx context.Context, instance kvstore.Instance, req chargesRequest) (reply chargesReply, err error) {
	ctx, cancel := context.WithTimeout(ctx, fleetCallTimeout)
	defer cancel()
	if instance.ID == d.self.Instance {
		reply.Charges, err = d.shardManager.Charges(ctx, req.Budgets)
		return reply, err
	}
	err = d.transport.Call(ctx, instance.Address, methodCharges, req, &reply)
	return reply, err
}

// setCurrentSpending sets Now to the sum of the charges of the budget over its shards.
// During a takeover two owners can report the same shard; the one with the later epoch
// counts. For a shard without a report it uses the charge in the budget record.
func setCurrentSpending(spending *operator.BudgetStatus, charges []shard.BudgetCharge) {
	if spending.Fault != "" {
		return
	}
	byShard := map[ledger.ShardID]shard.BudgetCharge{}
	for _, c := range charges {
		if known, ok := byShard[c.Shard]; c.Budget == spending.Budget && (!ok || known.Epoch < c.Epoch) {
			byShard[c.Shard] = c
		}
	}
	spending.Now = &operator.CurrentUsage{Charged: spending.StrandedCharged}
	for _, c := range byShard {
		spending.Now.Charged += c.Charged
		spending.Now.Reserved += c.Reserved
	}
	for _, g := range spending.Grants {
		if _, answered := byShard[g.Shard]; !answered {
			spending.Now.Charged += g.Charged
			spending.Now.UnreportedShards = append(spending.Now.UnreportedShards, g.Shard.String())
		}
	}
	slices.Sort(spending.Now.UnreportedShards)
}
