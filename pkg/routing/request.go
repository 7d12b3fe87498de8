package routing

import (
	"math/rand/v2"
	"time"
)

// Priority is the scheduling class of a request. A lower value is served first.
type Priority int

// Priorities of requests.
const (
	High Priority = iota
	Normal
	Low
)

// Request asks for a slot on an endpoint of a service.
type Request struct {
	Service  string
	Priority Priority
	// Workspace shares slots fairly with others of the same priority. It may be empty.
	Workspace string
	// Affinity is a hash of the prompt's prefix; 0 means none.
	Affinity uint64
	// Exclude holds the ids of endpoints that must not be chosen.
	Exclude map[string]bool
	// Isolate marks a request that is suspected of crashing endpoints. An
	// endpoint runs at most one such request of this pool at a time.
	Isolate bool
	// Deadline bounds the wait. If it is zero, only the context does.
	Deadline time.Time
}

// Result is the outcome of a request that held a slot.
type Result struct {
	// Duration is how long the slot was in use.
	Duration time.Duration
	// Failed excludes Duration from the service time estimate.
	Failed bool
}

// Load is an endpoint's report of its load, as it was at AsOf.
type Load struct {
	// Running and Queued count the requests at the endpoint from all instances.
	Running, Queued int
	// AsOf is when the endpoint measured the load.
	AsOf time.Time
	// Draining is true when the endpoint asks for no new work.
	Draining bool
	// Incarnation identifies the endpoint's process.
	Incarnation string
}

// Options configure a Pool. Zero fields get defaults.
type Options struct {
	// Concurrency is the limit of requests in flight per endpoint for services
	// that set none; the default is 64.
	Concurrency int
	// QueueLimit bounds the waiting requests of one service; the default is 1024.
	QueueLimit int
	// LoadHalfLife is the age at which reported load counts half; the default is
	// 500 ms.
	LoadHalfLife time.Duration
	// SpillMargin is the number of requests by which the load of the preferred
	// endpoint of a prefix may exceed that of the second one before the request
	// goes to the second one; the default is 1.
	SpillMargin float64
	// Seed makes the random choices reproducible; 0 means a random seed.
	Seed uint64
	// Now is the clock; the default is time.Now.
	Now func() time.Time
}

const (
	defaultConcurrency  = 64
	defaultQueueLimit   = 1024
	defaultLoadHalfLife = 500 * time.Millisecond // reports are up to 1.5 s old; see docs/decisions/routing-policy.md
	defaultSpillMargin  = 1                      // with a larger one, waiting takes longer than computing the prefix again
)

func (o Options) withDefaults() Options {
	if o.Concurrency <= 0 {
		o.Concurrency = defaultConcurrency
	}
	if o.QueueLimit <= 0 {
		o.QueueLimit = defaultQueueLimit
	}
	if o.LoadHalfLife <= 0 {
		o.LoadHalfLife = defaultLoadHalfLife
	}
	if o.SpillMargin <= 0 {
		o.SpillMargin = defaultSpillMargin
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}
