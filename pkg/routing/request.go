package routing

import (
	"math/rand/v2"
	"time"
)

// Priority is the class of a request. A lower number goes first.
type Priority int

// Priorities of requests.
const (
	High Priority = iota
	Normal
	Low

	priorities = int(Low) + 1
)

// Request asks for a slot on an endpoint of a service.
type Request struct {
	Service  string
	Priority Priority
	// Affinity is a hash of the prompt's prefix; 0 means none.
	Affinity uint64
	// Exclude are ids of endpoints that must not be chosen.
	Exclude map[string]bool
	// Isolate marks a request that is suspected of crashing endpoints. An
	// endpoint runs at most one of them at a time for this pool.
	Isolate bool
	// Deadline bounds the wait; the zero time means no bound but the context.
	Deadline time.Time
}

// Result is what a request reports about its endpoint.
type Result struct {
	// Duration is the time for which the slot was in use.
	Duration time.Duration
	// Failed excludes Duration from the service time estimate.
	Failed bool
}

// Load is an endpoint's own report. It lags behind.
type Load struct {
	Running, Queued int
	// AsOf is when the endpoint measured the load.
	AsOf        time.Time
	Draining    bool
	Incarnation string
}

// Options tune a Pool. Zero fields get defaults.
type Options struct {
	// Concurrency is the limit per endpoint of services that set none.
	Concurrency int
	// QueueLimit is the most waiting requests of one service.
	QueueLimit int
	// LoadHalfLife is the age at which reported load counts half.
	LoadHalfLife time.Duration
	// SpillMargin is the load by which the preferred endpoint of a prefix may
	// exceed the second one before the request goes to the second one.
	SpillMargin float64
	// Seed makes the random choices reproducible; 0 takes a random seed.
	Seed uint64
	// Now is the clock; the default is time.Now.
	Now func() time.Time
}

const (
	defaultConcurrency  = 64
	defaultQueueLimit   = 1024
	defaultLoadHalfLife = 500 * time.Millisecond // reports are up to 1.5 s old; see docs/decisions/routing-policy.md
	defaultSpillMargin  = 1                      // a larger one waits longer than computing the prefix again takes
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
