// Package lineage remembers which software version of a service began each stream, so that a
// stream that broke off goes on only at endpoints of that version.
//
// Each instance remembers the streams that it has sent events of. While more than one version
// of a service is possible, it also writes them to the store, where all instances find them.
// Which versions are possible is known from the list of endpoints and from a durable record
// that outlasts the end of all instances. What is not known is refused, never guessed.
package lineage
