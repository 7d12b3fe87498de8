// Package rights holds the part of each workspace's prepaid tokens that this
// instance may spend.
//
// The store has one record per ledger shard with the tokens granted so far, by
// workspace. An instance takes rights by raising that sum under a condition on
// the record's revision, never above what is prepaid, and spends only what it
// holds. Instances also move rights between each other while the store is away.
// Whatever an instance holds when it dies stays granted: it is lost to the
// workspace, but nothing can be spent twice.
//
// Each transaction also writes the holder's own record under a condition on its
// revision. A transaction without an answer is repeated unchanged: it is then
// applied once, or the conflict shows whether the first one was, and in both
// cases no later effect is possible.
package rights
