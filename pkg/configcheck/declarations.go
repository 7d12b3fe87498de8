package configcheck

import (
	"slices"
	"strings"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/declare"
)

// Declarations returns the findings of parsed declarations, errors first. declare.Parse has
// already refused what is invalid by itself.
func Declarations(d *declare.Declarations) []Finding {
	c := &declarationsCheck{declarations: d}
	for _, s := range d.Document.Services {
		c.checkService(s)
	}
	for _, w := range d.Document.Workspaces {
		c.checkWorkspace(w)
	}
	for _, o := range d.Document.Objectives {
		c.checkObjective(o)
	}
	c.checkDomains()
	slices.SortFunc(c.findings, compareFindings)
	return c.findings
}

// declarationsCheck collects the findings of one declarations file.
type declarationsCheck struct {
	declarations *declare.Declarations
	findings     []Finding
}

func (c *declarationsCheck) add(severity Severity, object, fault, remedy string) {
	c.findings = append(c.findings, Finding{severity, object, fault, remedy})
}

func (c *declarationsCheck) checkService(s config.Service) {
	object := "service " + s.Name
	if len(s.Endpoints) == 0 {
		c.add(Error, object, "it has no endpoint, so every request is refused", "declare an endpoint, or remove the service")
	}
	if s.Kind == config.AppService && len(s.Routes) == 0 {
		c.add(Error, object, "it has no route, so no request can match", "declare a route, or remove the service")
	}
	for _, r := range s.Routes {
		if strings.ContainsAny(r.PathPrefix, "?#") || strings.ContainsFunc(r.PathPrefix, isNotURLCharacter) {
			c.add(Error, config.RouteObject(s.Name, r), "it can never match: the path has characters that a path cannot contain", "correct the path")
		}
	}
}

func (c *declarationsCheck) checkWorkspace(w config.Workspace) {
	object := "workspace " + w.Name
	if budgets := c.declarations.Budgets[w.Name]; !slices.Contains(budgets, w.DefaultBudget) {
		c.add(Error, object, "its default budget "+w.DefaultBudget+" is not declared, so requests that name no budget are refused", "declare the budget, or name another one")
	}
}

func (c *declarationsCheck) checkObjective(o config.Objective) {
	s, ok := c.declarations.Document.Service(o.Service)
	if !ok {
		return // refused by declare.Parse
	}
	object := "objective " + o.Service
	if s.Kind != config.ModelService && (o.MaxFirstTokenDelay > 0 || o.MaxTokenInterval > 0) {
		c.add(Warning, object, "only streams of model services have tokens to measure", "remove first-token and between-tokens")
	}
	if o.MaxFirstTokenDelay > s.FirstByteTimeout {
		c.add(Error, object, "first-token is above first-byte of the service, after which the request has ended", "lower first-token, or raise first-byte")
	}
	if o.MaxTokenInterval > s.IdleTimeout {
		c.add(Error, object, "between-tokens is above idle of the service, after which the stream has ended", "lower between-tokens, or raise idle")
	}
}

// checkDomains reports failure domains without an endpoint.
func (c *declarationsCheck) checkDomains() {
	used := map[string]bool{}
	for _, s := range c.declarations.Document.Services {
		for _, e := range s.Endpoints {
			used[e.Domain] = true
		}
	}
	for _, domain := range c.declarations.Document.Domains {
		if !used[domain] && len(used) > 0 {
			c.add(Warning, "deployment", "failure domain "+domain+" has no endpoint", "declare one there, or remove the domain")
		}
	}
}
