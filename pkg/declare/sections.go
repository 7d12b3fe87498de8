package declare

import (
	"slices"
	"strings"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// Defaults of optional keys. The stream for the longest patient histories ends
// within minutes. An endpoint that sends nothing for 30 s is considered silent.
const (
	defaultShards           = "8"
	defaultTimeout          = "5m"
	defaultFirstByteTimeout = "30s"
	defaultIdleTimeout      = "30s"
	defaultConcurrency      = "64"
	defaultBudget           = "main"
)

func (p *parser) readDeployment(r *sectionReader) {
	p.declarations.Document.Domains = r.list("domains")
	p.declarations.Document.Shards = r.integer("shards", defaultShards)
}

func (p *parser) readService(r *sectionReader) {
	p.declarations.Document.Services = append(p.declarations.Document.Services, config.Service{
		Name: r.names[0], Kind: config.ServiceKind(r.text("kind", "")),
		MaxOutputTokens:  r.tokens("max-output-tokens", "0"),
		Timeout:          r.duration("timeout", defaultTimeout),
		FirstByteTimeout: r.duration("first-byte", defaultFirstByteTimeout),
		IdleTimeout:      r.duration("idle", defaultIdleTimeout),
		Concurrency:      r.integer("concurrency", defaultConcurrency),
	})
}

// findService returns the service that a section names in the given key, or nil
// after it reported that the service is not declared. An empty key stands for the
// title.
func (p *parser) findService(r *sectionReader, key, name string) *config.Service {
	services := p.declarations.Document.Services
	i := slices.IndexFunc(services, func(s config.Service) bool { return s.Name == name })
	if i < 0 {
		r.addFault(key, "declare it in a section [service "+name+"]", "the service %q is not declared", name)
		return nil
	}
	return &services[i]
}

func (p *parser) readEndpoint(r *sectionReader) {
	endpoint := config.Endpoint{ID: r.names[0], Address: r.text("address", ""), Domain: r.text("domain", ""), ChecksFencing: r.boolean("checks-fencing")}
	if s := p.findService(r, "service", r.text("service", "")); s != nil {
		s.Endpoints = append(s.Endpoints, endpoint)
	}
}

func (p *parser) readRoute(r *sectionReader) {
	route := config.Route{Method: r.text("method", ""), PathPrefix: r.text("path", ""), Price: r.tokens("price", ""), Repeatable: r.boolean("repeatable")}
	if s := p.findService(r, "", r.names[0]); s != nil {
		s.Routes = append(s.Routes, route)
		p.sectionTitles[config.RouteObject(s.Name, route)] = r.section.Name
	}
}

func (p *parser) readWorkspace(r *sectionReader) {
	p.declarations.Document.Workspaces = append(p.declarations.Document.Workspaces, config.Workspace{
		Name: r.names[0], KeyHash: r.text("key-sha256", ""), DefaultBudget: r.text("default-budget", defaultBudget),
		RatePerSecond: r.number("rate", "0"), Concurrency: r.integer("concurrency", "0"),
	})
}

func (p *parser) readBudget(r *sectionReader) {
	workspace, name, ok := strings.Cut(r.names[0], "/")
	if !ok {
		r.addFault("", "write the title as [budget WORKSPACE/NAME]", "the title names no workspace")
		return
	}
	workspaces := p.declarations.Document.Workspaces
	if !slices.ContainsFunc(workspaces, func(w config.Workspace) bool { return w.Name == workspace }) {
		r.addFault("", "declare it in a section [workspace "+workspace+"]", "the workspace %q is not declared", workspace)
		return
	}
	p.declarations.Budgets[workspace] = append(p.declarations.Budgets[workspace], name)
	if amount := r.tokens("opening", "0"); amount > 0 {
		p.declarations.Openings = append(p.declarations.Openings, Opening{ledger.BudgetKey{Workspace: workspace, Budget: name}, ledger.Tokens(amount)})
	}
}

func (p *parser) readEngine(r *sectionReader) {
	p.declarations.Document.Engines = append(p.declarations.Document.Engines, config.EngineState{
		Endpoint: r.names[0], Model: r.text("model", ""), Version: r.text("version", ""),
		Adapters: r.list("adapters"), Role: r.optional("role"),
	})
}

func (p *parser) readObjective(r *sectionReader) {
	p.declarations.Document.Objectives = append(p.declarations.Document.Objectives, config.Objective{
		Service: r.names[0], Target: r.number("target", ""),
		MaxFirstTokenDelay: r.duration("first-token", "0s"), MaxTokenInterval: r.duration("between-tokens", "0s"),
	})
}
