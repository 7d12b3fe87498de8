// Package routing selects endpoints and limits the requests in flight on them.
//
// A Pool holds the endpoints of all services. Acquire waits in a priority queue
// for a slot on an endpoint; Release returns the slot. Limits: the package
// performs no I/O and starts no goroutine. The state of endpoints reaches it only
// through Update, Observe, Drain, MarkDown and SetPlatformList. Its errors carry no
// outcome, because only the caller knows whether an earlier attempt of the
// request ran.
package routing
