// Package catalog holds what operators declare for transparent routes and what
// endpoints say of themselves.
//
// A Document is one version of the declarations, a Catalog its index, an
// EndpointList the endpoints at one revision of the store. A Replica keeps both
// current from a Source and, while the source is away, from other instances. It
// never goes back to an older version.
package catalog
