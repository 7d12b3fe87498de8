package main

import (
	"bytes"
	"os"
	"strings"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/configcheck"
	"github.com/clementinerack/clementinerack/pkg/declare"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/platform"
)

type checkCmd struct {
	File    string `arg:"" help:"INI file with declarations, or JSON file with a configuration of the users' platform."`
	InForce string `help:"File of the same format with the version in force. The output lists what differs from it." placeholder:"FILE"`
	Strict  bool   `help:"Exit with code 1 for warnings, too."`
}

// checkOutput is the JSON output of a check.
type checkOutput struct {
	Findings []configcheck.Finding `json:"findings"`
	// Changes lead from the version in force to the file. They are absent without one.
	Changes []declare.Step `json:"changes,omitempty"`
}

// Run examines a file and prints the findings and the changes. It calls no instance.
func (c *checkCmd) Run(s *session) error {
	output, err := c.check()
	if err != nil {
		return err
	}
	s.printResult(output, func(t table) {
		for _, f := range output.Findings {
			t.writeRow(string(f.Severity), f.Object, f.Fault, f.Remedy)
		}
		if c.InForce != "" {
			declare.WriteDiff(t, output.Changes)
		}
	})
	if configcheck.HasErrors(output.Findings) || c.Strict && len(output.Findings) > 0 {
		return failure.New(failure.Invalid, "correct the findings above", "%s: %d findings", c.File, len(output.Findings))
	}
	return nil
}

// check reads the files and returns what there is to print.
func (c *checkCmd) check() (checkOutput, error) {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return checkOutput{}, err
	}
	var inForce []byte
	if c.InForce != "" {
		if inForce, err = os.ReadFile(c.InForce); err != nil {
			return checkOutput{}, err
		}
	}
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		return c.checkCatalog(data, inForce)
	}
	return c.checkDeclarations(data, inForce)
}

// checkCatalog checks a configuration of the users' platform. inForce may be nil.
func (c *checkCmd) checkCatalog(data, inForce []byte) (checkOutput, error) {
	document, err := platform.DecodeConfig(data)
	if err != nil {
		return checkOutput{}, err
	}
	var current *catalog.Document
	if inForce != nil {
		if current, err = platform.DecodeConfig(inForce); err != nil {
			return checkOutput{}, err
		}
	}
	output := checkOutput{Findings: configcheck.Catalog(document, current)}
	if current != nil {
		output.Changes = configcheck.CatalogChanges(current, document)
	}
	return output, nil
}

// checkDeclarations checks a file of declarations. inForce may be nil.
func (c *checkCmd) checkDeclarations(data, inForce []byte) (checkOutput, error) {
	declarations, err := declare.Parse(c.File, bytes.NewReader(data))
	if err != nil {
		return checkOutput{}, err
	}
	output := checkOutput{Findings: configcheck.Declarations(declarations)}
	if inForce != nil {
		current, err := declare.Parse(c.InForce, bytes.NewReader(inForce))
		if err != nil {
			return checkOutput{}, err
		}
		output.Changes = declare.Plan(current.Document, current.Budgets, declarations)
	}
	return output, nil
}

// isOffline reports whether a command calls no instance and needs neither token nor operator.
func isOffline(command string) bool { return strings.HasPrefix(command, "check ") }
