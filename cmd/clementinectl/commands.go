package main

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/operator"
	"github.com/clementinerack/clementinerack/pkg/settings"
)

// outcome is the JSON form of the answer to a command.
type outcome struct {
	Command string `json:"command"`
	Result  any    `json:"result"`
}

// send announces the command id before the call, so that a call without an
// answer can be repeated.
func (s *session) send(name string, req, result any) error {
	if s.json {
		writeJSON(s.err, map[string]string{"command": s.command})
	} else {
		_, _ = fmt.Fprintf(s.err, "command id: %s\n", s.command)
	}
	return s.client.Command(s.ctx, name, s.command, req, result)
}

// budgetArg is an argument of the form workspace/budget.
type budgetArg ledger.BudgetKey

// UnmarshalText reads the argument.
func (b *budgetArg) UnmarshalText(text []byte) error {
	workspace, budget, _ := strings.Cut(string(text), "/")
	if workspace == "" || budget == "" {
		return fmt.Errorf("%q must be workspace/budget", text)
	}
	*b = budgetArg{Workspace: workspace, Budget: budget}
	return nil
}

// shardArg is an argument of the form domain/shard.
type shardArg ledger.ShardID

// UnmarshalText reads the argument.
func (a *shardArg) UnmarshalText(text []byte) error {
	domain, number, _ := strings.Cut(string(text), "/")
	shard, err := strconv.Atoi(number)
	if err != nil || domain == "" {
		return fmt.Errorf("%q must be domain/shard as shown by the query stranded", text)
	}
	*a = shardArg{Domain: domain, Shard: shard}
	return nil
}

type topupCmd struct {
	Budget budgetArg `arg:"" help:"workspace/budget."`
	Amount int64     `arg:"" help:"Tokens."`
}

// Run pays into a budget.
func (c *topupCmd) Run(s *session) error {
	return s.changeBudget("topup", operator.TopUpRequest{Budget: ledger.BudgetKey(c.Budget), Amount: ledger.Tokens(c.Amount)})
}

type reclaimCmd struct {
	Budget budgetArg `arg:"" help:"workspace/budget."`
	Shard  shardArg  `arg:"" help:"domain/shard of the stranded grant."`
	Epoch  uint64    `arg:"" help:"Epoch of the stranded grant."`
	Amount int64     `arg:"" help:"Tokens."`
}

// Run reclaims a stranded grant.
func (c *reclaimCmd) Run(s *session) error {
	return s.changeBudget("reclaim", operator.ReclaimRequest{
		Budget: ledger.BudgetKey(c.Budget), Shard: ledger.ShardID(c.Shard), Epoch: c.Epoch, Amount: ledger.Tokens(c.Amount),
	})
}

func (s *session) changeBudget(name string, req any) error {
	var r operator.BudgetResult
	if err := s.send(name, req, &r); err != nil {
		return err
	}
	s.show(outcome{s.command, r}, func(t table) {
		if !r.Changed {
			t.row("the command had been applied before")
		}
		t.row("BUDGET", "PAID", "UNASSIGNED")
		t.row(r.Budget.Budget, r.Budget.Paid, r.Budget.Unassigned)
	})
	return nil
}

// endpointArgs are the arguments of commands about an endpoint.
type endpointArgs struct {
	Endpoint string `arg:"" help:"Id of the endpoint."`
	Expect   uint64 `help:"Refuse unless the configuration has this generation; 0 means any."`
}

type retireCmd struct{ endpointArgs }

// Run retires an endpoint.
func (c *retireCmd) Run(s *session) error {
	return s.changeConfig("retire", operator.EndpointRequest{Endpoint: c.Endpoint, Expect: c.Expect})
}

type restoreCmd struct{ endpointArgs }

// Run restores an endpoint.
func (c *restoreCmd) Run(s *session) error {
	return s.changeConfig("restore", operator.EndpointRequest{Endpoint: c.Endpoint, Expect: c.Expect})
}

type reconfigureCmd struct {
	endpointArgs
	Model    *string `help:"Model to run."`
	Version  *string `help:"Version of the model."`
	Adapters *string `help:"Adapters, separated by commas; empty for none."`
	Role     *string `help:"Role of the engine."`
}

// Run changes the desired state of an engine.
func (c *reconfigureCmd) Run(s *session) error {
	req := operator.ReconfigureRequest{Endpoint: c.Endpoint, Model: c.Model, Version: c.Version, Role: c.Role, Expect: c.Expect}
	if c.Adapters != nil {
		list := settings.SplitList(*c.Adapters)
		req.Adapters = &list
	}
	return s.changeConfig("reconfigure", req)
}

func (s *session) changeConfig(name string, req any) error {
	var r operator.ConfigResult
	if err := s.send(name, req, &r); err != nil {
		return err
	}
	s.show(outcome{s.command, r}, func(t table) { t.row("generation", r.Generation) })
	return nil
}

type stopCmd struct {
	Instance string `arg:"" help:"Id of the instance."`
}

// Run stops an instance.
func (c *stopCmd) Run(s *session) error {
	var r operator.StopResult
	if err := s.send("stop", operator.StopRequest{Instance: c.Instance}, &r); err != nil {
		return err
	}
	s.show(outcome{s.command, r}, func(t table) {
		t.row(fmt.Sprintf("%s is stopping and finishes %d requests", c.Instance, r.Running))
	})
	return nil
}
