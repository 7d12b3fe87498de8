package configcheck

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/declare"
)

// sound returns a document without findings.
func sound() *catalog.Document {
	return &catalog.Document{Version: 2,
		Routes: []catalog.Route{{Name: "r", Host: "h.example", Prefix: "/a/", Kind: catalog.Stream, Timeout: time.Second, Objective: time.Second / 2,
			Targets: []catalog.Target{{Service: "s", Weight: 1}}, MaxAttempts: 2, Affinity: true, Resumable: true}},
		Services:   []catalog.Service{{Name: "s", MaxConnections: 9, Engine: &catalog.Engine{Slots: 8, TokensPerEvent: 4}}},
		Workspaces: []catalog.Workspace{{Name: "w", Keys: []string{"k"}}}}
}

func TestCatalogFindings(t *testing.T) {
	if findings := Catalog(sound(), &catalog.Document{Version: 1}); len(findings) > 0 {
		t.Fatalf("a sound document has findings: %v", findings)
	}
	for _, c := range []struct {
		name   string
		change func(d *catalog.Document)
		want   Finding // Fault is a part of the text
	}{
		{"version in force", func(d *catalog.Document) { d.Version = 1 }, Finding{Error, "configuration", "not above 1", ""}},
		{"duplicate pattern", func(d *catalog.Document) {
			d.Routes = append(d.Routes, d.Routes[0])
			d.Routes[1].Name, d.Routes[1].Host = "r2", "H.example"
		}, Finding{Error, "route r2", "never match", ""}},
		{"port in host", func(d *catalog.Document) { d.Routes[0].Host = "h.example:80" }, Finding{Error, "route r", "port", ""}},
		{"query in prefix", func(d *catalog.Document) { d.Routes[0].Prefix = "/a?b/" }, Finding{Error, "route r", "never match", ""}},
		{"relative prefix", func(d *catalog.Document) { d.Routes[0].Prefix = "a/" }, Finding{Error, "route r", "never match", ""}},
		{"unescaped prefix", func(d *catalog.Document) { d.Routes[0].Prefix = "/ü/" }, Finding{Error, "route r", "never match", ""}},
		{"undeclared service", func(d *catalog.Document) { d.Routes[0].Targets[0].Service = "x" }, Finding{Error, "route r", "not declared", ""}},
		{"unused service", func(d *catalog.Document) { d.Services = append(d.Services, catalog.Service{Name: "s2"}) }, Finding{Warning, "service s2", "no route", ""}},
		{"no weight", func(d *catalog.Document) { d.Routes[0].Targets[0].Weight = 0 }, Finding{Error, "route r", "no service has a weight", ""}},
		{"objective above timeout", func(d *catalog.Document) { d.Routes[0].Objective = time.Minute }, Finding{Error, "route r", "above the timeout", ""}},
		{"single attempt", func(d *catalog.Document) { d.Routes[0].MaxAttempts = 1 }, Finding{Warning, "route r", "only one attempt", ""}},
		{"connections below slots", func(d *catalog.Document) { d.Services[0].MaxConnections = 7 }, Finding{Warning, "service s", "cannot fill", ""}},
		{"shared key", func(d *catalog.Document) {
			d.Workspaces = append(d.Workspaces, catalog.Workspace{Name: "w2", Keys: []string{"k"}})
		}, Finding{Error, "workspace w2", "same key", ""}},
		{"empty key", func(d *catalog.Document) { d.Workspaces[0].Keys[0] = "" }, Finding{Error, "workspace w", "empty key", ""}},
		{"no key", func(d *catalog.Document) { d.Workspaces[0].Keys = nil }, Finding{Warning, "workspace w", "no key", ""}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := sound()
			c.change(d)
			findings := Catalog(d, &catalog.Document{Version: 1})
			found := slices.ContainsFunc(findings, func(f Finding) bool {
				return f.Severity == c.want.Severity && f.Object == c.want.Object && strings.Contains(f.Fault, c.want.Fault)
			})
			if !found {
				t.Errorf("findings %v lack %v", findings, c.want)
			}
		})
	}
}

func TestCatalogChangesHideKeys(t *testing.T) {
	next := sound()
	next.Workspaces[0].Keys = []string{"secret"}
	next.Routes[0].MaxAttempts = 3
	var text strings.Builder
	declare.WriteDiff(&text, CatalogChanges(sound(), next))
	if got := text.String(); strings.Contains(got, "secret") || !strings.Contains(got, "~ max-attempts = 2 -> 3") || !strings.Contains(got, "~ keys-sha256") {
		t.Errorf("changes are\n%s", got)
	}
}

func TestDeclarationsFindings(t *testing.T) {
	d, err := declare.Parse("test", strings.NewReader(`
[deployment]
domains = a, b
shards = 1
[service app]
kind = app
[workspace w]
key-sha256 = 5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8
default-budget = main
[budget w/main]
[service llm]
kind = model
max-output-tokens = 5
[endpoint e]
service = llm
address = 10.0.0.1:80
domain = a
[objective llm]
target = 0.9
first-token = 1h
`))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, f := range Declarations(d) {
		got = append(got, string(f.Severity)+" "+f.Object)
	}
	if want := []string{"error objective llm", "error service app", "error service app", "warning deployment"}; !slices.Equal(got, want) {
		t.Errorf("findings are %q, want %q", got, want)
	}
}
