package integration

import (
	"slices"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/shard"
)

const (
	// propagationTimeout bounds the time until a change is in force at all instances
	// (I8) and until a drained endpoint gets no new work (I6).
	propagationTimeout = 5 * time.Second
	// expiryDelay is longer than AbandonTimeout plus the longest retention: after it,
	// the shards have billed the requests that no instance settled.
	expiryDelay = 6 * time.Minute
)

// watchGenerations verifies I8 until the cluster is closed: no instance goes back to an
// earlier generation, and each accepted change is in force everywhere in time.
func (tc *testCluster) watchGenerations() {
	for {
		time.Sleep(500 * time.Millisecond)
		tc.mu.Lock()
		if tc.closed {
			tc.mu.Unlock()
			return
		}
		now := time.Now()
		for _, n := range tc.instances {
			g := n.replica.Generation()
			if g < n.generation {
				tc.t.Errorf("I8: %s went from generation %d back to %d", n.host(), n.generation, g)
			}
			n.generation = g
			for _, a := range tc.acceptedChanges {
				if !n.dead && !n.paused && g < a.generation && now.After(n.propagationDeadline(a.acceptedAt)) {
					tc.t.Errorf("I8: %s has generation %d, but %d was accepted %v ago", n.host(), g, a.generation, now.Sub(a.acceptedAt))
				}
			}
		}
		tc.mu.Unlock()
	}
}

// propagationDeadline returns the time by which a change must be in force at the
// instance. testCluster.mu must be held.
func (n *testInstance) propagationDeadline(accepted time.Time) time.Time {
	if accepted.Before(n.unreachableUntil) {
		accepted = n.unreachableUntil
	}
	return accepted.Add(propagationTimeout)
}

// executions returns the executions of all endpoints.
func (tc *testCluster) executions() []*execution {
	var out []*execution
	for _, e := range tc.endpoints {
		e.mu.Lock()
		out = append(out, e.executions...)
		e.mu.Unlock()
	}
	return out
}

// checkInvariants verifies I1, I2, I4, I5 and I6, and I7 if withI7 is true, over
// everything that was recorded. I3 is verified by call.checkAnswer, I8 by
// watchGenerations.
func (tc *testCluster) checkInvariants(withI7 bool) {
	bills := tc.billLines()
	if tc.hasMissingBills(bills) {
		time.Sleep(expiryDelay)
		bills = tc.billLines()
	}
	tc.checkSpending(bills)
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.checkBills(bills)
	tc.checkNotRun()
	tc.checkBookings()
	tc.checkDrained()
	if withI7 {
		tc.checkStopped()
	}
}

// checkSpending verifies I1 and that each top-up was applied exactly once.
func (tc *testCluster) checkSpending(bills map[string][]ledger.BillLine) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	cost, budgetOf := map[string]ledger.Tokens{}, map[string]string{}
	for _, r := range tc.executions() {
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
		record, err := ledger.DecodeBudget(tc.store.Record(key.StoreKey()).Value)
		if err != nil {
			tc.t.Fatal(err)
		}
		if record.Unassigned() < 0 {
			tc.t.Errorf("I1: the rights on %s exceed what was paid by %d tokens", budget, -record.Unassigned())
		}
		var spent, paid ledger.Tokens
		for id, tokens := range cost {
			if budgetOf[id] == budget {
				spent += tokens
			}
		}
		for command, amount := range tc.topUps {
			if strings.HasPrefix(command, budget+" ") {
				paid += amount
			}
		}
		if spent > record.Paid {
			tc.t.Errorf("I1: %d tokens of %s were spent, %d were paid", spent, budget, record.Paid)
		}
		if record.Paid != paid {
			tc.t.Errorf("I1: the record of %s shows %d paid, operators paid %d", budget, record.Paid, paid)
		}
	}
}

// billLines returns the stored bill lines by request id.
func (tc *testCluster) billLines() map[string][]ledger.BillLine {
	out := map[string][]ledger.BillLine{}
	for _, domain := range []string{domainA, domainB} {
		for epoch := range tc.shardMap(domain).Shards[0].Epoch + 1 {
			for seq := uint64(0); ; seq++ {
				rec := tc.store.Record(shard.BillKey(ledger.ShardID{Domain: domain}, epoch, seq))
				if rec.Version == 0 {
					break
				}
				lines, err := shard.DecodeBills(rec.Value)
				if err != nil {
					tc.t.Fatal(err)
				}
				for _, line := range lines {
					out[line.ID] = append(out[line.ID], line)
				}
			}
		}
	}
	return out
}

// hasLostEpoch reports whether the shard of a request lost an epoch.
func (tc *testCluster) hasLostEpoch(id ledger.RequestID) bool {
	return id.Shard.Domain != "" && tc.shardMap(id.Shard.Domain).Shards[0].LostThrough > 0
}

// answeredCalls returns, by request id, the calls that got a whole answer, without
// those of shards that lost an epoch.
func (tc *testCluster) answeredCalls() map[string]*call {
	out := map[string]*call{}
	for _, c := range tc.calls {
		id, err := ledger.ParseRequestID(c.id)
		if c.complete && err != nil {
			tc.t.Errorf("I2: call %d was answered under the invalid request id %q", c.number, c.id)
		}
		if c.complete && !tc.hasLostEpoch(id) {
			out[c.id] = c
		}
	}
	return out
}

