// Package config holds the configuration document that all instances share,
// validates and versions it, and distributes it from the platform store and
// between instances.
//
// A document is accepted by compare-and-swap on the store and is never replaced
// by one of a lower generation. It must fit into one value of the store (1 MB);
// budgets are therefore stored as separate records.
package config
