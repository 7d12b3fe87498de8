package catalog

import (
	"slices"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/pkg/tokens"
)

// Kind determines how a route's requests are answered and whether they may run more
// than once.
type Kind int

// Route kinds.
const (
	// NonRepeatable requests run at most once.
	NonRepeatable Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with numbered events. They run at most once
	// unless the route is Resumable.
	Stream
)

// String returns the name of the kind as it appears in logs.
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

// Route matches requests by host and path prefix and defines how they are
// handled.
type Route struct {
	Name string
	// Host is matched without regard to case or port. Prefix begins and ends with a
	// slash.
	Host, Prefix string
	Kind         Kind
	// Timeout bounds the time until the complete response, over all attempts.
	Timeout time.Duration
	// Objective is the target time to the first byte of the response.
	Objective time.Duration
	// Priority orders queued requests; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is the maximum number of times that one request is sent to an
	// endpoint.
	MaxAttempts int
	// Public is set if requests need no API key.
	Public bool
	// Affinity is set if requests list the parts of their prompt, so that they can
	// be sent to an endpoint that has them cached.
	Affinity bool
	// Resumable is set if a broken stream may continue at another endpoint after the
	// last event that the caller received.
	Resumable bool
	// Regions are the regions in which endpoints may get the requests, empty if all may.
	Regions []string `cbor:",omitempty"`
}

// IsRepeatable reports whether a request that may already have run can be sent
// again.
func (r *Route) IsRepeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Target is a service that serves a route. Weight is its share of the requests,
// relative to the weights of the route's other targets.
type Target struct {
	Service string
	Weight  float64
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the maximum number of connections that one endpoint accepts
	// from all clients together; 0 means no limit.
	MaxConnections int
	// Engine describes the inference engines of the service. It is nil if the
	// endpoints are ordinary applications.
	Engine *Engine
	// ColdStart is how long an endpoint is cold after it starts. ColdPerSecond is the number
	// of requests a second that a cold endpoint tolerates; 0 means no bound.
	ColdStart     time.Duration `cbor:",omitempty"`
	ColdPerSecond float64       `cbor:",omitempty"`
}

// Engine describes the inference engines of a service.
type Engine struct {
	// Slots is the batch size. CacheTokens is the number of tokens of running
	// requests and cached prompts together that fit into memory.
	Slots       int
	CacheTokens tokens.Count
	// TokensPerEvent is the maximum number of output tokens in one stream event.
	TokensPerEvent tokens.Count
}

// Workspace is a customer that pays in advance.
type Workspace struct {
	Name string
	// Keys are the workspace's API keys.
	Keys []string
	// Priority overrides the priority of the route if it is not nil.
	Priority *int
	// Prepaid is the total number of tokens that the workspace may consume; nil
	// means unlimited.
	Prepaid *tokens.Count
	// Regions are the regions in which endpoints may get the workspace's requests, empty if
	// all may. Those of the route bind as well.
	Regions []string `cbor:",omitempty"`
}

// Limits bounds the requests of callers; a zero field means no limit.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Catalog is an indexed Document. It is immutable.
type Catalog struct {
	*Document
	// PrepaidTotals maps the name of each limited workspace to its prepaid tokens.
	// It must not be modified.
	PrepaidTotals map[string]tokens.Count
	hosts         map[string][]*Route // by lower-case host, longest prefix first
	keys          map[string]*Workspace
	workspaces    map[string]*Workspace
	services      map[string]*Service
}

// Index returns the catalog of d. d must not be modified afterwards.
func Index(d *Document) *Catalog {
	c := &Catalog{Document: d, PrepaidTotals: map[string]tokens.Count{}, hosts: map[string][]*Route{}, keys: map[string]*Workspace{},
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

// Route returns the route of host with the longest prefix that matches path, or
// nil if there is none. host may include a port.
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

// WorkspaceByKey returns the workspace that owns an API key, or nil.
func (c *Catalog) WorkspaceByKey(key string) *Workspace { return c.keys[key] }

// Workspace returns the workspace called name, or nil.
func (c *Catalog) Workspace(name string) *Workspace { return c.workspaces[name] }

// Service returns the service called name, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Endpoint is one running process of a service.
type Endpoint struct {
	ID      string
	Service string
	Address string
	Domain  string
	Slots   int
	// Draining is set if the endpoint accepts no new requests.
	Draining bool
	// Started is the start time in Unix milliseconds, or 0 if it is unknown. An
	// endpoint that restarts under the same ID has lost its cache.
	Started int64
	// SoftwareVersion is the version of the endpoint's own software, not of the weights of
	// its model, or "" if it names none. Endpoints of equal versions continue each other's
	// streams.
	SoftwareVersion string `cbor:",omitempty"`
	// Cold is the time for which the endpoint is cold, or 0 if it is warm.
	Cold ColdPeriod `cbor:",omitzero"`
}

// ColdPeriod is a time in which an endpoint tolerates fewer requests. It is the same for the
// whole period, so that an endpoint list changes only at its start and its end.
type ColdPeriod struct {
	// Length is the longest time that the period lasts after an instance has learned of it.
	Length time.Duration `cbor:"1,keyasint,omitempty"`
	// Sequence tells successive periods of one process apart.
	Sequence uint64 `cbor:"2,keyasint,omitempty"`
}

// EndpointList holds the endpoints at one revision of the store.
type EndpointList struct {
	Revision  uint64
	Endpoints []Endpoint
}
