// Package grant is the policy for the size of a shard's rights on a budget.
//
// Two aims compete: large early grants let a failure domain go on serving while
// it is cut off from the store, and small late grants avoid refusals while
// another domain holds idle rights. The policy asks for recent demand times a
// horizon, never for more than a part of what is left, and gives back what has
// been idle. The package is pure. Limits: it sees one shard and the budget
// record, not the demand of other domains.
package grant
