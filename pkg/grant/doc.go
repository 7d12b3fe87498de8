// Package grant implements the policy for the size of a shard's rights on a budget.
//
// Two aims compete: large early grants let a failure domain go on serving while
// it is cut off from the store, and small late grants avoid refusals while
// another domain holds idle rights. The policy requests recent demand times a
// horizon, never more than a part of what is unassigned, and returns idle rights.
//
// The package is pure: it does no I/O and reads no clock. The policy sees only one
// shard and the budget record, not the demand of other domains.
package grant
