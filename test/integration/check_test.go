package integration

import (
	"slices"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/shard"
)

const (
	// spreadTime is how soon a change must be in force everywhere (I8) and a
	// drained endpoint without new work (I6).
	spreadTime = 5 * time.Second
	// expiryTime is longer than AbandonTimeout and the longest retention together:
	// after it the shards have billed what no instance reported.
	expiryTime = 6 * time.Minute
)

// watchGenerations verifies I8 until the end of the world.
func (w *world) watchGenerations() {
	for {
		time.Sleep(500 * time.Millisecond)
		w.mu.Lock()
		if w.over {
			w.mu.Unlock()
			return
		}
		now := time.Now()
		for _, n := range w.nodes {
			g := n.replica.Generation()
			if g < n.generation {
				w.t.Errorf("I8: %s went from generation %d back to %d", n.host(), n.generation, g)
			}
			n.generation = g
			for _, a := range w.accepted {
				if !n.dead && !n.paused && g < a.generation && now.After(n.bound(a.at)) {
					w.t.Errorf("I8: %s has generation %d, but %d was accepted %v ago", n.host(), g, a.generation, now.Sub(a.at))
				}
			}
		}
		w.mu.Unlock()
	}
}

// bound returns when a change must be in force at the instance. It is called
// with world.mu held.
func (n *node) bound(accepted time.Time) time.Time {
	if accepted.Before(n.deafUntil) {
		accepted = n.deafUntil
	}
	return accepted.Add(spreadTime)
}

// runs returns all executions.
func (w *world) runs() []*run {
	var out []*run
	for _, e := range w.endpoints {
		e.mu.Lock()
		out = append(out, e.runs...)
		e.mu.Unlock()
	}
	return out
}

// check verifies the invariants over everything that happened.
func (w *world) check(i7 bool) {
	bills := w.bills()
	if w.missing(bills) {
		time.Sleep(expiryTime)
		bills = w.bills()
	}
	w.checkSpend(bills)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkBills(bills)
	w.checkNotRun()
	w.checkBookings()
	w.checkDrained()
	if i7 {
		w.checkStopped()
	}
}

// checkSpend verifies I1 and that each top-up was applied once.
func (w *world) checkSpend(bills map[string][]ledger.BillLine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	cost, budgetOf := map[string]ledger.Tokens{}, map[string]string{}
	for _, r := range w.runs() {
		cost[r.id] = max(cost[r.id], r.cost(time.Now()))
		budgetOf[r.id] = ampleBudget
		if strings.Contains(r.tag, "spree") {
			budgetOf[r.id] = tightBudget
		}
	}
	for id, lines := range bills {
		for _, line := range lines {
			cost[id], budgetOf[id] = max(cost[id], line.Tokens), line.Budget.Budget
		}
	}
	for _, budget := range []string{ampleBudget, tightBudget} {
		key := ledger.BudgetKey{Workspace: workspace, Budget: budget}
		record, err := ledger.DecodeBudget(w.store.Record(key.StoreKey()).Value)
		if err != nil {
			w.t.Fatal(err)
		}
		if record.Unassigned() < 0 {
			w.t.Errorf("I1: the rights on %s exceed what was paid by %d tokens", budget, -record.Unassigned())
		}
		var spent, paid ledger.Tokens
		for id, tokens := range cost {
			if budgetOf[id] == budget {
				spent += tokens
			}
		}
		for command, amount := range w.topUps {
			if strings.HasPrefix(command, budget+" ") {
				paid += amount
			}
		}
		if spent > record.Paid {
			w.t.Errorf("I1: %d tokens of %s were spent, %d were paid", spent, budget, record.Paid)
		}
		if record.Paid != paid {
			w.t.Errorf("I1: the record of %s shows %d paid, operators paid %d", budget, record.Paid, paid)
		}
	}
}

// bills returns the bill lines of the store by request id.
func (w *world) bills() map[string][]ledger.BillLine {
	out := map[string][]ledger.BillLine{}
	for _, domain := range []string{domainA, domainB} {
		for epoch := range w.shardMap(domain).Shards[0].Epoch + 1 {
			for seq := uint64(0); ; seq++ {
				rec := w.store.Record(shard.BillKey(ledger.ShardID{Domain: domain}, epoch, seq))
				if rec.Version == 0 {
					break
				}
				lines, err := shard.DecodeBills(rec.Value)
				if err != nil {
					w.t.Fatal(err)
				}
				for _, line := range lines {
					out[line.ID] = append(out[line.ID], line)
				}
			}
		}
	}
	return out
}

// lost reports whether the shard of a request lost an epoch.
func (w *world) lost(id ledger.RequestID) bool {
	return id.Shard.Domain != "" && w.shardMap(id.Shard.Domain).Shards[0].LostThrough > 0
}

