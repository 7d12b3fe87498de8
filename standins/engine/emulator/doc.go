// Package emulator simulates the scheduler of a model engine on a clock that the
// caller advances. It models continuous batching, chunked prefill, a prefix cache
// with eviction, and preemption when slots or memory run out.
//
// In each step, every decoding request generates one token, and at most
// Options.MaxPrefillTokens prompt tokens are prefilled, in order of priority. The
// prefill lengthens the step for all requests. The shared parts of a prompt stay in
// the cache after the request has ended and are evicted in LRU order when a request
// needs their memory. A request that finds no slot or memory preempts a less urgent
// one, which is prefilled again later.
//
// Limits: parts are cached as a whole and not in blocks, engines do not transfer
// cached parts, and cached parts cannot be held or pinned.
package emulator
