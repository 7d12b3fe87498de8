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

// OpeningCommand is the command id under which every opening amount is paid.
// Command ids apply per budget, so each budget gets one opening amount.
const OpeningCommand = "opening"

// Opening is the amount that a new budget starts with.
type Opening struct {
	Budget ledger.BudgetKey `json:"budget"`
	Amount ledger.Tokens    `json:"amount"`
}

// Budgets holds the sorted names of budgets by workspace.
type Budgets map[string][]string

// Declarations is the content of a declarations file.
type Declarations struct {
	// Document is the declared configuration. Generation, drained endpoints and
	// applied commands are not set.
	Document *config.Document `json:"document"`
	// Budgets are the declared budgets.
	Budgets Budgets `json:"budgets"`
	// Openings are the opening amounts above 0.
	Openings []Opening `json:"openings"`
}

// Parse reads declarations. It fails with failure.Invalid; the error lists all
// faults. file names the source in messages.
func Parse(file string, r io.Reader) (*Declarations, error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return nil, failure.New(failure.Invalid, "give a readable file", "%s cannot be read: %v", file, err)
	}
	p := &parser{
		declarations:  &Declarations{Document: &config.Document{Format: config.FormatVersion}, Budgets: Budgets{}},
		sectionTitles: map[string]string{},
	}
	p.groupSections(settings.ReadSections(text, &p.faults))
	for _, kind := range sectionKinds {
		for _, section := range p.sectionsByKind[kind.name] {
			kind.read(p, p.newSectionReader(section, kind))
		}
	}
	p.checkDocument()
	p.checkBudgets()
	return p.declarations, p.faults.Err(file)
}

// sectionKind describes a kind of section.
type sectionKind struct {
	name      string
	nameCount int // number of words after the kind in the title
	keys      []string
	read      func(*parser, *sectionReader)
}

// sectionKinds are read in this order, because later kinds refer to earlier ones.
var sectionKinds = []sectionKind{
	{"deployment", 0, []string{"domains", "shards"}, (*parser).readDeployment},
	{"service", 1, []string{"kind", "max-output-tokens", "timeout", "first-byte", "idle", "concurrency"}, (*parser).readService},
	{"endpoint", 1, []string{"service", "address", "domain", "checks-fencing"}, (*parser).readEndpoint},
	{"route", 2, []string{"method", "path", "price", "repeatable"}, (*parser).readRoute},
	{"workspace", 1, []string{"key-sha256", "default-budget", "rate", "concurrency"}, (*parser).readWorkspace},
	{"budget", 1, []string{"opening"}, (*parser).readBudget},
	{"engine", 1, []string{"model", "version", "adapters", "role"}, (*parser).readEngine},
	{"objective", 1, []string{"target", "first-token", "between-tokens"}, (*parser).readObjective},
}

// Keys returns the keys of a declarations file by kind of section.
func Keys() map[string][]string {
	keys := map[string][]string{}
	for _, k := range sectionKinds {
		keys[k.name] = slices.Clone(k.keys)
	}
	return keys
}

// parser collects the content and the faults of a file.
type parser struct {
	declarations   *Declarations
	faults         settings.Faults
	sectionsByKind map[string][]settings.Section
	sectionTitles  map[string]string // by object, if the title of its section differs from it
}

// groupSections groups the sections by kind and reports those with an invalid
// title.
func (p *parser) groupSections(sections []settings.Section) {
	p.sectionsByKind = map[string][]settings.Section{}
	for _, section := range sections {
		words := strings.Fields(section.Name)
		i := slices.IndexFunc(sectionKinds, func(k sectionKind) bool { return len(words) > 0 && k.name == words[0] })
		switch {
		case i < 0:
			p.faults.Add(section.Name, "", "begin the title with one of "+listKindNames(), "the kind of section is unknown")
		case len(words)-1 != sectionKinds[i].nameCount:
			p.faults.Add(section.Name, "", "write the title as in the manual, for example [route rounds-app booking]",
				"the title has %d names, a %s section has %d", len(words)-1, words[0], sectionKinds[i].nameCount)
		default:
			p.sectionsByKind[words[0]] = append(p.sectionsByKind[words[0]], section)
		}
	}
}

// listKindNames returns the kinds of sections, separated by commas.
func listKindNames() string {
	names := make([]string, len(sectionKinds))
	for i, k := range sectionKinds {
		names[i] = k.name
	}
	return strings.Join(names, ", ")
}

// newSectionReader returns a reader for a section and reports its unknown keys.
func (p *parser) newSectionReader(section settings.Section, kind sectionKind) *sectionReader {
	for _, key := range section.Keys {
		if !slices.Contains(kind.keys, key) {
			p.faults.Add(section.Name, key, "remove it, or correct its name to one of "+strings.Join(kind.keys, ", "), "the key is unknown")
		}
	}
	return &sectionReader{section: section, names: strings.Fields(section.Name)[1:], faults: &p.faults}
}

// checkDocument reports the faults of the document, unless the file has a fault of
// the same key already.
func (p *parser) checkDocument() {
	for _, f := range config.Faults(p.declarations.Document) {
		section := f.Object
		if title, ok := p.sectionTitles[f.Object]; ok {
			section = title
		}
		reported := slices.ContainsFunc(p.faults, func(other settings.Fault) bool { return other.Section == section && other.Key == f.Key })
		if !reported {
			p.faults.Add(section, f.Key, remedyFor(f), "%s", f.Reason)
		}
	}
}

// checkBudgets sorts the names of budgets. It reports invalid names, duplicates
// and default budgets that are not declared.
func (p *parser) checkBudgets() {
	for _, w := range p.declarations.Document.Workspaces {
		names := p.declarations.Budgets[w.Name]
		slices.Sort(names)
		for i, name := range names {
			section := "budget " + w.Name + "/" + name
			if !config.IsValidName(name) {
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

// remedyFor returns the remedy of a fault of the document.
func remedyFor(f config.Fault) string {
	switch f.Key {
	case "":
		return "rename or remove the section, or declare what it refers to"
	case "domain":
		return "add the failure domain to domains of [deployment]"
	}
	return "correct the value"
}
