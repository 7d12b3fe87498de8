package main

import (
	"fmt"
	"maps"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/declare"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/operator"
)

// pollInterval is the delay between two queries of apply --wait. It is short
// compared with the 5 s within which a change is in force.
const pollInterval = 500 * time.Millisecond

// fileArg is the argument of commands that read a file of declarations.
type fileArg struct {
	File string `arg:"" help:"File with declarations."`
}

// load reads the declarations and the current configuration, which is nil if there
// is none.
func (c fileArg) load(s *session) (*declare.Declarations, *config.Document, error) {
	f, err := os.Open(c.File)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = f.Close() }()
	desired, err := declare.Parse(c.File, f)
	if err != nil {
		return nil, nil, err
	}
	current := &config.Document{}
	switch err := s.client.Query(s.ctx, "config", nil, current); failure.KindOf(err) {
	case "":
		return desired, current, nil
	case failure.NotFound:
		return desired, nil, nil
	default:
		return nil, nil, err
	}
}

// planSteps compares the declarations with the current configuration and the
// budgets in the store.
func (c fileArg) planSteps(s *session) ([]declare.Step, error) {
	desired, current, err := c.load(s)
	if err != nil {
		return nil, err
	}
	budgets := declare.Budgets{}
	for after := ""; current != nil; {
		var page operator.BudgetsReport
		if err := s.client.Query(s.ctx, "budgets", url.Values{"after": {after}}, &page); err != nil {
			return nil, err
		}
		maps.Copy(budgets, page.Budgets)
		if after = page.Next; after == "" {
			break
		}
	}
	return declare.Plan(current, budgets, desired), nil
}

type planCmd struct{ fileArg }

// Run lists the steps of an apply.
func (c *planCmd) Run(s *session) error {
	steps, err := c.planSteps(s)
	if err == nil {
		s.printResult(steps, func(t table) { declare.WritePlan(t, steps) })
	}
	return err
}

type diffCmd struct{ fileArg }

// Run shows the values that an apply would change.
func (c *diffCmd) Run(s *session) error {
	steps, err := c.planSteps(s)
	if err == nil {
		s.printResult(steps, func(t table) { declare.WriteDiff(t, steps) })
	}
	return err
}

type applyCmd struct {
	fileArg
	Wait        bool          `help:"Wait until every instance confirms the generation. Exits with code 4 and lists the others if some do not."`
	WaitTimeout time.Duration `help:"Longest duration of the wait." default:"30s"`
}

// applyOutput is the JSON output of an apply.
type applyOutput struct {
	Command     string               `json:"command"`
	Result      operator.ApplyResult `json:"result"`
	Unconfirmed []string             `json:"unconfirmed"`
}

// Run applies declarations to the generation that was read. If another change
// comes in between, it fails with failure.Conflict.
func (c *applyCmd) Run(s *session) error {
	desired, current, err := c.load(s)
	if err != nil {
		return err
	}
	req := operator.ApplyRequest{Document: desired.Document, Budgets: desired.Budgets, Openings: desired.Openings}
	if current != nil {
		req.Expect = current.Generation
	}
	output := applyOutput{Command: s.commandID, Unconfirmed: []string{}}
	if err := s.sendCommand("apply", req, &output.Result); err != nil {
		return err
	}
	if c.Wait {
		output.Unconfirmed = s.waitForGeneration(output.Result.Generation, c.WaitTimeout)
	}
	s.printResult(output, func(t table) { output.writeTable(t) })
	return output.checkComplete()
}

// writeTable writes the output as text.
func (o applyOutput) writeTable(t table) {
	t.writeRow("generation", o.Result.Generation)
	for _, opening := range o.Result.Openings {
		switch {
		case opening.Fault != "":
			t.writeRow("opening", opening.Budget, "failed: "+opening.Fault)
		case opening.Changed:
			t.writeRow("opening", opening.Budget, opening.Amount)
		}
	}
	for _, fault := range o.Result.Faults {
		t.writeRow("budget index", "failed: "+fault)
	}
	for _, id := range o.Unconfirmed {
		t.writeRow("not confirmed", id)
	}
}

// checkComplete returns a partialError that lists what failed or was not
// confirmed, or nil.
func (o applyOutput) checkComplete() error {
	var missing []string
	for _, opening := range o.Result.Openings {
		if opening.Fault != "" {
			missing = append(missing, "opening of "+opening.Budget.String())
		}
	}
	for _, fault := range o.Result.Faults {
		missing = append(missing, "budget index ("+fault+")")
	}
	missing = append(missing, o.Unconfirmed...)
	if len(missing) == 0 {
		return nil
	}
	return partialError{fmt.Sprintf("generation %d is accepted, but not confirmed: %s", o.Result.Generation, strings.Join(missing, ", "))}
}

// waitForGeneration polls until every instance has the generation or the timeout
// ends. It returns the ids of the instances that do not have it.
func (s *session) waitForGeneration(generation uint64, timeout time.Duration) []string {
	deadline := time.Now().Add(timeout)
	for {
		missing := s.findUnconfirmed(generation)
		if len(missing) == 0 || !time.Now().Before(deadline) || s.ctx.Err() != nil {
			return missing
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}

// findUnconfirmed returns the ids of the instances that do not have the
// generation, or a message if the instances cannot be listed.
func (s *session) findUnconfirmed(generation uint64) []string {
	var r operator.InstancesReport
	if err := s.client.Query(s.ctx, "instances", nil, &r); err != nil {
		return []string{"all instances (" + err.Error() + ")"}
	}
	if len(r.Instances) == 0 {
		return []string{"all instances (none is listed)"}
	}
	missing := []string{}
	for _, i := range r.Instances {
		if !i.Answered || i.Generation < generation {
			missing = append(missing, i.ID)
		}
	}
	return missing
}
