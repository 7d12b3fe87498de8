// Package shard runs the ledger shards of a failure domain: ownership by epoch,
// replication to a backup, takeover, handover, and all calls to the store for
// rights and bills.
//
// A Manager holds the shard replicas of one instance. All of their state is confined
// to one goroutine, the control goroutine; goroutines that wait for the store or for
// other instances post their results to it. A Router finds the owner of a shard for
// the request path.
//
// Safety depends on epochs and acknowledgements, never on clocks or leases: a change
// is acknowledged to the caller only after the backup named in the shard map holds it,
// and a takeover fetches the state from the old owner or the old backup, which then
// refuses the old epoch. Limits: a shard has at most one backup, so if both replicas
// are lost at once, the epoch is lost and its rights count as spent.
package shard
