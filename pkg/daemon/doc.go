// Package daemon assembles one instance from its settings: it builds the
// components, connects them, serves the four listeners, and stops gracefully.
//
// It is the only package that knows all others and holds no state of its own
// beyond readiness.
package daemon
