// Package node assembles an instance that forwards requests on declared routes.
//
// The parts that speak to a particular platform come in through Options: the
// store, the source of declarations and endpoints, and the codec of header
// fields. The package owns the listeners, the start and the graceful stop.
package node
