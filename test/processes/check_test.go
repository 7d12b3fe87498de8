//go:build processes

package processes

import (
	"context"
	"fmt"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/shard"
)

// checkInvariants verifies the invariants over all requests and answers. All callers
// must have stopped.
func (tc *testCluster) checkInvariants() {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	var spent int64
	counts := map[string]int{}
	for _, r := range tc.requests {
		n := tc.executionsOf(r)
		counts[string(r.kind)+" "+r.finalOutcome]++
		tc.checkFalseRefusals(r)
		switch {
		case r.finalOutcome == notRun && n > 0:
			tc.t.Errorf("I4: got the outcome not-run, but ran %d times: %s", n, r)
		case r.kind == booking && n > 1:
			tc.t.Errorf("I5: ran %d times: %s", n, r)
		case r.finalOutcome == answered && n == 0:
			tc.t.Errorf("I3: answered, but never ran: %s", r)
		}
		if r.finalOutcome == answered {
			spent += r.cost()
		}
	}
	tc.t.Logf("outcomes: %v", counts)
	b := tc.readBudget()
	if spent > int64(b.Paid) {
		tc.t.Errorf("I1: answered requests cost %d tokens, %d were paid", spent, b.Paid)
	}
}

// checkFalseRefusals verifies that a request was not refused as budget-exhausted,
// unless the case may use up the budget.
func (tc *testCluster) checkFalseRefusals(r *request) {
	if tc.exhaustsBudget {
		return
	}
	for _, att := range r.attempts {
		if att.answer.ProblemKind() == string(failure.BudgetExhausted) {
			tc.t.Errorf("false refusal: %s", r)
			return
		}
	}
}

// readBudget returns the budget's record after it verified that neither rights nor
// charges exceed what was paid (I1).
func (tc *testCluster) readBudget() *ledger.BudgetRecord {
	tc.t.Helper()
	data, err := tc.fleet.ReadRecord(tc.ctx, budgetKey.StoreKey())
	if err != nil {
		tc.t.Fatal(err)
	}
	b, err := ledger.DecodeBudget(data)
	if err != nil {
		tc.t.Fatal(err)
	}
	if b.Unassigned() < 0 || b.Charged() > b.Paid {
		tc.t.Errorf("I1: rights or charges exceed the paid tokens: %+v", b)
	}
	for _, g := range b.Grants {
		if g.Charged > g.Granted {
			tc.t.Errorf("I1: a shard charged more than it was granted: %+v", g)
		}
	}
	if int64(b.Paid) > tc.paid {
		tc.t.Errorf("I1: %d tokens paid in, the record says %d", tc.paid, b.Paid)
	}
	return b
}

// checkServing verifies that each running instance serves again after the fault.
func (tc *testCluster) checkServing() {
	tc.t.Helper()
	tc.topUp(50_000)
	for _, i := range tc.fleet.Instances {
		if i.HasEnded() {
			continue
		}
		tc.eventually("ready "+i.ID, 20*time.Second, func() error { return tc.fleet.WaitReady(tc.ctx, i) })
		for _, k := range []requestKind{stream, booking, lookup} {
			if r := tc.newRequest(k, i, "after the fault", 20); tc.send(r, i) != answered {
				tc.t.Errorf("%s does not serve after the fault: %s", i.ID, r)
			}
		}
	}
}

// checkBills stops the instances gracefully, so that the last owners write their
// bills, and verifies the bills (I1, I2).
func (tc *testCluster) checkBills() {
	for _, i := range tc.fleet.Instances {
		if i.HasEnded() {
			continue
		}
		ctx, cancel := context.WithTimeout(tc.ctx, 25*time.Second)
		if err := i.Terminate(ctx); err != nil {
			tc.t.Errorf("I7: %v", err)
		}
		cancel()
	}
	bills := map[string][]ledger.BillLine{}
	var total ledger.Tokens
	for _, domain := range []string{domainA, domainB} {
		for _, line := range tc.readBills(domain) {
			bills[line.ID] = append(bills[line.ID], line)
			total += line.Tokens
		}
	}
	if b := tc.readBudget(); total > b.Paid {
		tc.t.Errorf("I1: bills of %d tokens, %d paid", total, b.Paid)
	}
	tc.mu.Lock()
	defer tc.mu.Unlock()
	missing := 0
	for _, r := range tc.requests {
		lines := bills[r.id]
		switch {
		case len(lines) > 1:
			tc.t.Errorf("I2: billed %d times: %v: %s", len(lines), lines, r)
		case len(lines) == 1 && tc.executionsOf(r) == 0:
			tc.t.Errorf("I2: billed, but never ran: %s", r)
		case len(lines) == 1 && r.finalOutcome == answered && int64(lines[0].Tokens) != r.cost():
			tc.t.Errorf("I2: billed %d tokens, cost %d: %s", lines[0].Tokens, r.cost(), r)
		case len(lines) == 0 && r.finalOutcome == answered:
			missing++
			if !tc.mayLoseBills {
				tc.t.Errorf("I2: answered, but not billed: %s", r)
			}
		}
	}
	tc.t.Logf("bills: %d lines, %d tokens, %d answered requests without one", len(bills), total, missing)
}

// readBills returns the lines of all bill segments of a domain.
func (tc *testCluster) readBills(domain string) []ledger.BillLine {
	data, err := tc.fleet.ReadRecord(tc.ctx, shard.StoreKey(domain))
	if err != nil || data == nil {
		tc.t.Fatalf("read shard map of %s: %v", domain, err)
	}
	m, err := shard.DecodeMap(data)
	if err != nil {
		tc.t.Fatal(err)
	}
	var out []ledger.BillLine
	for n, e := range m.Shards {
		for epoch := uint64(0); epoch <= e.Epoch+1; epoch++ {
			for seq := uint64(0); ; seq++ {
				lines := tc.readBillSegment(shard.BillKey(ledger.ShardID{Domain: domain, Shard: n}, epoch, seq))
				if lines == nil && seq > 0 {
					break
				}
				out = append(out, lines...)
			}
		}
	}
	return out
}

// readBillSegment returns the lines of one bill segment, or nil if it is not stored.
func (tc *testCluster) readBillSegment(key string) []ledger.BillLine {
	data, err := tc.fleet.ReadRecord(tc.ctx, key)
	if err != nil {
		tc.t.Fatal(err)
	}
	if data == nil {
		return nil
	}
	lines, err := shard.DecodeBills(data)
	if err != nil {
		tc.t.Fatal(fmt.Errorf("decode bills %s: %w", key, err))
	}
	return lines
}
