// Package orders brings model engines to the state that the configuration desires.
//
// One instance at a time sends orders to an engine: the holder of the platform
// lease orders/<endpoint>, whose token is the fencing token of each order. An
// instance sends no order after the end of its lease. An order that is delayed past
// that end is refused by engines that check the token. Engines that ignore it are
// read back in every round and get new orders until they have the desired state. No
// orders are sent while the store is unavailable, and an engine that ignores
// fencing can run an older state until the next round.
package orders
