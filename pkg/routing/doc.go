// Package routing selects endpoints and bounds the work given to them.
//
// A Pool holds the endpoints of all services. Acquire waits in a priority queue
// for a slot on an endpoint; Release returns it. Limits: the package performs no
// I/O, starts no goroutine and knows the endpoints only through Update, Observe,
// Drain, MarkDown and SetPlatformList. Its errors carry no outcome, because only
// the caller knows whether an earlier attempt of the request ran.
package routing
