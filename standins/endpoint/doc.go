// Package endpoint holds what the stand-ins of engines and app servers share:
// test switches, counts of executions, and the HTTP server.
//
// Limits: for tests and the demo only; nothing is authenticated or persisted.
package endpoint
