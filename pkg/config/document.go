package config

import "time"

// StoreKey is the key of the document in the platform store.
const StoreKey = "config"

// FormatVersion is the version of the stored form.
const FormatVersion = 1

// Document is the configuration shared by all instances.
type Document struct {
	Format     int    `cbor:"1,keyasint" json:"format"`
	Generation uint64 `cbor:"2,keyasint" json:"generation"`
	// Shards is the number of ledger shards in each failure domain. It cannot
	// change once the first document has been accepted.
	Shards     int         `cbor:"3,keyasint" json:"shards"`
	Domains    []string    `cbor:"4,keyasint" json:"domains"`
	Services   []Service   `cbor:"5,keyasint" json:"services"`
	Workspaces []Workspace `cbor:"6,keyasint" json:"workspaces"`
	// Drained are ids of endpoints that operators retired.
	Drained []string `cbor:"7,keyasint" json:"drained"`
	// Engines are the desired states of model engines, by endpoint id.
	Engines    []EngineState `cbor:"8,keyasint" json:"engines"`
	Objectives []Objective   `cbor:"9,keyasint" json:"objectives"`
	// Applied are the latest changes, oldest first.
	Applied []Change `cbor:"10,keyasint" json:"applied"`
}

// Change records an accepted change.
type Change struct {
	Command    string `cbor:"1,keyasint" json:"command"`
	Generation uint64 `cbor:"2,keyasint" json:"generation"`
	Operator   string `cbor:"3,keyasint" json:"operator"`
	Summary    string `cbor:"4,keyasint" json:"summary"`
}

// ServiceKind tells model services from app services.
type ServiceKind string

// Kinds of services.
const (
	ModelService ServiceKind = "model"
	AppService   ServiceKind = "app"
)

// Service routes to endpoints.
type Service struct {
	Name      string      `cbor:"1,keyasint" json:"name"`
	Kind      ServiceKind `cbor:"2,keyasint" json:"kind"`
	Endpoints []Endpoint  `cbor:"3,keyasint" json:"endpoints"`
	// Routes are the calls of an app service. The longest prefix wins.
	Routes []Route `cbor:"4,keyasint,omitempty" json:"routes,omitempty"`
	// MaxOutputTokens caps max_tokens of a model request.
	MaxOutputTokens int64 `cbor:"5,keyasint,omitempty" json:"max_output_tokens,omitempty"`
	// Timeout is the default deadline of a request.
	Timeout time.Duration `cbor:"6,keyasint" json:"timeout"`
	// FirstByteTimeout bounds the wait for the first byte of an endpoint, Idle the
	// wait between two events of a stream.
	FirstByteTimeout time.Duration `cbor:"7,keyasint" json:"first_byte"`
	IdleTimeout      time.Duration `cbor:"8,keyasint" json:"idle"`
	// Concurrency is the most requests in flight per endpoint and instance.
	Concurrency int `cbor:"9,keyasint" json:"concurrency"`
}

// Endpoint is a model engine or an app server.
type Endpoint struct {
	ID      string `cbor:"1,keyasint" json:"id"`
	Address string `cbor:"2,keyasint" json:"address"`
	Domain  string `cbor:"3,keyasint" json:"domain"`
	// ChecksFencing is true when the engine refuses orders with an old fencing
	// number.
	ChecksFencing bool `cbor:"4,keyasint,omitempty" json:"checks_fencing"`
}

// Route is one kind of call of an app service.
type Route struct {
	Method     string `cbor:"1,keyasint" json:"method"`
	PathPrefix string `cbor:"2,keyasint" json:"path_prefix"`
	// Price is the fixed cost of a call in tokens.
	Price      int64 `cbor:"3,keyasint" json:"price"`
	Repeatable bool  `cbor:"4,keyasint" json:"repeatable"`
}

// Workspace is a customer that pays in advance.
type Workspace struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// KeyHash is the hex SHA-256 of the workspace's API key.
	KeyHash string `cbor:"2,keyasint" json:"key_hash"`
	// DefaultBudget is charged when a request names none.
	// The names of all budgets are kept in the store, not here.
	DefaultBudget string `cbor:"3,keyasint" json:"default_budget"`
	// RatePerSecond limits requests per second and instance; 0 means no limit.
	RatePerSecond float64 `cbor:"5,keyasint,omitempty" json:"rate_per_second"`
	// Concurrency limits requests in flight per instance; 0 means no limit.
	Concurrency int `cbor:"6,keyasint,omitempty" json:"concurrency"`
}

// EngineState is what an engine should run.
type EngineState struct {
	Endpoint string   `cbor:"1,keyasint" json:"endpoint"`
	Model    string   `cbor:"2,keyasint" json:"model"`
	Version  string   `cbor:"3,keyasint" json:"version"`
	Adapters []string `cbor:"4,keyasint" json:"adapters"`
	Role     string   `cbor:"5,keyasint" json:"role"`
}

// Objective is a service-level objective for the burn report.
type Objective struct {
	Service string `cbor:"1,keyasint" json:"service"`
	// Target is the share of good requests, for example 0.95.
	Target float64 `cbor:"2,keyasint" json:"target"`
	// MaxFirstTokenDelay and BetweenTokens bound a good request.
	MaxFirstTokenDelay time.Duration `cbor:"3,keyasint" json:"first_token"`
	MaxTokenInterval   time.Duration `cbor:"4,keyasint" json:"between_tokens"`
}

// Service returns the service called name.
func (d *Document) Service(name string) (Service, bool) {
	for _, s := range d.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// WorkspaceByKeyHash returns the workspace with the given key hash.
func (d *Document) WorkspaceByKeyHash(hash string) (Workspace, bool) {
	for _, w := range d.Workspaces {
		if w.KeyHash == hash {
			return w, true
		}
	}
	return Workspace{}, false
}
