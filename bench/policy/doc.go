// Package policy is a benchmark of budget enforcement. It measures overspend,
// false refusals, store calls and messages between instances, and compares the
// sharded ledger with two baselines: a fixed split of each budget among the
// failure domains, and a store update for each request.
//
// It runs the real shard managers, routers, ledger, membership and grant policy
// over the in-memory store and network on a fake clock. An hour of a deployment
// takes seconds, and the results do not depend on the load of the machine. The
// benchmark is a test with the build tag "bench"; run it with "make bench".
//
// Limits: an endpoint is only a delay and a cost, callers retry at another
// instance only after theirs was killed, and message sizes are those of the CBOR
// bodies without WebSocket and TCP headers.
package policy
