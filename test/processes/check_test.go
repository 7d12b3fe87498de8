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

// check verifies the invariants over everything that callers asked and were
// told, after the last of them has ended.
func (w *world) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var spent int64
	counts := map[string]int{}
	for _, r := range w.requests {
		n := w.executions(r)
		counts[string(r.kind)+" "+r.final]++
		w.checkRefusals(r)
		switch {
		case r.final == notRun && n > 0:
			w.t.Errorf("I4: told not-run, but ran %d times: %s", n, r)
		case r.kind == booking && n > 1:
			w.t.Errorf("I5: ran %d times: %s", n, r)
		case r.final == answered && n == 0:
			w.t.Errorf("I3: answered, but never ran: %s", r)
		}
		if r.final == answered {
			spent += r.cost()
		}
	}
	w.t.Logf("outcomes: %v", counts)
	b := w.budget()
	if spent > int64(b.Paid) {
		w.t.Errorf("I1: answered requests cost %d tokens, %d were paid", spent, b.Paid)
	}
}

// checkRefusals reports a request that was refused for lack of tokens although
// the budget had room for all requests of the case.
func (w *world) checkRefusals(r *request) {
	if w.tight {
		return
	}
	for _, t := range r.told {
		if t.answer.ProblemKind() == string(failure.BudgetExhausted) {
			w.t.Errorf("false refusal: %s", r)
			return
		}
	}
}

// budget reads the budget's record and checks that rights and charges stay
// within what was paid.
func (w *world) budget() *ledger.BudgetRecord {
	w.t.Helper()
	data, err := w.f.ReadRecord(w.ctx, budget.StoreKey())
	if err != nil {
		w.t.Fatal(err)
	}
	b, err := ledger.DecodeBudget(data)
	if err != nil {
		w.t.Fatal(err)
	}
	if b.Unassigned() < 0 || b.Charged() > b.Paid {
		w.t.Errorf("I1: rights or charges exceed what was paid: %+v", b)
	}
	for _, g := range b.Grants {
		if g.Charged > g.Granted {
			w.t.Errorf("I1: a shard charged more than it was granted: %+v", g)
		}
	}
	if int64(b.Paid) > w.paid {
		w.t.Errorf("I1: %d tokens paid in, the record says %d", w.paid, b.Paid)
	}
	return b
}

// checkServing verifies that each instance serves again after the fault.
func (w *world) checkServing() {
	w.t.Helper()
	w.topUp(50_000)
	for _, i := range w.f.Instances {
		if i.Ended() {
			continue
		}
		w.eventually("ready "+i.ID, 20*time.Second, func() error { return w.f.WaitReady(w.ctx, i) })
		for _, k := range []kind{stream, booking, lookup} {
			if r := w.newRequest(k, i, "after the fault", 20); w.send(r, i) != answered {
				w.t.Errorf("%s does not serve after the fault: %s", i.ID, r)
			}
		}
	}
}

// checkBills stops the fleet gracefully, so that the last owners write their
// bills, and verifies them.
func (w *world) checkBills() {
	for _, i := range w.f.Instances {
		if i.Ended() {
			continue
		}
		ctx, cancel := context.WithTimeout(w.ctx, 25*time.Second)
		if err := i.Terminate(ctx); err != nil {
			w.t.Errorf("I7: %v", err)
		}
		cancel()
	}
	bills := map[string][]ledger.BillLine{}
	var total ledger.Tokens
	for _, domain := range []string{domainA, domainB} {
		for _, line := range w.billsOf(domain) {
			bills[line.ID] = append(bills[line.ID], line)
			total += line.Tokens
		}
	}
	if b := w.budget(); total > b.Paid {
		w.t.Errorf("I1: bills of %d tokens, %d paid", total, b.Paid)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	missing := 0
	for _, r := range w.requests {
		lines := bills[r.id]
		switch {
		case len(lines) > 1:
			w.t.Errorf("I2: billed %d times: %v: %s", len(lines), lines, r)
		case len(lines) == 1 && w.executions(r) == 0:
			w.t.Errorf("I2: billed, but never ran: %s", r)
		case len(lines) == 1 && r.final == answered && int64(lines[0].Tokens) != r.cost():
			w.t.Errorf("I2: billed %d tokens, cost %d: %s", lines[0].Tokens, r.cost(), r)
		case len(lines) == 0 && r.final == answered:
			missing++
			if !w.mayLoseBills {
				w.t.Errorf("I2: answered, but not billed: %s", r)
			}
		}
	}
	w.t.Logf("bills: %d lines, %d tokens, %d answered requests without one", len(bills), total, missing)
}

// billsOf reads all bill segments of a domain.
func (w *world) billsOf(domain string) []ledger.BillLine {
	data, err := w.f.ReadRecord(w.ctx, shard.StoreKey(domain))
	if err != nil || data == nil {
		w.t.Fatalf("shard map of %s: %v", domain, err)
	}
	m, err := shard.DecodeMap(data)
	if err != nil {
		w.t.Fatal(err)
	}
	var out []ledger.BillLine
	for n, e := range m.Shards {
		for epoch := uint64(0); epoch <= e.Epoch+1; epoch++ {
			for seq := uint64(0); ; seq++ {
				lines := w.segment(shard.BillKey(ledger.ShardID{Domain: domain, Shard: n}, epoch, seq))
				if lines == nil && seq > 0 {
					break
				}
				out = append(out, lines...)
			}
		}
	}
	return out
}

func (w *world) segment(key string) []ledger.BillLine {
	data, err := w.f.ReadRecord(w.ctx, key)
	if err != nil {
		w.t.Fatal(err)
	}
	if data == nil {
		return nil
	}
	lines, err := shard.DecodeBills(data)
	if err != nil {
		w.t.Fatal(fmt.Errorf("%s: %w", key, err))
	}
	return lines
}
