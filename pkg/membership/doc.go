// Package membership tracks which instances are live.
//
// Instances exchange heartbeats with all instances of their own failure domain
// and with a few of every other domain, so an instance's traffic does not grow
// with the size of the other domains. An instance is live while a heartbeat from
// it arrived within the heartbeat timeout. Addresses come from the seeds, from
// the platform's list, which lags, and from peers.
//
// Limits: liveness is the local view of this instance. Views of two instances
// may differ, so safety must depend on epochs and compare-and-swap. In other
// domains only the instances that exchange heartbeats with this one are known to
// be live.
package membership
