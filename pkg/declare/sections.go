package declare

import (
	"slices"
	"strings"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// Defaults of optional keys. A stream of the longest patient histories ends
// within minutes; an endpoint that sends nothing for 30 s is taken for silent.
const (
	defaultShards      = "8"
	defaultTimeout     = "5m"
	defaultFirstByte   = "30s"
	defaultIdle        = "30s"
	defaultConcurrency = "64"
	defaultBudget      = "main"
)

func (p *parser) deployment(v *values) {
	p.out.Document.Domains = v.list("domains")
	p.out.Document.Shards = v.whole("shards", defaultShards)
}

func (p *parser) service(v *values) {
	p.out.Document.Services = append(p.out.Document.Services, config.Service{
		Name: v.names[0], Kind: config.ServiceKind(v.text("kind", "")),
		MaxOutputTokens:  v.tokens("max-output-tokens", "0"),
		Timeout:          v.duration("timeout", defaultTimeout),
		FirstByteTimeout: v.duration("first-byte", defaultFirstByte),
		IdleTimeout:      v.duration("idle", defaultIdle),
		Concurrency:      v.whole("concurrency", defaultConcurrency),
	})
}

// serviceOf returns the service of a section that belongs to it, or nil.
func (p *parser) serviceOf(v *values, key, name string) *config.Service {
	all := p.out.Document.Services
	i := slices.IndexFunc(all, func(s config.Service) bool { return s.Name == name })
	if i < 0 {
		v.fault(key, "declare it in a section [service "+name+"]", "the service %q is not declared", name)
		return nil
	}
	return &all[i]
}

func (p *parser) endpoint(v *values) {
	e := config.Endpoint{ID: v.names[0], Address: v.text("address", ""), Domain: v.text("domain", ""), ChecksFencing: v.boolean("checks-fencing")}
	if s := p.serviceOf(v, "service", v.text("service", "")); s != nil {
		s.Endpoints = append(s.Endpoints, e)
	}
}

func (p *parser) route(v *values) {
	r := config.Route{Method: v.text("method", ""), PathPrefix: v.text("path", ""), Price: v.tokens("price", ""), Repeatable: v.boolean("repeatable")}
	if s := p.serviceOf(v, "", v.names[0]); s != nil {
		s.Routes = append(s.Routes, r)
		p.sections[config.RouteObject(s.Name, r)] = v.section.Name
	}
}

func (p *parser) workspace(v *values) {
	p.out.Document.Workspaces = append(p.out.Document.Workspaces, config.Workspace{
		Name: v.names[0], KeyHash: v.text("key-sha256", ""), DefaultBudget: v.text("default-budget", defaultBudget),
		RatePerSecond: v.number("rate", "0"), Concurrency: v.whole("concurrency", "0"),
	})
}

func (p *parser) budget(v *values) {
	workspace, name, ok := strings.Cut(v.names[0], "/")
	if !ok {
		v.fault("", "write the title as [budget WORKSPACE/NAME]", "the title names no workspace")
		return
	}
	all := p.out.Document.Workspaces
	if !slices.ContainsFunc(all, func(w config.Workspace) bool { return w.Name == workspace }) {
		v.fault("", "declare it in a section [workspace "+workspace+"]", "the workspace %q is not declared", workspace)
		return
	}
	p.out.Budgets[workspace] = append(p.out.Budgets[workspace], name)
	if amount := v.tokens("opening", "0"); amount > 0 {
		p.out.Openings = append(p.out.Openings, Opening{ledger.BudgetKey{Workspace: workspace, Budget: name}, ledger.Tokens(amount)})
	}
}

func (p *parser) engine(v *values) {
	p.out.Document.Engines = append(p.out.Document.Engines, config.EngineState{
		Endpoint: v.names[0], Model: v.text("model", ""), Version: v.text("version", ""),
		Adapters: v.list("adapters"), Role: v.optional("role"),
	})
}

func (p *parser) objective(v *values) {
	p.out.Document.Objectives = append(p.out.Document.Objectives, config.Objective{
		Service: v.names[0], Target: v.number("target", ""),
		MaxFirstTokenDelay: v.duration("first-token", "0s"), MaxTokenInterval: v.duration("between-tokens", "0s"),
	})
}
