// Package policy measures the budget policy: overspend, false refusals, store
// calls and messages between instances, against a fixed split and a store call
// per request.
//
// It runs the real shard managers, routers, ledger, membership and grant policy
// over the in-memory store and network on a fake clock, so an hour of a
// deployment takes seconds and a run does not depend on the load of the machine.
// The benchmark is a test with the build tag "bench"; run it with "make bench".
// Limits: endpoints are a delay and a cost, callers retry only after an instance
// was killed, and message sizes are CBOR bodies without WebSocket and TCP headers.
package policy
