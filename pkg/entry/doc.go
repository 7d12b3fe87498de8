// Package entry serves the callers' HTTP API: chat completions, app calls and
// request ids.
//
// For each request the package authenticates the caller, validates the request,
// asks the owner of the ledger shard to admit it, sends it to an endpoint and
// settles its cost. The instance that does this is the dispatcher of the
// request. A repeat of a request that is still running reads the answer from
// its dispatcher.
//
// If the caller knows the id of a request, the outcome "not-run" is reported
// only after the owner has recorded it. A call that is not repeatable is never
// sent again once any of its bytes may have been written. A stream ends cleanly
// only when it is complete.
//
// Limits: requests in flight are kept in memory only. A chat request has one
// choice (n = 1) and text content only, because the cost of other content
// cannot be bounded by its size.
package entry
