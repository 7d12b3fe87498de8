// Package operator serves the operators' HTTP API.
//
// Queries change nothing; commands carry an id, so that a command whose answer
// was lost can be repeated on any instance. Fleet-wide parts are provided by the
// daemon through the interface Fleet; StoreBackend has those that need only the
// platform store and the configuration. Limits: a query of budgets reads at most
// MaxBudgetsPerQuery records, because each is one call of the store.
package operator
