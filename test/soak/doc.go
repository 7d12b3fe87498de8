// Package soak injects random faults into real processes of clementinerack-entry on
// one machine and checks the results that callers and runners see.
//
// The processes are built from this tree and listen on separate loopback addresses. Each
// reaches the stand-in of the store through a proxy, which delays its connections, drops
// the bytes of one or both directions, or refuses and resets connections. Processes are
// killed, paused, stopped and restarted by signals; the store refuses, loses and delays
// calls; runners refuse requests, send copies of refusals and interrupt answers. The
// sequence of faults is derived from a seed; their exact effect also depends on the
// scheduling of the processes. Runners are replaced by those of other versions, and callers
// take up streams that break off.
//
// `go test ./test/soak` runs one short seed; `make soak` runs many.
package soak
