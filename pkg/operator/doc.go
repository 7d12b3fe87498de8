// Package operator serves the operators' HTTP API.
//
// Queries are read-only. Commands carry an id, so that a command whose answer was
// lost can be repeated on any instance without a second effect. StoreBackend
// implements the calls that need only the platform store and the configuration;
// the daemon implements the calls that reach other instances, see Fleet. A query
// of budgets makes at most MaxBudgetsPerQuery reads of the store.
package operator
