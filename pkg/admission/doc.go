// Package admission decides which requests wait for something that is short, in which order
// they get it, which are refused, and when those should come back.
//
// A Queue orders the requests that wait. Supply estimates how long they wait, Decide says
// whether and until when a request waits, and Returns names the moments at which refused
// callers come back. What is short may be slots of endpoints or rights of a workspace.
// Limits: the package performs no I/O, starts no goroutine and reads no clock; its users
// guard the state of a queue by a mutex of their own.
package admission
