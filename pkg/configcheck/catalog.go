package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/clementinerack/clementinerack/pkg/catalog"
)

// Catalog returns the findings of a document, errors first. inForce is the version in force,
// or nil if there is none.
func Catalog(d, inForce *catalog.Document) []Finding {
	c := &catalogCheck{doc: d, services: map[string]*catalog.Service{}, targeted: map[string]bool{}}
	if inForce != nil && d.Version <= inForce.Version {
		c.add(Error, "configuration", "raise the version", "version %d is not above %d, which is in force, so instances ignore it", d.Version, inForce.Version)
	}
	c.checkServices()
	c.checkRoutes()
	c.checkUnusedServices()
	c.checkWorkspaces()
	c.checkRegions()
	slices.SortFunc(c.findings, compareFindings)
	return c.findings
}

// catalogCheck collects the findings of one document.
type catalogCheck struct {
	doc      *catalog.Document
	services map[string]*catalog.Service
	targeted map[string]bool // services that a route can choose
	findings []Finding
}

func (c *catalogCheck) add(severity Severity, object, remedy, fault string, args ...any) {
	c.findings = append(c.findings, Finding{severity, object, fmt.Sprintf(fault, args...), remedy})
}

// addDuplicates reports the names that occur twice.
func (c *catalogCheck) addDuplicates(kind string, names []string) {
	seen := map[string]bool{}
	for _, name := range names {
		if seen[name] {
			c.add(Error, kind+" "+name, "give each a name of its own", "the name occurs twice")
		}
		seen[name] = true
	}
}

func (c *catalogCheck) checkServices() {
	var names []string
	for i := range c.doc.Services {
		s := &c.doc.Services[i]
		names = append(names, s.Name)
		c.services[s.Name] = s
		e := s.Engine
		if e == nil {
			continue
		}
		object := "service " + s.Name
		if e.Slots > 0 && s.MaxConnections > 0 && s.MaxConnections < e.Slots {
			c.add(Warning, object, "raise the connections, or lower the slots", "%d connections cannot fill %d slots", s.MaxConnections, e.Slots)
		}
		if e.TokensPerEvent == 0 {
			c.add(Warning, object, "state the tokens of one event", "no tokens per event are stated, so each stream is charged at its maximum")
		}
	}
	c.addDuplicates("service", names)
}

// routeKey is what the choice of a route depends on.
type routeKey struct{ host, prefix string }

func (c *catalogCheck) checkRoutes() {
	var names []string
	first := map[routeKey]string{} // name of the first route by key
	for i := range c.doc.Routes {
		r := &c.doc.Routes[i]
		names = append(names, r.Name)
		key := routeKey{strings.ToLower(r.Host), r.Prefix}
		if other, exists := first[key]; exists {
			c.add(Error, "route "+r.Name, "remove it, or change its host or prefix", "it can never match: route %s has the same host and prefix", other)
		} else {
			first[key] = r.Name
		}
		c.checkPattern(r)
		c.checkTargets(r)
		c.checkRouteLimits(r)
	}
	c.addDuplicates("route", names)
}

// checkPattern reports a host or prefix that no request can have.
func (c *catalogCheck) checkPattern(r *catalog.Route) {
	object := "route " + r.Name
	switch {
	case r.Host == "":
		c.add(Error, object, "name the host", "it can never match: the host is empty")
	case strings.Contains(r.Host, ":"):
		c.add(Error, object, "remove the port", "it can never match: the host %q has a port, which is left out of the comparison", r.Host)
	case strings.ContainsFunc(r.Host, isNotURLCharacter) || strings.Contains(r.Host, "/"):
		c.add(Error, object, "correct the host", "it can never match: %q is no host", r.Host)
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/"):
		c.add(Error, object, "begin the prefix with a slash", "it can never match: the prefix %q does not begin with a slash", r.Prefix)
	case strings.ContainsAny(r.Prefix, "?#"):
		c.add(Error, object, "remove the query", "it can never match: the prefix %q goes beyond the path", r.Prefix)
	case strings.ContainsFunc(r.Prefix, isNotURLCharacter):
		c.add(Error, object, "escape the characters", "it can never match: the prefix %q has characters that a path cannot contain", r.Prefix)
	case !strings.HasSuffix(r.Prefix, "/"):
		c.add(Warning, object, "end the prefix with a slash", "the prefix %q also matches longer names that begin with it", r.Prefix)
	}
}

