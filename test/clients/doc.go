// Package clients starts a real process of clementinerack-entry and sends it what callers
// outside any control may send: bodies, heads and connections without end, and answers that
// nobody reads. It checks that the process lives, that its memory and its open descriptors stay
// within the settings, and that an ordinary caller is answered while the crowd stays connected.
//
// The tests depend on no speed. Each starts its own process; they run one after the other, and
// `make test` runs the package apart from all others.
package clients
