// Package probe polls endpoints and the platform's instance list and feeds the
// results to the routing pool.
//
// An endpoint counts as dead when it refuses connections or answers with a new
// incarnation. Silence only marks it down after two probes, because a single
// connection can go silent while the endpoint lives. Limits: the probe rate of
// an instance is bounded, so with many endpoints each one is asked less often;
// the drain header on ordinary answers is faster then.
package probe