// isNotURLCharacter reports whether a character is sent only in escaped form.
func isNotURLCharacter(r rune) bool { return r <= ' ' || r > '~' }

func (c *catalogCheck) checkTargets(r *catalog.Route) {
	object := "route " + r.Name
	var total float64
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total == 0 {
		c.add(Error, object, "give one service a weight above 0", "no service has a weight")
	}
	for _, t := range r.Targets {
		if t.Weight == 0 && total > 0 {
			c.add(Warning, object, "remove the service, or give it a weight", "service %s has the weight 0, so it is never chosen", t.Service)
			continue
		}
		c.targeted[t.Service] = true
		service, declared := c.services[t.Service]
		switch {
		case !declared:
			c.add(Error, object, "declare the service, or correct its name", "service %q is not declared", t.Service)
		case r.Affinity && service.Engine == nil:
			c.add(Warning, object, "remove the affinity, or send it to engines", "affinity has no effect: service %s has no engines", t.Service)
		}
	}
}

// checkRouteLimits reports limits of a route that contradict each other.
func (c *catalogCheck) checkRouteLimits(r *catalog.Route) {
	object := "route " + r.Name
	if r.Timeout > 0 && r.Objective > r.Timeout {
		c.add(Error, object, "lower the objective, or raise the timeout", "the objective of %s is above the timeout of %s", r.Objective, r.Timeout)
	}
	if r.Resumable && r.Kind != catalog.Stream {
		c.add(Warning, object, "remove it, or make the route a stream", "only streams can be resumed, and this route is %s", r.Kind)
	}
	if r.IsRepeatable() && r.MaxAttempts == 1 {
		c.add(Warning, object, "allow two attempts", "requests may be repeated, but only one attempt is allowed")
	}
}

func (c *catalogCheck) checkUnusedServices() {
	for name := range c.services {
		if !c.targeted[name] {
			c.add(Warning, "service "+name, "remove it, or send a route to it", "no route can choose it")
		}
	}
}

// checkRegions reports routes that a workspace cannot use because no region is allowed by both.
func (c *catalogCheck) checkRegions() {
	for i := range c.doc.Routes {
		r := &c.doc.Routes[i]
		for _, w := range c.doc.Workspaces {
			if !r.Public && !catalog.HaveCommonRegion(r.Regions, w.Regions) {
				c.add(Error, "route "+r.Name, "allow a region to both", "it has no region in common with workspace %s", w.Name)
			}
		}
	}
}

func (c *catalogCheck) checkWorkspaces() {
	var names []string
	owners := map[string]string{} // workspaces by key
	for _, w := range c.doc.Workspaces {
		names = append(names, w.Name)
		object := "workspace " + w.Name
		if len(w.Keys) == 0 {
			c.add(Warning, object, "add a key, or remove the workspace", "it has no key, so no caller can use it")
		}
		if w.Prepaid != nil && *w.Prepaid == 0 {
			c.add(Warning, object, "pay in tokens, or remove the limit", "nothing is prepaid, so every request for tokens is refused")
		}
		for _, key := range w.Keys {
			owner, exists := owners[key]
			switch {
			case key == "":
				c.add(Error, object, "remove it", "an empty key admits callers without a key")
			case strings.ContainsFunc(key, isNotURLCharacter):
				c.add(Error, object, "replace the key", "a key can never match: it has characters that a header field cannot contain")
			case exists && owner != w.Name:
				c.add(Error, object, "give each workspace keys of its own", "workspace %s has the same key", owner)
			case exists:
				c.add(Warning, object, "remove one of them", "a key is listed twice")
			}
			owners[key] = w.Name
		}
	}
	c.addDuplicates("workspace", names)
}
