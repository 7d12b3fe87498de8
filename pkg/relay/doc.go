// Package relay carries one attempt of a request to one endpoint over HTTP.
//
// A model call is always made as a stream of server-sent events. The relay
// drops duplicate events, restores the order of events within a small window
// and resumes a gap, a broken connection or a silent connection at the same
// endpoint. An app call is plain HTTP; a call that may not be repeated uses a
// connection of its own and reports whether any byte may have been written.
//
// Limits: the package chooses no endpoint and retries no attempt elsewhere. It
// keeps no state of a request after the attempt has ended.
package relay
