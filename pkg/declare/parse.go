package declare

import (
	"io"
	"slices"
	"strings"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
	"github.com/clementinerack/clementinerack/pkg/settings"
)

// OpeningCommand is the command id of opening amounts, so that each budget gets
// its own once.
const OpeningCommand = "opening"

// Opening is the amount that a budget starts with.
type Opening struct {
	Budget ledger.BudgetKey `json:"budget"`
	Amount ledger.Tokens    `json:"amount"`
}

// Budgets are sorted names of budgets by workspace.
type Budgets map[string][]string

// Declarations are the content of a file.
type Declarations struct {
	// Document lacks generation, drained endpoints and applied commands.
	Document *config.Document `json:"document"`
	// Budgets are the names of the budgets by workspace.
	Budgets  Budgets   `json:"budgets"`
	Openings []Opening `json:"openings"`
}

// Parse reads declarations. It reports all faults in one failure.Invalid error;
// file names the source in messages.
func Parse(file string, r io.Reader) (*Declarations, error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, failure.New(failure.Invalid, "give a readable file", "%s cannot be read: %v", file, err)
	}
	p := &parser{
		out:      &Declarations{Document: &config.Document{Format: config.FormatVersion}, Budgets: Budgets{}},
		sections: map[string]string{},
	}
	p.sort(settings.ReadSections(text, &p.faults))
	for _, kind := range sectionKinds {
		for _, sec := range p.byKind[kind.name] {
			kind.read(p, p.values(sec, kind))
		}
	}
	p.checkDocument()
	p.checkBudgets()
	return p.out, p.faults.Err(file)
}

// sectionKind describes a kind of section. Kinds are read in this order, because
// later ones refer to earlier ones.
type sectionKind struct {
	name  string
	names int // words after the kind in the title of the section
	keys  []string
	read  func(*parser, *values)
}

var sectionKinds = []sectionKind{
	{"deployment", 0, []string{"domains", "shards"}, (*parser).deployment},
	{"service", 1, []string{"kind", "max-output-tokens", "timeout", "first-byte", "idle", "concurrency"}, (*parser).service},
	{"endpoint", 1, []string{"service", "address", "domain", "checks-fencing"}, (*parser).endpoint},
	{"route", 2, []string{"method", "path", "price", "repeatable"}, (*parser).route},
	{"workspace", 1, []string{"key-sha256", "default-budget", "rate", "concurrency"}, (*parser).workspace},
	{"budget", 1, []string{"opening"}, (*parser).budget},
	{"engine", 1, []string{"model", "version", "adapters", "role"}, (*parser).engine},
	{"objective", 1, []string{"target", "first-token", "between-tokens"}, (*parser).objective},
}

// Keys returns all keys of a file by kind of section.
func Keys() map[string][]string {
	out := map[string][]string{}
	for _, k := range sectionKinds {
		out[k.name] = slices.Clone(k.keys)
	}
	return out
}

type parser struct {
	out      *Declarations
	faults   settings.Faults
	byKind   map[string][]settings.Section
	sections map[string]string // section of an object whose title differs from it
}

// sort groups the sections by kind and reports those with a bad title.
func (p *parser) sort(all []settings.Section) {
	p.byKind = map[string][]settings.Section{}
	for _, sec := range all {
		words := strings.Fields(sec.Name)
		i := slices.IndexFunc(sectionKinds, func(k sectionKind) bool { return len(words) > 0 && k.name == words[0] })
		switch {
		case i < 0:
			p.faults.Add(sec.Name, "", "begin the title with one of "+kindNames(), "the kind of section is unknown")
		case len(words)-1 != sectionKinds[i].names:
			p.faults.Add(sec.Name, "", "write the title as in the manual, for example [route rounds-app booking]",
				"the title has %d names, a %s section has %d", len(words)-1, words[0], sectionKinds[i].names)
		default:
			p.byKind[words[0]] = append(p.byKind[words[0]], sec)
		}
	}
}

func kindNames() string {
	names := make([]string, len(sectionKinds))
	for i, k := range sectionKinds {
		names[i] = k.name
	}
	return strings.Join(names, ", ")
}

func (p *parser) values(sec settings.Section, kind sectionKind) *values {
	for _, key := range sec.Keys {
		if !slices.Contains(kind.keys, key) {
			p.faults.Add(sec.Name, key, "remove it, or correct its name to one of "+strings.Join(kind.keys, ", "), "the key is unknown")
		}
	}
	return &values{section: sec, names: strings.Fields(sec.Name)[1:], faults: &p.faults}
}

// checkDocument adds the faults of the document to those of the file, unless the
// same key has one already.
func (p *parser) checkDocument() {
	for _, f := range config.Faults(p.out.Document) {
		section := f.Object
		if title, ok := p.sections[f.Object]; ok {
			section = title
		}
		known := slices.ContainsFunc(p.faults, func(o settings.Fault) bool { return o.Section == section && o.Key == f.Key })
		if !known {
			p.faults.Add(section, f.Key, remedyFor(f), "%s", f.Reason)
		}
	}
}

// checkBudgets sorts the names of budgets and reports bad ones.
func (p *parser) checkBudgets() {
	for _, w := range p.out.Document.Workspaces {
		names := p.out.Budgets[w.Name]
		slices.Sort(names)
		for i, name := range names {
			section := "budget " + w.Name + "/" + name
			if !config.ValidName(name) {
				p.faults.Add(section, "", "rename the section", "the name must be 1 to 63 letters, digits, dots, underscores or hyphens")
			}
			if i > 0 && names[i-1] == name {
				p.faults.Add(section, "", "remove one of the sections", "it is listed twice")
			}
		}
		if w.DefaultBudget != "" && !slices.Contains(names, w.DefaultBudget) {
			p.faults.Add("workspace "+w.Name, "default-budget", "declare the budget in a section [budget WORKSPACE/NAME]",
				"%q is not among the budgets of the workspace", w.DefaultBudget)
		}
	}
}

func remedyFor(f config.Fault) string {
	switch f.Key {
	case "":
		return "rename or remove the section, or declare what it refers to"
	case "domain":
		return "add the failure domain to domains of [deployment]"
	}
	return "correct the value"
}
