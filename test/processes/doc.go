// Package processes contains fault tests with a fleet of separate processes. They
// need the build tag "processes", the binaries of `make build` and some minutes
// of real time; `make faults` runs them.
package processes
