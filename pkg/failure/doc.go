// Package failure defines the typed errors of the project.
//
// Each error has a kind that programs can switch on, a message, and a remedy that
// tells the reader what to do. An error in response to a caller's request also has
// the outcome of that request. Limits: the package supports no part of HTTP other
// than problem details (RFC 9457) and the status code of each kind.
package failure
