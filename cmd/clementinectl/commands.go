package main

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/operator"
	"github.com/clementinerack/clementinerack/pkg/settings"
)

// commandOutput is the JSON output of a command.
type commandOutput struct {
	Command string `json:"command"`
	Result  any    `json:"result"`
}

// sendCommand prints the command id before the call, so that the operator can
// repeat a call without an answer.
func (s *session) sendCommand(name string, req, result any) error {
	if s.asJSON {
		writeJSON(s.err, map[string]string{"command": s.commandID})
	} else {
		_, _ = fmt.Fprintf(s.err, "command id: %s\n", s.commandID)
	}
	return s.client.Command(s.ctx, name, s.commandID, req, result)
}

// budgetArg is an argument of the form workspace/budget.
type budgetArg ledger.BudgetKey

// UnmarshalText parses workspace/budget.
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

// UnmarshalText parses domain/shard.
func (a *shardArg) UnmarshalText(text []byte) error {
	domain, number, _ := strings.Cut(string(text), "/")
	shard, err := strconv.Atoi(number)
	if err != nil || domain == "" {
		return fmt.Errorf("%q must be domain/shard as the query stranded shows it", text)
	}
	*a = shardArg{Domain: domain, Shard: shard}
	return nil
}

type topupCmd struct {
	Budget budgetArg `arg:"" help:"workspace/budget."`
	Amount int64     `arg:"" help:"Tokens."`
}

// Run pays an amount into a budget.
func (c *topupCmd) Run(s *session) error {
	return s.changeBudget("topup", operator.TopUpRequest{Budget: ledger.BudgetKey(c.Budget), Amount: ledger.Tokens(c.Amount)})
}

type reclaimCmd struct {
	Budget budgetArg `arg:"" help:"workspace/budget."`
	Shard  shardArg  `arg:"" help:"Shard of the stranded grant as domain/shard."`
	Epoch  uint64    `arg:"" help:"Epoch of the stranded grant."`
	Amount int64     `arg:"" help:"Tokens."`
}

// Run reclaims a part of a stranded grant.
func (c *reclaimCmd) Run(s *session) error {
	return s.changeBudget("reclaim", operator.ReclaimRequest{
		Budget: ledger.BudgetKey(c.Budget), Shard: ledger.ShardID(c.Shard), Epoch: c.Epoch, Amount: ledger.Tokens(c.Amount),
	})
}

// changeBudget sends a command that changes a budget and prints the result.
func (s *session) changeBudget(name string, req any) error {
	var r operator.BudgetResult
	if err := s.sendCommand(name, req, &r); err != nil {
		return err
	}
	s.printResult(commandOutput{s.commandID, r}, func(t table) {
		if !r.Changed {
			t.writeRow("the command had been applied before")
		}
		t.writeRow("BUDGET", "PAID", "UNASSIGNED")
		t.writeRow(r.Budget.Budget, r.Budget.Paid, r.Budget.Unassigned)
	})
	return nil
}

// endpointArgs are the arguments of commands that change an endpoint.
type endpointArgs struct {
	Endpoint string `arg:"" help:"Id of the endpoint."`
	Expect   uint64 `help:"Fail unless the configuration has this generation; 0 accepts any."`
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

// changeConfig sends a command that changes the configuration and prints the
// result.
func (s *session) changeConfig(name string, req any) error {
	var r operator.ConfigResult
	if err := s.sendCommand(name, req, &r); err != nil {
		return err
	}
	s.printResult(commandOutput{s.commandID, r}, func(t table) { t.writeRow("generation", r.Generation) })
	return nil
}

type stopCmd struct {
	Instance string `arg:"" help:"Id of the instance."`
}

// Run stops an instance.
func (c *stopCmd) Run(s *session) error {
	var r operator.StopResult
	if err := s.sendCommand("stop", operator.StopRequest{Instance: c.Instance}, &r); err != nil {
		return err
	}
	s.printResult(commandOutput{s.commandID, r}, func(t table) {
		t.writeRow(fmt.Sprintf("%s is stopping and finishes %d requests", c.Instance, r.Running))
	})
	return nil
}
