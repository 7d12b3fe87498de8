// Package engine is a stand-in for a model engine as docs/protocols.md describes
// it.
//
// Tokens depend on the prompt alone, so that a test can check that a response is
// complete and belongs to its request. A generation continues after its client
// has disconnected, until it is cancelled. There is no model, no prefix cache and
// no continuous batching; a bounded number of slots models the capacity.
package engine
