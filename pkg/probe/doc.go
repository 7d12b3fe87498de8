// Package probe polls endpoints and the platform's instance list and passes the
// results to the routing pool.
//
// An endpoint counts as dead if it refuses connections or reports a new incarnation.
// Probes that fail in another way mark it down only after two in a row, because a
// single connection can stop responding while the endpoint is alive. Limits: the
// probe rate of an instance is bounded, so with many endpoints each one is probed
// less often; the drain header on ordinary responses then reports a drain earlier.
package probe
