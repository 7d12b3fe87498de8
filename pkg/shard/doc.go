// Package shard runs the ledger shards of a failure domain: ownership by epoch,
// replication to a backup, takeover, handover, and all calls to the store for
// rights and bills.
//
// A Manager holds the replicas of one instance. One goroutine owns all of their
// state; goroutines that wait for the store or for other instances post their
// results to it. A Router finds the owner of a shard for the request path.
//
// Safety rests on epochs and acknowledgements, never on clocks or leases: a
// change is answered only after the backup that the shard map names holds it,
// and a takeover gets the state from the old owner or the old backup, which then
// refuse the old epoch. Limits: a shard has at most one backup, so losing both
// replicas at once loses the epoch, whose rights then count as spent.
package shard
