// Package soak plays random faults against real processes of clementinerack-entry on
// one machine and checks what callers and runners see.
//
// The processes are built from this tree, listen on loopback addresses of their own and
// reach the stand-in of the store through one proxy each, which delays, cuts one way,
// silences or resets its connections. Processes are killed, paused, stopped and started
// again by signals; the store refuses, loses and delays calls; runners break off. The
// order of faults follows from a seed, their exact effect also from the scheduling of
// the processes.
//
// `go test ./test/soak` plays one short seed; `make soak` plays many.
package soak
