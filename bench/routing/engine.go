package main

import (
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/routing"
)

const (
	engineCount             = 20 // as for the language model of deployment A
	slotsPerEngine          = 8  // requests that an engine runs concurrently
	cachedPrefixesPerEngine = 16
	instanceCount           = 8

	prefillTime        = 600 * time.Millisecond // without a cached prefix
	meanGenerationTime = 1500 * time.Millisecond
	reportInterval     = time.Second
)

// request is a request to the model.
type request struct {
	prefix         uint64        // identifies the prefix of the prompt
	arrival        time.Duration // simulated time
	generationTime time.Duration
	onDone         func()
}

// engine serves requests in order of arrival in a bounded number of slots.
type engine struct {
	id             string
	running        int
	waiting        []request
	cachedPrefixes []uint64 // least recently used first
}

// useCache reports whether the prefix is cached and marks it as the most recently
// used one. It evicts the least recently used prefix if the cache is full.
func (e *engine) useCache(prefix uint64) bool {
	i := slices.Index(e.cachedPrefixes, prefix)
	if i >= 0 {
		e.cachedPrefixes = slices.Delete(e.cachedPrefixes, i, i+1)
	}
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	if len(e.cachedPrefixes) > cachedPrefixesPerEngine {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	return i >= 0
}

// currentLoad returns the load report of the engine.
func (e *engine) currentLoad(at time.Time) routing.Load {
	return routing.Load{Running: e.running, Queued: len(e.waiting), AsOf: at, Incarnation: e.id}
}
