// Package endpoint contains the common part of the engine and app stand-ins:
// fault injection, counts of executions, and the HTTP server.
//
// It is for tests and the demo only: nothing is authenticated or persisted.
package endpoint
