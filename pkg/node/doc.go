// Package node assembles an instance that forwards requests on declared routes.
//
// Platform-specific parts are passed in Options: the store, the source of
// declarations and endpoints, and the codec of header fields. The package owns
// the listeners, the startup and the graceful shutdown.
package node
