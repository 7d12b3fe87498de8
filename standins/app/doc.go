// Package app is a stand-in of an app server, as docs/protocols.md describes it.
//
// It executes a call each time it arrives and counts executions by X-Request-Id,
// so that a test sees a doubled booking. Limits: it holds no records; an answer
// is derived from the request alone.
package app
