package catalog

import (
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind int

// Kinds of routes.
const (
	// NonRepeatable requests run at most once.
	NonRepeatable Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with numbered events. They run at most once
	// unless the route is Resumable.
	Stream
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	return [...]string{"non-repeatable", "idempotent", "stream"}[k]
}

// Document is one version of the declarations.
type Document struct {
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Route selects requests by host and path prefix and says how they are handled.
type Route struct {
	Name string
	// Host is compared without a port; Prefix begins and ends with a slash.
	Host, Prefix string
	Kind         Kind
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// Objective is the time to the first byte of an answer that callers expect.
	Objective time.Duration
	// Priority ranks requests; 0 goes first.
	Priority int
	Targets  []Target
	// MaxAttempts is the most endpoints to which one request may be sent.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Affinity marks requests that name the parts of their prompt.
	Affinity bool
	// Resumable streams may go on at another endpoint after the last event.
	Resumable bool
}

// IsRepeatable reports whether a request that may have run can be sent again.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Target is a service of a route and its share of the requests.
type Target struct {
	Service string
	Weight  float64
}

// Service is a group of endpoints that are alike.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the most connections that one endpoint accepts from all
	// callers together; 0 means no limit.
	MaxConnections int
	// Engine is nil for app services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the batch size, CacheTokens the memory for running requests and
	// cached prompts together.
	Slots       int
	CacheTokens int64
	// TokensPerEvent is the most output tokens in one event of a stream.
	TokensPerEvent int64
}

// Workspace is a customer that pays in advance.
type Workspace struct {
	Name string
	Keys []string
	// Priority replaces the route's if it is set.
	Priority *int
	// Prepaid is the total of tokens that the workspace may consume; nil means
	// that it is not limited.
	Prepaid *int64
}

// Limits bound what callers may send; a zero value means no limit.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Catalog is an indexed Document. It is immutable.
type Catalog struct {
	*Document
	// PrepaidTotals is the prepaid total of each limited workspace, by name. It must not change.
	PrepaidTotals map[string]int64
	hosts         map[string][]*Route // longest prefix first
	keys          map[string]*Workspace
	workspaces    map[string]*Workspace
	services      map[string]*Service
}

// Index returns the catalog of a document, which must not change afterwards.
func Index(d *Document) *Catalog {
	c := &Catalog{Document: d, PrepaidTotals: map[string]int64{}, hosts: map[string][]*Route{}, keys: map[string]*Workspace{},
		workspaces: map[string]*Workspace{}, services: map[string]*Service{}}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range d.Workspaces {
		w := &d.Workspaces[i]
		c.workspaces[w.Name] = w
		if w.Prepaid != nil {
			c.PrepaidTotals[w.Name] = *w.Prepaid
		}
		for _, k := range w.Keys {
			c.keys[k] = w
		}
	}
	for i := range d.Services {
		c.services[d.Services[i].Name] = &d.Services[i]
	}
	return c
}

// Route returns the route with the longest prefix of path among those of host,
// or nil. host may carry a port.
func (c *Catalog) Route(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// WorkspaceByKey returns the workspace that holds an API key, or nil.
func (c *Catalog) WorkspaceByKey(key string) *Workspace { return c.keys[key] }

// Workspace returns the workspace with a name, or nil.
func (c *Catalog) Workspace(name string) *Workspace { return c.workspaces[name] }

// Service returns the service with a name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Endpoint is one running process of a service.
type Endpoint struct {
	ID      string
	Service string
	Address string
	Domain  string
	Slots   int
	// Draining endpoints get no new work.
	Draining bool
	// Started is the time of the start, in Unix milliseconds, if it is known. An
	// endpoint that starts again under its id has lost its cache.
	Started int64
}

// EndpointList is the endpoints at one revision of the store.
type EndpointList struct {
	Revision  uint64
	Endpoints []Endpoint
}