// answered returns the ids whose callers got a whole answer, except those of
// shards that lost an epoch.
func (w *world) answered() map[string]*call {
	out := map[string]*call{}
	for _, c := range w.calls {
		id, err := ledger.ParseRequestID(c.id)
		if c.clean && err != nil {
			w.t.Errorf("I2: call %d was answered under the id %q, which names no shard", c.number, c.id)
		}
		if c.clean && !w.lost(id) {
			out[c.id] = c
		}
	}
	return out
}

func (w *world) missing(bills map[string][]ledger.BillLine) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.answered() {
		if len(bills[id]) == 0 {
			return true
		}
	}
	return false
}

// checkBills verifies I2.
func (w *world) checkBills(bills map[string][]ledger.BillLine) {
	for id, lines := range bills {
		if len(lines) > 1 {
			w.t.Errorf("I2: request %s has %d bill lines", id, len(lines))
		}
	}
	for id, c := range w.answered() {
		if len(bills[id]) == 0 {
			w.t.Errorf("I2: call %d (%s) was answered, but %s has no bill line", c.number, c.tag, id)
		}
	}
}

// checkNotRun verifies I4: of a request that was told not-run, only a repeat that
// arrived after the refusal was recorded may run. The record itself is not
// visible here, so a repeat passes when it arrived after the refused call.
func (w *world) checkNotRun() {
	runs := map[string][]*run{}
	for _, r := range w.runs() {
		runs[r.tag] = append(runs[r.tag], r)
	}
	for _, c := range w.calls {
		for _, r := range runs[c.tag] {
			if c.notRun() && !w.laterRepeat(c, r) {
				w.t.Errorf("I4: call %d (%s) at %s was told not-run (%s), but the request ran at %s, %v after the call arrived",
					c.number, c.tag, c.node.host(), c.errorKind, r.client, r.at.Sub(c.arrived))
			}
		}
	}
}

// laterRepeat reports whether a call that arrived after c may have led to the
// run. Only apps see the number of the call.
func (w *world) laterRepeat(c *call, r *run) bool {
	return slices.ContainsFunc(w.calls, func(o *call) bool {
		return o.tag == c.tag && o.order > c.order && o.order < r.order &&
			o.node.id.Instance == r.client && (r.caller == 0 || r.caller == o.number)
	})
}

// checkBookings verifies I5.
func (w *world) checkBookings() {
	count := map[string]int{}
	for _, r := range w.runs() {
		if r.booking {
			if count[r.tag]++; count[r.tag] > 1 {
				w.t.Errorf("I5: booking %s ran %d times", r.tag, count[r.tag])
			}
		}
	}
}

// checkDrained verifies I6.
func (w *world) checkDrained() {
	for _, a := range w.accepted {
		for _, e := range w.endpoints {
			for _, r := range e.runs {
				if e.id == a.drained && r.at.After(w.nodes[r.client].bound(a.at)) {
					w.t.Errorf("I6: %s sent %s to %s %v after its drain", r.client, r.tag, e.id, r.at.Sub(a.at))
				}
			}
		}
	}
}

// checkStopped verifies I7: no request that an instance ran, or took, before its
// graceful stop was cut. A call that only followed the answer of instances that
// the fault killed was cut by their end.
func (w *world) checkStopped() {
	ranAt := map[string]map[string]bool{} // instances that ran a request, by tag
	for _, r := range w.runs() {
		if ranAt[r.tag] == nil {
			ranAt[r.tag] = map[string]bool{}
		}
		ranAt[r.tag][r.client] = true
	}
	for _, n := range w.all {
		for _, c := range w.calls {
			if n.stopping.IsZero() || c.arrived.IsZero() || !c.arrived.Before(n.stopping) || c.ended.Before(n.stopping) {
				continue
			}
			// Others read the answers of what the stopping instance runs.
			cut := c.errorKind == "truncated" && len(ranAt[c.tag]) == 1 && ranAt[c.tag][n.id.Instance]
			broken := c.node == n && c.broken != nil && !w.lostWithOthers(ranAt[c.tag], c.ended)
			if broken || cut {
				w.t.Errorf("I7: call %d (%s) at %s was cut by the graceful stop of %s: %v %s",
					c.number, c.tag, c.node.host(), n.host(), c.broken, c.errorKind)
			}
		}
	}
}

// lostWithOthers reports whether a request ran, and only at instances that were
// killed, without a graceful stop, before its call ended.
func (w *world) lostWithOthers(ranAt map[string]bool, ended time.Time) bool {
	for instance := range ranAt {
		if !slices.ContainsFunc(w.all, func(n *node) bool {
			return n.id.Instance == instance && !n.killed.IsZero() && n.killed.Before(ended)
		}) {
			return false
		}
	}
	return len(ranAt) > 0
}
