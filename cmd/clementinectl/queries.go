package main

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/operator"
)

// budgetArgs are the arguments of queries for budgets.
type budgetArgs struct {
	Budget string `arg:"" optional:"" help:"workspace or workspace/budget; all budgets by default."`
	After  string `help:"Continue after this workspace/budget."`
}

func (c budgetArgs) queryParams() url.Values {
	workspace, budget, _ := strings.Cut(c.Budget, "/")
	return url.Values{"workspace": {workspace}, "budget": {budget}, "after": {c.After}}
}

type spentCmd struct{ budgetArgs }

// Run shows the balances and charges of budgets.
func (c *spentCmd) Run(s *session) error {
	var r operator.SpentReport
	if err := s.client.Query(s.ctx, "spent", c.queryParams(), &r); err != nil {
		return err
	}
	s.printResult(r, func(t table) {
		t.writeRow("BUDGET", "PAID", "CHARGED NOW", "RESERVED", "CHARGED IN RECORD", "GRANTED", "STRANDED", "UNASSIGNED", "NOTE")
		for _, b := range r.Budgets {
			t.writeRow(append([]any{b.Budget, b.Paid}, append(currentColumns(b), b.Charged, b.Granted, b.Stranded, b.Unassigned, noteColumn(b))...)...)
		}
		t.writeFaults(r.Faults)
		t.writeSilent(r.Silent)
		t.writeNextPage(r.Next)
	})
	return nil
}

// currentColumns returns the columns CHARGED NOW and RESERVED.
func currentColumns(b operator.BudgetStatus) []any {
	switch {
	case b.Now == nil:
		return []any{"-", "-"}
	case len(b.Now.UnreportedShards) > 0:
		return []any{fmt.Sprintf("at least %d", b.Now.Charged), b.Now.Reserved}
	}
	return []any{b.Now.Charged, b.Now.Reserved}
}

// noteColumn returns the column NOTE.
func noteColumn(b operator.BudgetStatus) string {
	if b.Fault == "" && b.Now != nil && len(b.Now.UnreportedShards) > 0 {
		return "no owner of " + strings.Join(b.Now.UnreportedShards, ", ") + " answered"
	}
	return b.Fault
}

type strandedCmd struct{ budgetArgs }

// Run shows stranded grants.
func (c *strandedCmd) Run(s *session) error {
	var r operator.StrandedReport
	if err := s.client.Query(s.ctx, "stranded", c.queryParams(), &r); err != nil {
		return err
	}
	s.printResult(r, func(t table) {
		t.writeRow("BUDGET", "SHARD", "EPOCH", "AMOUNT", "CHARGED")
		for _, g := range r.Grants {
			t.writeRow(g.Budget, g.Shard, g.Epoch, g.Amount, g.Charged)
		}
		t.writeFaults(r.Faults)
		t.writeNextPage(r.Next)
	})
	return nil
}

type runningCmd struct{}

// Run lists requests in flight.
func (c *runningCmd) Run(s *session) error {
	var r operator.RunningReport
	if err := s.client.Query(s.ctx, "running", nil, &r); err != nil {
		return err
	}
	s.printResult(r, func(t table) {
		t.writeRow("ID", "DISPATCHER", "BUDGET", "SERVICE", "RESERVED", "AGE")
		for _, req := range r.Requests {
			t.writeRow(req.ID, req.Dispatcher, req.Budget, req.Service, req.Reserved, req.Age.Round(time.Millisecond))
		}
		t.writeSilent(r.Silent)
	})
	return nil
}

type drainingCmd struct{}

// Run lists the endpoints and instances that take no new work.
func (c *drainingCmd) Run(s *session) error {
	var r operator.DrainingReport
	if err := s.client.Query(s.ctx, "draining", nil, &r); err != nil {
		return err
	}
	s.printResult(r, func(t table) {
		t.writeRow("ENDPOINT", "SERVICE", "REASONS", "RUNNING")
		for _, e := range r.Endpoints {
			t.writeRow(e.Endpoint, e.Service, strings.Join(e.Reasons, ","), e.Running)
		}
		for _, id := range r.Instances {
			t.writeRow("instance " + id)
		}
		t.writeSilent(r.Silent)
	})
	return nil
}

type instancesCmd struct{}

// Run lists instances.
func (c *instancesCmd) Run(s *session) error {
	var r operator.InstancesReport
	if err := s.client.Query(s.ctx, "instances", nil, &r); err != nil {
		return err
	}
	s.printResult(r, func(t table) {
		t.writeRow("INSTANCE", "DOMAIN", "ADDRESS", "STATE", "GENERATION", "RUNNING")
		for _, i := range r.Instances {
			t.writeRow(i.ID, i.Domain, i.Address, instanceState(i), i.Generation, i.Running)
		}
	})
	return nil
}

// instanceState returns the column STATE.
func instanceState(i operator.InstanceStatus) string {
	switch {
	case !i.Answered:
		return "no answer"
	case i.Stopping:
		return "stopping"
	case !i.Ready:
		return "not ready"
	}
	return "ready"
}

type configCmd struct{}

// Run prints the configuration.
func (c *configCmd) Run(s *session) error {
	var d config.Document
	if err := s.client.Query(s.ctx, "config", nil, &d); err != nil {
		return err
	}
	writeJSON(s.out, d)
	return nil
}

type burnCmd struct{}

// Run shows the burn rates of the error budgets.
func (c *burnCmd) Run(s *session) error {
	var r operator.BurnReport
	if err := s.client.Query(s.ctx, "burn", nil, &r); err != nil {
		return err
	}
	if s.asJSON {
		writeJSON(s.out, r)
		return nil
	}
	if err := r.WriteTable(s.out); err != nil {
		return err
	}
	s.printResult(r, func(t table) { t.writeSilent(r.Silent) })
	return nil
}
