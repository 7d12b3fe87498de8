// Package platform is a stand-in for the platform store and instance list. It
// serves the protocol of docs/protocols.md, with its test switches, from the
// in-memory store of pkg/kvstore/kvstoretest.
//
// Limits: nothing is kept on disk, calls are not rate-limited, and there is no
// authentication.
package platform
