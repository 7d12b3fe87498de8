package daemon

import (
	"net/url"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/operator"
	"github.com/clementinerack/clementinerack/pkg/shard"
	"github.com/clementinerack/clementinerack/standins/engine"
)

// Guards against a stop that interrupts a stream, loses a charge or leaks goroutines,
// and against operators' queries that omit running requests or spending.
func TestStopDuringStream(t *testing.T) {
	f := newFixture(t, engine.Options{ID: "llm-0", Model: "notas", Slots: 4, TokenInterval: 20 * time.Millisecond})
	first, second := f.start("entry-1", nil), f.start("entry-2", nil)
	first.applyAndWaitReady()
	second.waitReady()
	stream := startCall(func() (callerResponse, error) {
		return first.call("POST", "/v1/chat/completions", chatBody("long", 80))
	})
	query := func(name string, params url.Values, out any) bool {
		return second.operatorClient().Query(t.Context(), name, params, out) == nil
	}
	var running operator.RunningReport
	f.waitUntil("request is listed as running", func() bool { return query("running", nil, &running) && len(running.Requests) == 1 })
	if request := running.Requests[0]; request.Dispatcher != first.self.Incarnation || request.Age < 0 || request.Service != "llm" || request.Budget.String() != testBudget {
		t.Errorf("running: %+v", request)
	}
	var spent operator.SpentReport
	if !query("spent", url.Values{"workspace": {"clinic"}}, &spent) || len(spent.Budgets) != 1 || spent.Budgets[0].Now == nil || spent.Budgets[0].Now.Reserved == 0 {
		t.Fatalf("spent during the stream: %+v", spent)
	}
	var stopped operator.StopResult
	if err := second.operatorClient().Command(t.Context(), "stop", "stop-1", operator.StopRequest{Instance: "entry-1"}, &stopped); err != nil || stopped.Running != 1 {
		t.Errorf("stop: %+v, %v", stopped, err)
	}
	resp, err := stream()
	if err != nil || resp.status != 200 || !strings.HasSuffix(resp.body, "data: [DONE]\n\n") {
		t.Errorf("stream: %d, %v, ...%s", resp.status, err, resp.body[max(0, len(resp.body)-200):])
	}
	<-first.done
	if first.runErr != nil {
		t.Errorf("stopped with %v", first.runErr)
	}
	f.waitUntil("other instance reports the charge", func() bool {
		return query("spent", nil, &spent) && spent.Budgets[0].Now.Reserved == 0 && spent.Budgets[0].Now.Charged > 0 && len(spent.Budgets[0].Now.UnreportedShards) == 0
	})
	if resp, err := second.call("POST", "/v1/chat/completions", chatBody("short", 3)); err != nil || resp.status != 200 {
		t.Errorf("request to the other instance: %+v, %v", resp, err)
	}
}

// Guards against a total that omits a shard without listing it as unheard, or counts a
// shard twice during a takeover.
func TestCurrentSpending(t *testing.T) {
	budget := ledger.BudgetKey{Workspace: "clinic", Budget: "main"}
	first, second := ledger.ShardID{Domain: "ikeja", Shard: 1}, ledger.ShardID{Domain: "yaba", Shard: 1}
	charge := func(id ledger.ShardID, epoch uint64, charged ledger.Tokens) shard.BudgetCharge {
		return shard.BudgetCharge{Budget: budget, Shard: id, Epoch: epoch, Charged: charged, Reserved: 5}
	}
	otherBudget := charge(first, 9, 1000)
	otherBudget.Budget.Budget = "other"
	cases := []struct {
		desc    string
		charges []shard.BudgetCharge
		want    operator.CurrentUsage
	}{
		{"reports for both shards", []shard.BudgetCharge{charge(first, 2, 30), charge(second, 1, 50), otherBudget}, operator.CurrentUsage{Charged: 87, Reserved: 10}},
		{"reports of old and new owner", []shard.BudgetCharge{charge(first, 3, 35), charge(first, 2, 30), charge(second, 1, 50)}, operator.CurrentUsage{Charged: 92, Reserved: 10}},
		{"no report for one shard", []shard.BudgetCharge{charge(first, 2, 30)}, operator.CurrentUsage{Charged: 77, Reserved: 5, UnreportedShards: []string{"yaba/1"}}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			s := operator.BudgetStatus{Budget: budget, StrandedCharged: 7, Grants: []ledger.Grant{
				{Shard: first, Epoch: 2, Granted: 100, Charged: 20}, {Shard: second, Epoch: 1, Granted: 100, Charged: 40}}}
			setCurrentSpending(&s, c.charges)
			if !reflect.DeepEqual(*s.Now, c.want) {
				t.Errorf("got %+v, want %+v", *s.Now, c.want)
			}
		})
	}
}

// Guards against a stopped instance that leaks goroutines or connections. The endpoints
// and the platform continue to run, so they do not close the connections.
func TestStopLeaksNoGoroutines(t *testing.T) {
	f := newFixture(t, fastEngine("llm-0"))
	leaks := goleak.IgnoreCurrent()
	inst := f.start("entry-1", nil)
	inst.applyAndWaitReady()
	if resp, err := inst.call("POST", "/v1/chat/completions", chatBody("x", 3)); err != nil || resp.status != 200 {
		t.Errorf("request: %+v, %v", resp, err)
	}
	inst.stopAndWait()
	if inst.runErr != nil {
		t.Errorf("stopped with %v", inst.runErr)
	}
	f.client.CloseIdleConnections()
	if err := goleak.Find(leaks); err != nil {
		t.Error(err)
	}
}
