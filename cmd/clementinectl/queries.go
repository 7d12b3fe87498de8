package main

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/operator"
)

// selection are the arguments of queries of budgets.
type selection struct {
	Budget string `arg:"" optional:"" help:"workspace or workspace/budget; default all."`
	After  string `help:"Continue behind this workspace/budget."`
}

func (c selection) params() url.Values {
	workspace, budget, _ := strings.Cut(c.Budget, "/")
	return url.Values{"workspace": {workspace}, "budget": {budget}, "after": {c.After}}
}

type spentCmd struct{ selection }

// Run shows budgets.
func (c *spentCmd) Run(s *session) error {
	var r operator.SpentReport
	if err := s.client.Query(s.ctx, "spent", c.params(), &r); err != nil {
		return err
	}
	s.show(r, func(t table) {
		t.row("BUDGET", "PAID", "CHARGED NOW", "RESERVED", "CHARGED IN RECORD", "GRANTED", "STRANDED", "UNASSIGNED", "NOTE")
		for _, b := range r.Budgets {
			t.row(append([]any{b.Budget, b.Paid}, append(current(b), b.Charged, b.Granted, b.Stranded, b.Unassigned, note(b))...)...)
		}
		t.faults(r.Faults)
		t.silent(r.Silent)
		t.more(r.Next)
	})
	return nil
}

// current returns the columns of what the owners know.
func current(b operator.BudgetStatus) []any {
	switch {
	case b.Now == nil:
		return []any{"-", "-"}
	case len(b.Now.UnreportedShards) > 0:
		return []any{fmt.Sprintf("at least %d", b.Now.Charged), b.Now.Reserved}
	}
	return []any{b.Now.Charged, b.Now.Reserved}
}

func note(b operator.BudgetStatus) string {
	if b.Fault == "" && b.Now != nil && len(b.Now.UnreportedShards) > 0 {
		return "no owner of " + strings.Join(b.Now.UnreportedShards, ", ") + " answered"
	}
	return b.Fault
}

type strandedCmd struct{ selection }

// Run shows stranded grants.
func (c *strandedCmd) Run(s *session) error {
	var r operator.StrandedReport
	if err := s.client.Query(s.ctx, "stranded", c.params(), &r); err != nil {
		return err
	}
	s.show(r, func(t table) {
		t.row("BUDGET", "SHARD", "EPOCH", "AMOUNT", "CHARGED")
		for _, g := range r.Grants {
			t.row(g.Budget, g.Shard, g.Epoch, g.Amount, g.Charged)
		}
		t.faults(r.Faults)
		t.more(r.Next)
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
	s.show(r, func(t table) {
		t.row("ID", "DISPATCHER", "BUDGET", "SERVICE", "RESERVED", "AGE")
		for _, q := range r.Requests {
			t.row(q.ID, q.Dispatcher, q.Budget, q.Service, q.Reserved, q.Age.Round(time.Millisecond))
		}
		t.silent(r.Silent)
	})
	return nil
}

type drainingCmd struct{}

// Run lists what is leaving.
func (c *drainingCmd) Run(s *session) error {
	var r operator.DrainingReport
	if err := s.client.Query(s.ctx, "draining", nil, &r); err != nil {
		return err
	}
	s.show(r, func(t table) {
		t.row("ENDPOINT", "SERVICE", "REASONS", "RUNNING")
		for _, e := range r.Endpoints {
			t.row(e.Endpoint, e.Service, strings.Join(e.Reasons, ","), e.Running)
		}
		for _, id := range r.Instances {
			t.row("instance " + id)
		}
		t.silent(r.Silent)
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
	s.show(r, func(t table) {
		t.row("INSTANCE", "DOMAIN", "ADDRESS", "STATE", "GENERATION", "RUNNING")
		for _, i := range r.Instances {
			t.row(i.ID, i.Domain, i.Address, stateOf(i), i.Generation, i.Running)
		}
	})
	return nil
}

func stateOf(i operator.InstanceStatus) string {
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

// Run shows the use of the error budgets.
func (c *burnCmd) Run(s *session) error {
	var r operator.BurnReport
	if err := s.client.Query(s.ctx, "burn", nil, &r); err != nil {
		return err
	}
	if s.json {
		writeJSON(s.out, r)
		return nil
	}
	if err := r.WriteTable(s.out); err != nil {
		return err
	}
	s.show(r, func(t table) { t.silent(r.Silent) })
	return nil
}
