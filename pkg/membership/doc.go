// Package membership tells which instances are live.
//
// All instances of a failure domain exchange heartbeats with each other, and
// each instance does so with a few of every other domain, so the traffic of an
// instance does not grow with the number of domains' members elsewhere. An
// instance is live while something was heard from it within the silence time.
// Addresses come from seeds, from the platform's lagging list and from peers.
//
// Limits: liveness is an opinion of this instance. Two instances may disagree,
// and safety must rest on epochs and compare-and-swap. Of other domains only
// the instances with heartbeats to this one are known to be live.
package membership
