// Package entry serves the callers' HTTP API: chat completions, app calls and
// request ids.
//
// For each request it authenticates the caller, checks the request, asks the
// owner of the ledger shard to admit it, sends it to an endpoint and settles its
// cost. A request that another instance runs is attached to there.
//
// "Not run" is told about an id that the caller knows only after the owner has
// recorded it. Bytes that may have left for a call that is not repeatable are
// never sent again. A stream ends cleanly only when it is complete.
//
// Limits: the package keeps requests in flight in memory only. It chooses one
// alternative per chat request (n = 1) and accepts text content only, because
// the cost of other content cannot be bounded by its size.
package entry
