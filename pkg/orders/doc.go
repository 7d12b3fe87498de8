// Package orders brings model engines to the state that the configuration wants.
//
// One instance at a time orders an endpoint: the holder of the platform lease
// orders/<endpoint>, whose token is the fencing number on each order. An
// instance stops at the end of its own lease. An order that was delayed past
// that end is refused by engines that check the number; engines that ignore it
// are read back, in every round, and ordered again until they agree. Limits: no
// orders are given while the store is unavailable, and an engine that ignores
// fencing can run an older state until the next round.
package orders
