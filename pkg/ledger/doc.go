// Package ledger is the pure state of one ledger shard: the rights that the
// shard holds on prepaid budgets, the records of the requests charged to them,
// and the bill lines. It also defines the budget record in the platform store.
//
// The package does no input or output and starts no goroutine. Changes are
// planned as mutations and then applied, so that the owner of a shard and its
// backup reach the same state from the same mutations. Limits: a State is not
// safe for concurrent use; the caller replicates each mutation before it acts
// on the result.
package ledger
