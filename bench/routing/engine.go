package main

import (
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/routing"
)

const (
	engines   = 20 // runners of deployment A's language model
	slots     = 8  // sequences that an engine generates at once
	cacheSize = 16 // prefixes that an engine keeps
	instances = 8

	prefill     = 600 * time.Millisecond // of a prefix that is not cached
	generation  = 1500 * time.Millisecond
	reportEvery = time.Second
)

// job is one request.
type job struct {
	prefix  uint64
	arrived time.Duration
	length  time.Duration // of the generation
	done    func()
}

// engine serves jobs in order of arrival with a bounded number of slots.
type engine struct {
	id      string
	running int
	queue   []job
	cache   []uint64 // least recently used first
}

// lookup reports whether the prefix is cached, and caches it.
func (e *engine) lookup(prefix uint64) bool {
	i := slices.Index(e.cache, prefix)
	if i >= 0 {
		e.cache = slices.Delete(e.cache, i, i+1)
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > cacheSize {
		e.cache = e.cache[1:]
	}
	return i >= 0
}

func (e *engine) load(at time.Time) routing.Load {
	return routing.Load{Running: e.running, Queued: len(e.queue), AsOf: at, Incarnation: e.id}
}
