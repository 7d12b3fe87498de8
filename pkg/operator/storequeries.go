package operator

import (
	"context"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
)

// Spent reads the selected budgets.
func (b *StoreBackend) Spent(ctx context.Context, sel BudgetSelection) (SpentReport, error) {
	page, err := b.selected(ctx, sel)
	if err != nil {
		return SpentReport{}, err
	}
	records, faults, err := b.readAll(ctx, page.keys)
	if err != nil {
		return SpentReport{}, err
	}
	report := SpentReport{Budgets: make([]BudgetStatus, len(page.keys)), Faults: page.faults, Next: page.next}
	for i, k := range page.keys {
		if faults[i] != nil {
			report.Budgets[i] = BudgetStatus{Budget: k, Fault: faults[i].Error()}
			continue
		}
		report.Budgets[i] = spendingOf(k, records[i])
	}
	return report, nil
}

// Stranded reads the stranded grants of the selected budgets.
func (b *StoreBackend) Stranded(ctx context.Context, sel BudgetSelection) (StrandedReport, error) {
	page, err := b.selected(ctx, sel)
	if err != nil {
		return StrandedReport{}, err
	}
	records, faults, err := b.readAll(ctx, page.keys)
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

// Config returns the configuration in force here, or that of the store when the
// instance has none yet.
func (b *StoreBackend) Config(ctx context.Context) (*config.Document, error) {
	if d := b.replica.Current(); d != nil {
		return d, nil
	}
	return b.stored(ctx)
}

// stored returns the configuration of the store.
func (b *StoreBackend) stored(ctx context.Context) (*config.Document, error) {
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
