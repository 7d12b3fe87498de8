// Package emulator computes what a model engine does with its requests, on a clock
// that the caller advances: continuous batching, prompts that are read in chunks
// beside the generation, a prefix cache with eviction, and preemption when memory is
// short.
//
// In each step every generating request gets one token, and up to a chunk of prompt
// tokens is read, the most urgent request first. Reading makes the step longer for
// all. Shared parts of prompts stay cached after their request and yield to requests
// when memory is short, the one used longest ago first. A request that finds no
// memory takes the place of a less urgent one, which is read again later.
//
// Limits: whole parts are cached or not, there are no blocks; there is no transfer
// between engines, no hold and no pin.
package emulator
