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

// maxShards bounds Shards; the target size uses 256 in each failure domain.
const maxShards = 4096

// keyHashBytes is the length of a SHA-256.
const keyHashBytes = 32

// Names become parts of store keys and URLs. A failure domain is also a part of
// request ids, where a dot separates the fields.
var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	domainPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)
)

// ValidName reports whether name can name a service, endpoint, workspace or
// budget: up to 63 letters, digits, dots, underscores and hyphens.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Validate reports every fault of a document in one failure.Invalid error.
func Validate(d *Document) error {
	v := &validator{doc: d, endpoints: map[string]ServiceKind{}}
	v.header()
	v.services()
	v.workspaces()
	v.engines()
	v.objectives()
	if len(v.faults) == 0 {
		return nil
	}
	return failure.New(failure.Invalid, "correct all of them and send the change again",
		"the configuration has %d faults: %s", len(v.faults), strings.Join(v.faults, "; "))
}

type validator struct {
	doc       *Document
	endpoints map[string]ServiceKind // all endpoints with the kind of their service
	faults    []string
}

func (v *validator) check(ok bool, format string, args ...any) {
	if !ok {
		v.faults = append(v.faults, fmt.Sprintf(format, args...))
	}
}

func (v *validator) name(what, name string) {
	v.check(ValidName(name), "%s name %q must be 1 to 63 letters, digits, dots, underscores or hyphens", what, name)
}

func (v *validator) unique(what string, names []string) {
	seen := map[string]bool{}
	for _, n := range names {
		v.check(!seen[n], "%s %q is listed twice", what, n)
		seen[n] = true
	}
}

func (v *validator) header() {
	v.check(v.doc.Shards >= 1 && v.doc.Shards <= maxShards, "shards is %d, must be between 1 and %d", v.doc.Shards, maxShards)
	v.check(len(v.doc.Domains) > 0, "no failure domain is listed")
	v.unique("failure domain", v.doc.Domains)
	for _, name := range v.doc.Domains {
		v.check(domainPattern.MatchString(name), "failure domain %q must be 1 to 63 letters, digits, underscores or hyphens", name)
	}
}

func (v *validator) services() {
	var names []string
	for _, s := range v.doc.Services {
		names = append(names, s.Name)
		v.name("service", s.Name)
		v.service(s)
		for _, e := range s.Endpoints {
			v.endpoint(s, e)
		}
		for _, r := range s.Routes {
			v.route(s, r)
		}
	}
	v.unique("service", names)
}

func (v *validator) service(s Service) {
	v.check(s.Kind == ModelService || s.Kind == AppService, "service %s: kind %q must be model or app", s.Name, s.Kind)
	v.check(s.Kind != ModelService || (s.MaxOutputTokens > 0 && s.MaxOutputTokens <= int64(ledger.MaxTokens)),
		"service %s: max_output_tokens is %d, a model service needs a positive number", s.Name, s.MaxOutputTokens)
	v.check(s.Kind != ModelService || len(s.Routes) == 0, "service %s: a model service takes no routes", s.Name)
	v.check(s.Timeout > 0, "service %s: timeout must be positive", s.Name)
	v.check(s.FirstByte > 0 && s.FirstByte <= s.Timeout, "service %s: first_byte must be positive and at most timeout", s.Name)
	v.check(s.Idle > 0 && s.Idle <= s.Timeout, "service %s: idle must be positive and at most timeout", s.Name)
	v.check(s.Concurrency > 0, "service %s: concurrency must be positive", s.Name)
	var routes []string
	for _, r := range s.Routes {
		routes = append(routes, r.Method+" "+r.PathPrefix)
	}
	v.unique("service "+s.Name+": route", routes)
}

func (v *validator) endpoint(s Service, e Endpoint) {
	v.name("endpoint", e.ID)
	_, twice := v.endpoints[e.ID]
	v.check(!twice, "endpoint %q is listed twice", e.ID)
	v.endpoints[e.ID] = s.Kind
	host, port, err := net.SplitHostPort(e.Address)
	v.check(err == nil && host != "" && port != "", "endpoint %s: address %q must be host:port", e.ID, e.Address)
	v.check(slices.Contains(v.doc.Domains, e.Domain), "endpoint %s: failure domain %q is not among the listed ones", e.ID, e.Domain)
}

func (v *validator) route(s Service, r Route) {
	v.check(r.Method != "" && r.Method == strings.ToUpper(r.Method), "service %s: method %q must be an HTTP method in capitals", s.Name, r.Method)
	v.check(strings.HasPrefix(r.PathPrefix, "/"), "service %s: path %q must begin with a slash", s.Name, r.PathPrefix)
	v.check(r.Price >= 0 && r.Price <= int64(ledger.MaxTokens), "service %s: price %d of %s %s is out of range", s.Name, r.Price, r.Method, r.PathPrefix)
}

func (v *validator) workspaces() {
	var names, hashes []string
	for _, w := range v.doc.Workspaces {
		names, hashes = append(names, w.Name), append(hashes, w.KeyHash)
		v.name("workspace", w.Name)
		raw, err := hex.DecodeString(w.KeyHash)
		v.check(err == nil && len(raw) == keyHashBytes && w.KeyHash == strings.ToLower(w.KeyHash),
			"workspace %s: key_hash must be a SHA-256 in 64 lower-case hex digits", w.Name)
		v.check(slices.Contains(w.Budgets, w.DefaultBudget), "workspace %s: default budget %q is not among its budgets", w.Name, w.DefaultBudget)
		v.check(w.RatePerSecond >= 0, "workspace %s: rate_per_second must not be negative", w.Name)
		v.check(w.Concurrency >= 0, "workspace %s: concurrency must not be negative", w.Name)
		v.unique("workspace "+w.Name+": budget", w.Budgets)
		for _, b := range w.Budgets {
			v.name("workspace "+w.Name+": budget", b)
		}
	}
	v.unique("workspace", names)
	v.unique("key hash", hashes)
}

func (v *validator) engines() {
	var ids []string
	for _, e := range v.doc.Engines {
		ids = append(ids, e.Endpoint)
		v.check(v.endpoints[e.Endpoint] == ModelService, "engine %q is not an endpoint of a model service", e.Endpoint)
		v.check(e.Model != "", "engine %s: model is empty", e.Endpoint)
	}
	v.unique("engine", ids)
}

func (v *validator) objectives() {
	var names []string
	for _, o := range v.doc.Objectives {
		names = append(names, o.Service)
		_, ok := v.doc.Service(o.Service)
		v.check(ok, "objective names the unknown service %q", o.Service)
		v.check(o.Target > 0 && o.Target < 1, "objective of %s: target must be between 0 and 1", o.Service)
		v.check(o.FirstToken >= 0 && o.BetweenTokens >= 0, "objective of %s: bounds must not be negative", o.Service)
	}
	v.unique("objective of service", names)
}
