// Package relay sends one attempt of a request to one endpoint over HTTP and
// passes the answer on.
//
// A model call is always made as a stream of server-sent events. The relay
// drops duplicate events and restores the order of events within a small
// window. After missing events, a broken connection or a silent connection it
// resumes the stream at the same endpoint. An app call is plain HTTP. A call
// that is not repeatable uses a new connection, and its result says whether any
// byte may have been written.
//
// Limits: the package does not choose endpoints and does not retry at another
// one. It keeps no state of a request after the attempt has ended.
package relay
