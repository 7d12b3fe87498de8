// Package app is a stand-in for an app server as docs/protocols.md describes it.
//
// It executes each call that arrives and counts executions by X-Request-Id, so
// that a test can detect a duplicated booking. It stores no records: a response
// depends on the request alone.
package app
