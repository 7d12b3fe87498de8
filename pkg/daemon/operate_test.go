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

// Guards against a stop that cuts a stream, loses a charge or leaves goroutines,
// and against operators' queries that hide what runs and what was spent.
func TestStopDuringStream(t *testing.T) {
	r := newRig(t, engine.Options{ID: "llm-0", Model: "notas", Slots: 4, TokenInterval: 20 * time.Millisecond})
	first, second := r.start("entry-1", nil), r.start("entry-2", nil)
	first.apply()
	second.waitReady()
	stream := background(func() (answer, error) { return first.call("POST", "/v1/chat/completions", chat("long", 80)) })
	query := func(name string, params url.Values, out any) bool {
		return second.operator().Query(t.Context(), name, params, out) == nil
	}
	var running operator.RunningReport
	r.until("the request is listed", func() bool { return query("running", nil, &running) && len(running.Requests) == 1 })
	if q := running.Requests[0]; q.Dispatcher != first.self.Incarnation || q.Age < 0 || q.Service != "llm" || q.Budget.String() != rigBudget {
		t.Errorf("running: %+v", q)
	}
	var spent operator.SpentReport
	if !query("spent", url.Values{"workspace": {"clinic"}}, &spent) || len(spent.Budgets) != 1 || spent.Budgets[0].Now == nil || spent.Budgets[0].Now.Reserved == 0 {
		t.Fatalf("spent during the stream: %+v", spent)
	}
	var stopped operator.StopResult
	if err := second.operator().Command(t.Context(), "stop", "stop-1", operator.StopRequest{Instance: "entry-1"}, &stopped); err != nil || stopped.Running != 1 {
		t.Errorf("stop: %+v, %v", stopped, err)
	}
	a, err := stream()
	if err != nil || a.status != 200 || !strings.HasSuffix(a.body, "data: [DONE]\n\n") {
		t.Errorf("stream: %d, %v, ...%s", a.status, err, a.body[max(0, len(a.body)-200):])
	}
	<-first.done
	if first.err != nil {
		t.Errorf("stopped with %v", first.err)
	}
	r.until("the other instance knows the charge", func() bool {
		return query("spent", nil, &spent) && spent.Budgets[0].Now.Reserved == 0 && spent.Budgets[0].Now.Charged > 0 && len(spent.Budgets[0].Now.UnreportedShards) == 0
	})
	if a, err := second.call("POST", "/v1/chat/completions", chat("short", 3)); err != nil || a.status != 200 {
		t.Errorf("the other instance: %+v, %v", a, err)
	}
}

// Guards against a total that leaves out a shard without saying so, or counts a
// shard twice during a takeover.
func TestCurrentSpending(t *testing.T) {
	budget := ledger.BudgetKey{Workspace: "clinic", Budget: "main"}
	first, second := ledger.ShardID{Domain: "ikeja", Shard: 1}, ledger.ShardID{Domain: "yaba", Shard: 1}
	heard := func(id ledger.ShardID, epoch uint64, charged ledger.Tokens) shard.BudgetCharge {
		return shard.BudgetCharge{Budget: budget, Shard: id, Epoch: epoch, Charged: charged, Reserved: 5}
	}
	other := heard(first, 9, 1000)
	other.Budget.Budget = "other"
	cases := []struct {
		desc    string
		charges []shard.BudgetCharge
		want    operator.CurrentUsage
	}{
		{"both shards", []shard.BudgetCharge{heard(first, 2, 30), heard(second, 1, 50), other}, operator.CurrentUsage{Charged: 87, Reserved: 10}},
		{"old and new owner", []shard.BudgetCharge{heard(first, 3, 35), heard(first, 2, 30), heard(second, 1, 50)}, operator.CurrentUsage{Charged: 92, Reserved: 10}},
		{"one shard silent", []shard.BudgetCharge{heard(first, 2, 30)}, operator.CurrentUsage{Charged: 77, Reserved: 5, UnreportedShards: []string{"yaba/1"}}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			s := operator.BudgetStatus{Budget: budget, StrandedCharged: 7, Grants: []ledger.Grant{
				{Shard: first, Epoch: 2, Granted: 100, Charged: 20}, {Shard: second, Epoch: 1, Granted: 100, Charged: 40}}}
			addCurrent(&s, c.charges)
			if !reflect.DeepEqual(*s.Now, c.want) {
				t.Errorf("got %+v, want %+v", *s.Now, c.want)
			}
		})
	}
}

// Guards against goroutines and connections that a stopped instance leaves at
// endpoints and a platform that go on.
func TestStopLeaksNoGoroutines(t *testing.T) {
	r := newRig(t, fastEngine("llm-0"))
	leaks := goleak.IgnoreCurrent()
	i := r.start("entry-1", nil)
	i.apply()
	if a, err := i.call("POST", "/v1/chat/completions", chat("x", 3)); err != nil || a.status != 200 {
		t.Errorf("%+v, %v", a, err)
	}
	i.stopNow()
	if i.err != nil {
		t.Errorf("stopped with %v", i.err)
	}
	r.client.CloseIdleConnections()
	if err := goleak.Find(leaks); err != nil {
		t.Error(err)
	}
}
