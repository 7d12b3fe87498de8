// Package rights holds the part of each workspace's prepaid tokens that this
// instance may spend.
//
// Workspaces are spread over a fixed number of shard records in the store. Each
// record has the sum of the tokens granted so far, by workspace. An instance takes
// rights by raising that sum in a transaction conditional on the record's revision, never
// above what is prepaid, and spends only what it holds. While the store is
// unreachable, instances transfer rights between each other. Whatever an instance
// holds when it dies stays granted: it is lost to the workspace, but no token is
// spent twice.
//
// Each transaction also writes the instance's own holder record under a condition
// on that record's revision, which makes transactions idempotent. A transaction
// without an answer is repeated unchanged: either it takes effect exactly once, or
// the conflict shows whether an earlier attempt took effect. In both cases no
// attempt can take effect later.
package rights