// hasMissingBills reports whether an answered call has no bill line.
func (tc *testCluster) hasMissingBills(bills map[string][]ledger.BillLine) bool {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for id := range tc.answeredCalls() {
		if len(bills[id]) == 0 {
			return true
		}
	}
	return false
}

// checkBills verifies I2: each answered request has one bill line, no request has
// more.
func (tc *testCluster) checkBills(bills map[string][]ledger.BillLine) {
	for id, lines := range bills {
		if len(lines) > 1 {
			tc.t.Errorf("I2: request %s has %d bill lines", id, len(lines))
		}
	}
	for id, c := range tc.answeredCalls() {
		if len(bills[id]) == 0 {
			tc.t.Errorf("I2: call %d (%s) was answered, but %s has no bill line", c.number, c.tag, id)
		}
	}
}

// checkNotRun verifies I4: once a call got the outcome not-run, the request may run
// only for a repeat that arrived after the refusal was recorded. The time of the
// record is not visible here, so that any repeat that arrived after the refused call
// is accepted.
func (tc *testCluster) checkNotRun() {
	runs := map[string][]*execution{}
	for _, r := range tc.executions() {
		runs[r.tag] = append(runs[r.tag], r)
	}
	for _, c := range tc.calls {
		for _, r := range runs[c.tag] {
			if c.isNotRun() && !tc.isLaterRepeat(c, r) {
				tc.t.Errorf("I4: call %d (%s) at %s got the outcome not-run (%s), but the request ran at %s, %v after the call arrived",
					c.number, c.tag, c.instance.host(), c.errorKind, r.instanceName, r.startedAt.Sub(c.arrivedAt))
			}
		}
	}
}

// isLaterRepeat reports whether a call that arrived after c may have caused the
// execution r. Only apps see the number of the call.
func (tc *testCluster) isLaterRepeat(c *call, r *execution) bool {
	return slices.ContainsFunc(tc.calls, func(o *call) bool {
		return o.tag == c.tag && o.order > c.order && o.order < r.order &&
			o.instance.id.Instance == r.instanceName && (r.callNumber == 0 || r.callNumber == o.number)
	})
}

// checkBookings verifies I5: no booking runs twice.
func (tc *testCluster) checkBookings() {
	count := map[string]int{}
	for _, r := range tc.executions() {
		if r.booking {
			if count[r.tag]++; count[r.tag] > 1 {
				tc.t.Errorf("I5: booking %s ran %d times", r.tag, count[r.tag])
			}
		}
	}
}

// checkDrained verifies I6: a drained endpoint gets no requests after
// propagationTimeout.
func (tc *testCluster) checkDrained() {
	for _, a := range tc.acceptedChanges {
		for _, e := range tc.endpoints {
			for _, r := range e.executions {
				if e.id == a.drainedEndpoint && r.startedAt.After(tc.instances[r.instanceName].propagationDeadline(a.acceptedAt)) {
					tc.t.Errorf("I6: %s sent %s to %s %v after its drain", r.instanceName, r.tag, e.id, r.startedAt.Sub(a.acceptedAt))
				}
			}
		}
	}
}

// checkStopped verifies I7: a graceful stop cuts no request that the instance ran or
// accepted before it. A call is exempt if its request ran only at instances that the
// fault killed, because their end cut the answer that the call waited for.
func (tc *testCluster) checkStopped() {
	ranAt := map[string]map[string]bool{} // instances that ran a request, by tag
	for _, r := range tc.executions() {
		if ranAt[r.tag] == nil {
			ranAt[r.tag] = map[string]bool{}
		}
		ranAt[r.tag][r.instanceName] = true
	}
	for _, n := range tc.allInstances {
		for _, c := range tc.calls {
			if n.stopStartedAt.IsZero() || c.arrivedAt.IsZero() || !c.arrivedAt.Before(n.stopStartedAt) || c.endedAt.Before(n.stopStartedAt) {
				continue
			}
			// Callers at other instances may read the answer of a request that the
			// stopping instance runs.
			cut := c.errorKind == "truncated" && len(ranAt[c.tag]) == 1 && ranAt[c.tag][n.id.Instance]
			broken := c.instance == n && c.connErr != nil && !tc.ranOnlyAtKilled(ranAt[c.tag], c.endedAt)
			if broken || cut {
				tc.t.Errorf("I7: call %d (%s) at %s was cut by the graceful stop of %s: %v %s",
					c.number, c.tag, c.instance.host(), n.host(), c.connErr, c.errorKind)
			}
		}
	}
}

// ranOnlyAtKilled reports whether a request ran, and only at instances that were
// killed without a graceful stop before its call ended.
func (tc *testCluster) ranOnlyAtKilled(ranAt map[string]bool, ended time.Time) bool {
	for instance := range ranAt {
		if !slices.ContainsFunc(tc.allInstances, func(n *testInstance) bool {
			return n.id.Instance == instance && !n.killedAt.IsZero() && n.killedAt.Before(ended)
		}) {
			return false
		}
	}
	return len(ranAt) > 0
}
