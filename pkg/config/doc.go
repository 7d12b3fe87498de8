// Package config holds the configuration document that all instances share,
// the rules for its generations, and its spread from the platform store and
// between instances.
//
// A document is accepted by compare-and-swap on the store and never replaced by
// one of a lower generation. Limits: the document must fit into one value of
// the store (1 MB), so budgets are records of their own.
package config
