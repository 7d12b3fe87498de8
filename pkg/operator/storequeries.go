package operator

import (
	"context"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
)

// Spent returns the status of the selected budgets as their records show it,
// without BudgetStatus.Now. It fails with failure.NotFound for a workspace or
// budget that is not declared, and with failure.Unavailable if the store cannot be
// read.
func (b *StoreBackend) Spent(ctx context.Context, sel BudgetSelection) (SpentReport, error) {
	page, err := b.selectBudgets(ctx, sel)
	if err != nil {
		return SpentReport{}, err
	}
	records, faults, err := b.readBudgets(ctx, page.keys)
	if err != nil {
		return SpentReport{}, err
	}
	report := SpentReport{Budgets: make([]BudgetStatus, len(page.keys)), Faults: page.faults, Next: page.next}
	for i, k := range page.keys {
		if faults[i] != nil {
			report.Budgets[i] = BudgetStatus{Budget: k, Fault: faults[i].Error()}
			continue
		}
		report.Budgets[i] = newBudgetStatus(k, records[i])
	}
	return report, nil
}

// Stranded returns the stranded grants of the selected budgets. It fails as Spent
// does.
func (b *StoreBackend) Stranded(ctx context.Context, sel BudgetSelection) (StrandedReport, error) {
	page, err := b.selectBudgets(ctx, sel)
	if err != nil {
		return StrandedReport{}, err
	}
	records, faults, err := b.readBudgets(ctx, page.keys)
	if err != nil {
		return StrandedReport{}, err
	}
	report := StrandedReport{Grants: []StrandedGrant{}, Faults: page.faults, Next: page.next}
	for i, k := range page.keys {
		if faults[i] != nil {
			report.Faults = append(report.Faults, k.String()+": "+faults[i].Error())
			continue
		}
		for _, s := range records[i].Stranded {
			report.Grants = append(report.Grants, StrandedGrant{k, s})
		}
	}
	return report, nil
}

// Config returns the current configuration of this instance. An instance that has
// none yet reads it from the store.
func (b *StoreBackend) Config(ctx context.Context) (*config.Document, error) {
	if d := b.replica.Current(); d != nil {
		return d, nil
	}
	return b.readConfig(ctx)
}

// readConfig reads the configuration from the store.
func (b *StoreBackend) readConfig(ctx context.Context) (*config.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	rec, err := b.store.Get(ctx, config.StoreKey)
	if err != nil {
		return nil, failure.New(failure.Unavailable, "repeat the call, or send it to another instance", "the store could not be read: %v", err)
	}
	if rec.Version == 0 {
		return nil, failure.New(failure.NotFound, "apply declarations first", "there is no configuration yet")
	}
	return config.Decode(rec.Value)
}
