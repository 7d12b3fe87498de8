// Package fleet starts a small fleet of separate processes on the loopback
// interface: the platform, engine and app stand-ins and the daemons. The demo,
// the process-level fault tests and the benchmark use it. It signals only
// processes that it started.
package fleet
