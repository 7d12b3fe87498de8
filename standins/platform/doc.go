// Package platform is a stand-in for the platform's store and instance list. It
// serves the protocol of docs/protocols.md from the in-memory store of
// pkg/kvstore/kvstoretest and can inject faults.
//
// It writes nothing to disk, does not limit the rate of calls and does not
// authenticate clients.
package platform
