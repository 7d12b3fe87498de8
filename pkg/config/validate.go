package config

import (
	"encoding/hex"
	"fmt"
	"net"
	"regexp"
	"slices"
	"strings"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/ledger"
)

// maxShards limits Document.Shards. A deployment of the target size uses 256 shards
// in each failure domain.
const maxShards = 4096

// keyHashBytes is the length of a SHA-256 hash.
const keyHashBytes = 32

// Names are used in store keys and URLs. The name of a failure domain is also used
// in request ids, whose fields are separated by dots.
var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	domainPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)
)

// IsValidName reports whether name is a valid name of a service, endpoint, workspace
// or budget: 1 to 63 letters, digits, dots, underscores and hyphens that begin with
// a letter or a digit.
func IsValidName(name string) bool { return namePattern.MatchString(name) }

// Fault is one violation of the rules for a document. Object and Key are named as
// in the declarations, for example "endpoint llm-1" and "address".
type Fault struct {
	Object string
	Key    string
	Reason string
}

// Validate returns nil for a valid document, and otherwise a failure.Invalid error
// that lists every fault.
func Validate(d *Document) error {
	faults := Faults(d)
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = strings.TrimSpace(f.Object+" "+f.Key) + ": " + f.Reason
	}
	return failure.New(failure.Invalid, "correct all of them and send the change again",
		"the configuration has %d faults: %s", len(faults), strings.Join(lines, "; "))
}

// Faults returns every fault of a document, or nil if it is valid.
func Faults(d *Document) []Fault {
	v := &validator{doc: d, endpoints: map[string]ServiceKind{}, seen: map[string]bool{}}
	v.checkDeployment()
	for _, s := range d.Services {
		v.checkService(s)
	}
	for _, w := range d.Workspaces {
		v.checkWorkspace(w)
	}
	for _, e := range d.Engines {
		v.checkEngine(e)
	}
	for _, o := range d.Objectives {
		v.checkObjective(o)
	}
	return v.faults
}

// validator collects the faults of a document.
type validator struct {
	doc       *Document
	endpoints map[string]ServiceKind // kind of the service of each endpoint, by endpoint id
	seen      map[string]bool        // objects and key hashes that occurred before
	faults    []Fault
}

// check adds a fault unless ok is true.
func (v *validator) check(ok bool, object, key, reason string, args ...any) {
	if !ok {
		v.faults = append(v.faults, Fault{object, key, fmt.Sprintf(reason, args...)})
	}
}

// checkName checks that the name of an object is valid and occurs once. It returns
// the Object of its faults.
func (v *validator) checkName(kind, name string) string {
	object := kind + " " + name
	v.check(IsValidName(name), object, "", "the name must be 1 to 63 letters, digits, dots, underscores or hyphens")
	v.checkUnique(object)
	return object
}

func (v *validator) checkUnique(object string) {
	v.check(!v.seen[object], object, "", "it is listed twice")
	v.seen[object] = true
}

func (v *validator) checkDeployment() {
	const object = "deployment"
	v.check(v.doc.Shards >= 1 && v.doc.Shards <= maxShards, object, "shards", "%d is not between 1 and %d", v.doc.Shards, maxShards)
	v.check(len(v.doc.Domains) > 0, object, "domains", "no failure domain is listed")
	for i, name := range v.doc.Domains {
		v.check(domainPattern.MatchString(name), object, "domains", "%q must be 1 to 63 letters, digits, underscores or hyphens", name)
		v.check(!slices.Contains(v.doc.Domains[:i], name), object, "domains", "%q is listed twice", name)
	}
}

func (v *validator) checkService(s Service) {
	object := v.checkName("service", s.Name)
	v.check(s.Kind == ModelService || s.Kind == AppService, object, "kind", "%q is neither model nor app", s.Kind)
	v.check(s.Kind != ModelService || (s.MaxOutputTokens > 0 && s.MaxOutputTokens <= int64(ledger.MaxTokens)),
		object, "max-output-tokens", "%d is out of range; a model service needs a positive number", s.MaxOutputTokens)
	v.check(s.Timeout > 0, object, "timeout", "it must be positive")
	v.check(s.FirstByteTimeout > 0 && s.FirstByteTimeout <= s.Timeout, object, "first-byte", "it must be positive and at most the timeout")
	v.check(s.IdleTimeout > 0 && s.IdleTimeout <= s.Timeout, object, "idle", "it must be positive and at most the timeout")
	v.check(s.Concurrency > 0, object, "concurrency", "it must be positive")
	for _, e := range s.Endpoints {
		v.checkEndpoint(s, e)
	}
	for _, r := range s.Routes {
		v.checkRoute(s, r)
	}
}

func (v *validator) checkEndpoint(s Service, e Endpoint) {
	object := v.checkName("endpoint", e.ID)
	v.endpoints[e.ID] = s.Kind
	host, port, err := net.SplitHostPort(e.Address)
	v.check(err == nil && host != "" && port != "", object, "address", "%q is not host:port", e.Address)
	v.check(slices.Contains(v.doc.Domains, e.Domain), object, "domain", "the failure domain %q is not listed", e.Domain)
}

// RouteObject returns the value of Fault.Object for a route.
func RouteObject(service string, r Route) string {
	return "route " + service + " " + r.Method + " " + r.PathPrefix
}

func (v *validator) checkRoute(s Service, r Route) {
	object := RouteObject(s.Name, r)
	v.checkUnique(object)
	v.check(s.Kind != ModelService, object, "", "a model service takes no routes")
	v.check(r.Method != "" && r.Method == strings.ToUpper(r.Method), object, "method", "%q is not an HTTP method in capitals", r.Method)
	v.check(strings.HasPrefix(r.PathPrefix, "/"), object, "path", "%q does not begin with a slash", r.PathPrefix)
	v.check(r.Price >= 0 && r.Price <= int64(ledger.MaxTokens), object, "price", "%d is out of range", r.Price)
}

func (v *validator) checkWorkspace(w Workspace) {
	object := v.checkName("workspace", w.Name)
	raw, err := hex.DecodeString(w.KeyHash)
	v.check(err == nil && len(raw) == keyHashBytes && w.KeyHash == strings.ToLower(w.KeyHash),
		object, "key-sha256", "it must be a SHA-256 in 64 lower-case hex digits")
	v.check(!v.seen[w.KeyHash], object, "key-sha256", "another workspace has the same key")
	v.seen[w.KeyHash] = true
	v.check(IsValidName(w.DefaultBudget), object, "default-budget", "%q must be 1 to 63 letters, digits, dots, underscores or hyphens", w.DefaultBudget)
	v.check(w.RatePerSecond >= 0, object, "rate", "it must not be negative")
	v.check(w.Concurrency >= 0, object, "concurrency", "it must not be negative")
}

func (v *validator) checkEngine(e EngineState) {
	object := v.checkName("engine", e.Endpoint)
	v.check(v.endpoints[e.Endpoint] == ModelService, object, "", "no model service has this endpoint")
	v.check(e.Model != "", object, "model", "it is empty")
}

func (v *validator) checkObjective(o Objective) {
	object := v.checkName("objective", o.Service)
	_, ok := v.doc.Service(o.Service)
	v.check(ok, object, "", "there is no such service")
	v.check(o.Target > 0 && o.Target < 1, object, "target", "it must be between 0 and 1")
	v.check(o.MaxFirstTokenDelay >= 0, object, "first-token", "it must not be negative")
	v.check(o.MaxTokenInterval >= 0, object, "between-tokens", "it must not be negative")
}
