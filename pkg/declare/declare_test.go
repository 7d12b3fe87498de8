package declare

import (
	"bytes"
	"strings"
	"testing"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
)

const validFile = `
[deployment]
domains = ikeja, yaba
shards = 4
[service llm-pool]
kind = model
max-output-tokens = 4096
[endpoint llm-1]
service = llm-pool
address = 10.0.0.1:80
domain = ikeja
checks-fencing = true
[service rounds-app]
kind = app
timeout = 1m
[route rounds-app booking]
method = POST
path = /bookings
price = 20
[workspace clinic]
key-sha256 = 5e884898da28047151d0e56f8dc6292773603d0d6aabbdd62a11ef721d1542d8
rate = 2.5
[budget clinic/main]
opening = 5000
[engine llm-1]
model = notas
version = 3
adapters = dental, diet
[objective llm-pool]
target = 0.95
first-token = 1800ms
`

func parse(t *testing.T, text string) *Declarations {
	t.Helper()
	d, err := Parse("fleet.ini", strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against declarations that are read into the wrong place.
func TestParse(t *testing.T) {
	d := parse(t, validFile)
	svc, _ := d.Document.Service("rounds-app")
	if len(svc.Routes) != 1 || svc.Routes[0].Price != 20 || svc.Routes[0].Repeatable {
		t.Errorf("routes: %+v", svc.Routes)
	}
	w := d.Document.Workspaces[0]
	if w.DefaultBudget != "main" || len(d.Budgets["clinic"]) != 1 || w.RatePerSecond != 2.5 {
		t.Errorf("workspace: %+v", w)
	}
	if len(d.Openings) != 1 || d.Openings[0].Amount != 5000 || d.Openings[0].Budget.String() != "clinic/main" {
		t.Errorf("openings: %+v", d.Openings)
	}
}

// Guards against faults that surface one at a time, without their place, or as
// two faults of one key.
func TestParseReportsEveryFault(t *testing.T) {
	cases := []struct {
		desc string
		edit *strings.Replacer
		want []string
	}{
		{"values", strings.NewReplacer("timeout = 1m", "timeout = soon", "price = 20", "price = -1", "rate = 2.5", "rate = fast"),
			[]string{"[service rounds-app] timeout", "[route rounds-app booking] price", "[workspace clinic] rate"}},
		{"one fault a key", strings.NewReplacer("max-output-tokens = 4096", "max-output-tokens = many"), []string{"1 faults", "max-output-tokens"}},
		{"references", strings.NewReplacer("service = llm-pool", "service = llm", "[route rounds-app", "[route rounds", "[budget clinic", "[budget vet", "[objective llm-pool", "[objective llm"),
			[]string{"[endpoint llm-1] service", "[route rounds booking]", "[budget vet/main]: the workspace", "[engine llm-1]", "[objective llm]", "[workspace clinic] default-budget"}},
		{"titles", strings.NewReplacer("[route rounds-app booking]", "[route booking]", "[budget clinic/main]", "[budget main]", "[objective", "[goal"),
			[]string{"[route booking]", "[budget main]", "[goal llm-pool]: the kind of section is unknown"}},
		{"unknown key", strings.NewReplacer("shards", "shard"), []string{"[deployment] shard: the key is unknown", "domains, shards"}},
		{"checks of the document", strings.NewReplacer("domain = ikeja", "domain = lekki", "path = /bookings", "path = bookings"),
			[]string{"[endpoint llm-1] domain", "add the failure domain", "[route rounds-app booking] path"}},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			_, err := Parse("fleet.ini", strings.NewReader(c.edit.Replace(validFile)))
			if !failure.Is(err, failure.Invalid) {
				t.Fatalf("Parse: %v", err)
			}
			for _, w := range c.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("%q is missing in: %v", w, err)
				}
			}
		})
	}
}

// Guards against an apply that undoes a drain or forgets applied commands.
func TestBuildKeepsWhatIsNotDeclared(t *testing.T) {
	current := parse(t, validFile).Document
	current.Generation, current.Drained = 7, []string{"llm-1", "gone"}
	current.Applied = []config.Change{{Command: "c1"}}
	next := Merge(current, parse(t, validFile).Document)
	if next.Generation != 7 || len(next.Drained) != 2 || len(next.Applied) != 1 {
		t.Errorf("built: %+v", next)
	}
}

// Guards against a plan that hides a change or shows one that is none.
func TestPlan(t *testing.T) {
	base := parse(t, validFile)
	edited := strings.NewReplacer("10.0.0.1:80", "10.0.0.2:80", "[objective llm-pool]\ntarget = 0.95\nfirst-token = 1800ms", "[budget clinic/extra]\nopening = 9")
	cases := []struct {
		desc    string
		current *config.Document
		desired *Declarations
		want    string
	}{
		{"nothing", base.Document, base, ""},
		{"edited", base.Document, parse(t, edited.Replace(validFile)), "" +
			"+ [budget clinic/extra]\n    + opening = 9\n" +
			"~ [endpoint llm-1]\n    ~ address = 10.0.0.1:80 -> 10.0.0.2:80\n" +
			"- [objective llm-pool]\n    - between-tokens = 0s\n    - first-token = 1.8s\n    - target = 0.95\n"},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			var got bytes.Buffer
			WriteDiff(&got, Plan(c.current, base.Budgets, c.desired))
			if got.String() != c.want {
				t.Errorf("diff:\n%s\nwant:\n%s", got.String(), c.want)
			}
		})
	}
	if steps := Plan(nil, nil, base); len(steps) != 9 || steps[0].Action != Add {
		t.Errorf("first plan: %+v", steps)
	}
}
