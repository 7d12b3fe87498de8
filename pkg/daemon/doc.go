// Package daemon assembles one instance from its settings: it builds and connects
// the components, serves the four listeners, and stops gracefully.
//
// It is the only package that depends on all components. Its only state of its own is
// whether the instance is stopping.
package daemon
