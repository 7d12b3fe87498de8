// Package failure defines the typed errors of the project.
//
// Each error has a kind that programs can switch on, a message, a remedy for
// the reader, and, where it answers a caller's request, the outcome of that
// request. Limits: the package knows nothing of HTTP beyond the problem+json
// form (RFC 9457) and the status code that belongs to a kind.
package failure
