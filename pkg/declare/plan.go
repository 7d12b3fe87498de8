package declare

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/clementinerack/clementinerack/pkg/config"
)

// Action tells what a step does to an object.
type Action string

// Actions of steps.
const (
	Add    Action = "add"
	Change Action = "change"
	Remove Action = "remove"
)

// Step is the difference of one object between two configurations. Objects and
// keys are those of the declarations.
type Step struct {
	Action Action        `json:"action"`
	Object string        `json:"object"`
	Values []ValueChange `json:"values"`
}

// ValueChange is the difference of one key. An absent value is empty.
type ValueChange struct {
	Key  string `json:"key"`
	From string `json:"from"`
	To   string `json:"to"`
}

// Merge returns the document that an apply of d on current asks for. It keeps
// what is not declared: generation, drained endpoints and applied commands.
// current may be nil.
func Merge(current *config.Document, d *config.Document) *config.Document {
	next := d.Clone()
	next.Generation, next.Drained, next.Applied = 0, nil, nil
	if current != nil {
		kept := current.Clone()
		next.Generation, next.Drained, next.Applied = kept.Generation, kept.Drained, kept.Applied
	}
	return next
}

// Plan returns the steps from current to the declarations, sorted by object:
// first what is added or changed, then what is removed. current may be nil;
// budgets are those of the store. The steps take effect together. Opening amounts
// are shown for new budgets.
func Plan(current *config.Document, budgets Budgets, d *Declarations) []Step {
	from, to := map[string]keys{}, objects(d.Document)
	if current != nil {
		from = objects(current)
	}
	budgets.addTo(from)
	d.Budgets.addTo(to)
	for _, o := range d.Openings {
		object := "budget " + o.Budget.String()
		if _, exists := from[object]; !exists {
			to[object] = keys{"opening": strconv.FormatInt(int64(o.Amount), 10)}
		}
	}
	var steps []Step
	for _, object := range slices.Sorted(maps.Keys(to)) {
		before, exists := from[object]
		values := compare(before, to[object])
		switch {
		case !exists:
			steps = append(steps, Step{Add, object, values})
		case len(values) > 0:
			steps = append(steps, Step{Change, object, values})
		}
	}
	for _, object := range slices.Sorted(maps.Keys(from)) {
		if _, stays := to[object]; !stays {
			steps = append(steps, Step{Remove, object, compare(from[object], nil)})
		}
	}
	return steps
}

func compare(from, to keys) []ValueChange {
	var out []ValueChange
	for key, value := range from {
		if to[key] != value {
			out = append(out, ValueChange{key, value, to[key]})
		}
	}
	for key, value := range to {
		if _, both := from[key]; !both && value != "" {
			out = append(out, ValueChange{key, "", value})
		}
	}
	slices.SortFunc(out, func(a, b ValueChange) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

// keys are the values of one object by key.
type keys map[string]string

// objects renders a document in the terms of the declarations. Routes have no
// name in a document, so they are named by method and path.
func objects(d *config.Document) map[string]keys {
	out := map[string]keys{"deployment": {"domains": strings.Join(d.Domains, ", "), "shards": strconv.Itoa(d.Shards)}}
	for _, s := range d.Services {
		addService(out, s)
	}
	for _, w := range d.Workspaces {
		out["workspace "+w.Name] = keys{"key-sha256": w.KeyHash, "default-budget": w.DefaultBudget, "rate": number(w.RatePerSecond), "concurrency": strconv.Itoa(w.Concurrency)}
	}
	for _, e := range d.Engines {
		out["engine "+e.Endpoint] = keys{"model": e.Model, "version": e.Version, "adapters": strings.Join(e.Adapters, ", "), "role": e.Role}
	}
	for _, o := range d.Objectives {
		out["objective "+o.Service] = keys{"target": number(o.Target), "first-token": o.MaxFirstTokenDelay.String(), "between-tokens": o.MaxTokenInterval.String()}
	}
	return out
}

func (b Budgets) addTo(out map[string]keys) {
	for workspace, names := range b {
		for _, name := range names {
			out["budget "+workspace+"/"+name] = keys{}
		}
	}
}

func addService(out map[string]keys, s config.Service) {
	out["service "+s.Name] = keys{
		"kind": string(s.Kind), "max-output-tokens": strconv.FormatInt(s.MaxOutputTokens, 10), "timeout": s.Timeout.String(),
		"first-byte": s.FirstByteTimeout.String(), "idle": s.IdleTimeout.String(), "concurrency": strconv.Itoa(s.Concurrency),
	}
	for _, e := range s.Endpoints {
		out["endpoint "+e.ID] = keys{"service": s.Name, "address": e.Address, "domain": e.Domain, "checks-fencing": strconv.FormatBool(e.ChecksFencing)}
	}
	for _, r := range s.Routes {
		out[config.RouteObject(s.Name, r)] = keys{"method": r.Method, "path": r.PathPrefix, "price": strconv.FormatInt(r.Price, 10), "repeatable": strconv.FormatBool(r.Repeatable)}
	}
}

func number(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

var signs = map[Action]string{Add: "+", Change: "~", Remove: "-"}

// WritePlan writes one line a step.
func WritePlan(w io.Writer, steps []Step) {
	for _, s := range steps {
		names := make([]string, len(s.Values))
		for i, v := range s.Values {
			names[i] = v.Key
		}
		line := signs[s.Action] + " " + string(s.Action) + " " + s.Object
		if s.Action == Change {
			line += " (" + strings.Join(names, ", ") + ")"
		}
		_, _ = fmt.Fprintln(w, line)
	}
	_, _ = fmt.Fprintf(w, "%d steps\n", len(steps))
}

// WriteDiff writes each step with its values.
func WriteDiff(w io.Writer, steps []Step) {
	for _, s := range steps {
		_, _ = fmt.Fprintf(w, "%s [%s]\n", signs[s.Action], s.Object)
		for _, v := range s.Values {
			switch {
			case v.From == "":
				_, _ = fmt.Fprintf(w, "    + %s = %s\n", v.Key, v.To)
			case v.To == "":
				_, _ = fmt.Fprintf(w, "    - %s = %s\n", v.Key, v.From)
			default:
				_, _ = fmt.Fprintf(w, "    ~ %s = %s -> %s\n", v.Key, v.From, v.To)
			}
		}
	}
}
