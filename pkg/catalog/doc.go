// Package catalog holds the operators' declarations for transparent routes and
// the list of registered endpoints.
//
// A Document is one version of the declarations, a Catalog is its index, and an
// EndpointList holds the endpoints at one revision of the store. A Replica keeps
// both up to date from a Source and, while the source is unavailable, from other
// instances. It never reverts to an older version.
package catalog
