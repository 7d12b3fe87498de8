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

// pollInterval is the pause between queries of apply --wait: a change is in
// force within 5 s.
const pollInterval = 500 * time.Millisecond

// fileArg names a file of declarations.
type fileArg struct {
	File string `arg:"" help:"File with declarations."`
}

// load reads the declarations and the current configuration, which is nil when
// there is none.
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

// steps compares the declarations of the file with the configuration and the
// budgets of the store.
func (c fileArg) steps(s *session) ([]declare.Step, error) {
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

// Run lists steps.
func (c *planCmd) Run(s *session) error {
	steps, err := c.steps(s)
	if err == nil {
		s.show(steps, func(t table) { declare.WritePlan(t, steps) })
	}
	return err
}

type diffCmd struct{ fileArg }

// Run shows changed values.
func (c *diffCmd) Run(s *session) error {
	steps, err := c.steps(s)
	if err == nil {
		s.show(steps, func(t table) { declare.WriteDiff(t, steps) })
	}
	return err
}

type applyCmd struct {
	fileArg
	Wait        bool          `help:"Wait until every instance confirmed the generation; exit code 4 names those that did not."`
	WaitTimeout time.Duration `help:"Longest wait." default:"30s"`
}

// applyOutcome is the JSON form of the answer to an apply.
type applyOutcome struct {
	Command     string               `json:"command"`
	Result      operator.ApplyResult `json:"result"`
	Unconfirmed []string             `json:"unconfirmed"`
}

// Run applies declarations on the generation that was read, so that a change by
// someone else in between is a conflict.
func (c *applyCmd) Run(s *session) error {
	desired, current, err := c.load(s)
	if err != nil {
		return err
	}
	req := operator.ApplyRequest{Document: desired.Document, Budgets: desired.Budgets, Openings: desired.Openings}
	if current != nil {
		req.Expect = current.Generation
	}
	out := applyOutcome{Command: s.command, Unconfirmed: []string{}}
	if err := s.send("apply", req, &out.Result); err != nil {
		return err
	}
	if c.Wait {
		out.Unconfirmed = s.confirm(out.Result.Generation, c.WaitTimeout)
	}
	s.show(out, func(t table) { out.write(t) })
	return out.err()
}

func (o applyOutcome) write(t table) {
	t.row("generation", o.Result.Generation)
	for _, open := range o.Result.Openings {
		switch {
		case open.Fault != "":
			t.row("opening", open.Budget, "failed: "+open.Fault)
		case open.Changed:
			t.row("opening", open.Budget, open.Amount)
		}
	}
	for _, f := range o.Result.Faults {
		t.row("budget index", "failed: "+f)
	}
	for _, id := range o.Unconfirmed {
		t.row("not confirmed", id)
	}
}

func (o applyOutcome) err() error {
	var missing []string
	for _, open := range o.Result.Openings {
		if open.Fault != "" {
			missing = append(missing, "opening of "+open.Budget.String())
		}
	}
	for _, f := range o.Result.Faults {
		missing = append(missing, "budget index ("+f+")")
	}
	missing = append(missing, o.Unconfirmed...)
	if len(missing) == 0 {
		return nil
	}
	return partlyError{fmt.Sprintf("generation %d is accepted, but not confirmed: %s", o.Result.Generation, strings.Join(missing, ", "))}
}

// confirm polls until every instance has the generation and returns the ids of
// those that do not have it at the end.
func (s *session) confirm(generation uint64, limit time.Duration) []string {
	end := time.Now().Add(limit)
	for {
		missing := s.unconfirmed(generation)
		if len(missing) == 0 || !time.Now().Before(end) || s.ctx.Err() != nil {
			return missing
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}

func (s *session) unconfirmed(generation uint64) []string {
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
