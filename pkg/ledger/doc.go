// Package ledger implements the state machine of one ledger shard: the rights
// that the shard holds on prepaid budgets, the records of the requests charged
// to them, and the bill lines. It also defines the budget record in the platform
// store.
//
// The package does no I/O and starts no goroutines. Changes are planned as
// mutations and then applied, so that the owner of a shard and its backup reach
// the same state from the same sequence of mutations. A State is not safe for
// concurrent use, and the caller must replicate each mutation before it acts on
// the result.
package ledger
