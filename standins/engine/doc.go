// Package engine is a stand-in of a model engine, as docs/protocols.md describes
// it.
//
// Tokens are a function of the prompt alone, so that a test can tell whether an
// answer is whole and belongs to its request. A generation goes on when its
// reader leaves, until it is cancelled. Limits: there is no model, no prefix
// cache and no continuous batching; a bounded number of slots stands for it.
package engine
