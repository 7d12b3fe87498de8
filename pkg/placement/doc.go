// Package placement chooses the endpoint for a request.
//
// The choice minimizes the expected time to the first byte. The cost of an
// endpoint counts the prompt tokens that it has not cached, the work that this
// instance has sent there and that has not started, and its recently observed lag
// and failures. Rendezvous hashing ranks the endpoints for a prompt alike on all
// instances, so that the shared parts of a prompt are processed once. The cost
// also balances load that is skewed towards a few prompts and avoids slow, failing
// or unreachable endpoints and partitioned failure domains.
//
// The package performs no I/O, starts no goroutine and takes the time as a
// parameter.
package placement
