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

// Action is what a step does to an object.
type Action string

// Actions of steps.
const (
	// Add means that only the new configuration has the object.
	Add Action = "add"
	// Change means that the configurations have different values of the object.
	Change Action = "change"
	// Remove means that only the old configuration has the object.
	Remove Action = "remove"
)

// Step is the difference of one object between two configurations. Objects and
// keys are named as in the declarations.
type Step struct {
	Action Action        `json:"action"`
	Object string        `json:"object"`
	Values []ValueChange `json:"values"`
}

// ValueChange is the change of one key. From or To is empty if the value is
// absent.
type ValueChange struct {
	Key  string `json:"key"`
	From string `json:"from"`
	To   string `json:"to"`
}

// Merge returns the document that an apply of declared puts in force. It takes
// from current what is not declared: generation, drained endpoints and applied
// commands. current may be nil.
func Merge(current *config.Document, declared *config.Document) *config.Document {
	next := declared.Clone()
	next.Generation, next.Drained, next.Applied = 0, nil, nil
	if current != nil {
		kept := current.Clone()
		next.Generation, next.Drained, next.Applied = kept.Generation, kept.Drained, kept.Applied
	}
	return next
}

// Plan returns the steps from current to the declarations: first the objects that
// are added or changed, then those that are removed, each part sorted by object.
// An apply puts all steps in force at once. current may be nil; budgets are those
// in the store. Opening amounts are listed only for new budgets.
func Plan(current *config.Document, budgets Budgets, d *Declarations) []Step {
	from, to := map[string]ObjectValues{}, objectsOf(d.Document)
	if current != nil {
		from = objectsOf(current)
	}
	budgets.addTo(from)
	d.Budgets.addTo(to)
	for _, o := range d.Openings {
		object := "budget " + o.Budget.String()
		if _, exists := from[object]; !exists {
			to[object] = ObjectValues{"opening": strconv.FormatInt(int64(o.Amount), 10)}
		}
	}
	return CompareObjects(from, to)
}

// CompareObjects returns the steps from one set of objects to another, in the order of Plan.
func CompareObjects(from, to map[string]ObjectValues) []Step {
	var steps []Step
	for _, object := range slices.Sorted(maps.Keys(to)) {
		before, exists := from[object]
		values := compareValues(before, to[object])
		switch {
		case !exists:
			steps = append(steps, Step{Add, object, values})
		case len(values) > 0:
			steps = append(steps, Step{Change, object, values})
		}
	}
	for _, object := range slices.Sorted(maps.Keys(from)) {
		if _, remains := to[object]; !remains {
			steps = append(steps, Step{Remove, object, compareValues(from[object], nil)})
		}
	}
	return steps
}

// compareValues returns the keys with different values, sorted by key.
func compareValues(from, to ObjectValues) []ValueChange {
	var changes []ValueChange
	for key, value := range from {
		if to[key] != value {
			changes = append(changes, ValueChange{key, value, to[key]})
		}
	}
	for key, value := range to {
		if _, exists := from[key]; !exists && value != "" {
			changes = append(changes, ValueChange{key, "", value})
		}
	}
	slices.SortFunc(changes, func(a, b ValueChange) int { return cmp.Compare(a.Key, b.Key) })
	return changes
}

// ObjectValues are the values of one object by key.
type ObjectValues map[string]string

// objectsOf returns the values of all objects of a document by the title of their
// section. Routes have no name in a document, so they are named by method and
// path.
func objectsOf(d *config.Document) map[string]ObjectValues {
	objects := map[string]ObjectValues{"deployment": {"domains": strings.Join(d.Domains, ", "), "shards": strconv.Itoa(d.Shards)}}
	for _, s := range d.Services {
		addServiceObjects(objects, s)
	}
	for _, w := range d.Workspaces {
		objects["workspace "+w.Name] = ObjectValues{"key-sha256": w.KeyHash, "default-budget": w.DefaultBudget, "rate": formatFloat(w.RatePerSecond), "concurrency": strconv.Itoa(w.Concurrency)}
	}
	for _, e := range d.Engines {
		objects["engine "+e.Endpoint] = ObjectValues{"model": e.Model, "version": e.Version, "adapters": strings.Join(e.Adapters, ", "), "role": e.Role}
	}
	for _, o := range d.Objectives {
		objects["objective "+o.Service] = ObjectValues{"target": formatFloat(o.Target), "first-token": o.MaxFirstTokenDelay.String(), "between-tokens": o.MaxTokenInterval.String()}
	}
	return objects
}

// addTo adds an object without values for each budget.
func (b Budgets) addTo(objects map[string]ObjectValues) {
	for workspace, names := range b {
		for _, name := range names {
			objects["budget "+workspace+"/"+name] = ObjectValues{}
		}
	}
}

// addServiceObjects adds a service, its endpoints and its routes.
func addServiceObjects(objects map[string]ObjectValues, s config.Service) {
	objects["service "+s.Name] = ObjectValues{
		"kind": string(s.Kind), "max-output-tokens": strconv.FormatInt(s.MaxOutputTokens, 10), "timeout": s.Timeout.String(),
		"first-byte": s.FirstByteTimeout.String(), "idle": s.IdleTimeout.String(), "concurrency": strconv.Itoa(s.Concurrency),
	}
	for _, e := range s.Endpoints {
		objects["endpoint "+e.ID] = ObjectValues{"service": s.Name, "address": e.Address, "domain": e.Domain, "checks-fencing": strconv.FormatBool(e.ChecksFencing)}
	}
	for _, r := range s.Routes {
		objects[config.RouteObject(s.Name, r)] = ObjectValues{"method": r.Method, "path": r.PathPrefix, "price": strconv.FormatInt(r.Price, 10), "repeatable": strconv.FormatBool(r.Repeatable)}
	}
}

// formatFloat returns the shortest decimal form of f.
func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// actionSigns are the signs of actions in a plan.
var actionSigns = map[Action]string{Add: "+", Change: "~", Remove: "-"}

// WritePlan writes one line for each step. Errors of w are ignored.
func WritePlan(w io.Writer, steps []Step) {
	for _, s := range steps {
		names := make([]string, len(s.Values))
		for i, v := range s.Values {
			names[i] = v.Key
		}
		line := actionSigns[s.Action] + " " + string(s.Action) + " " + s.Object
		if s.Action == Change {
			line += " (" + strings.Join(names, ", ") + ")"
		}
		_, _ = fmt.Fprintln(w, line)
	}
	_, _ = fmt.Fprintf(w, "%d steps\n", len(steps))
}

// WriteDiff writes each step with the changes of its values. Errors of w are
// ignored.
func WriteDiff(w io.Writer, steps []Step) {
	for _, s := range steps {
		_, _ = fmt.Fprintf(w, "%s [%s]\n", actionSigns[s.Action], s.Object)
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
