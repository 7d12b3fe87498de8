// Package gateway forwards requests on declared routes unchanged.
//
// A request is matched to a route and a workspace, charged to the rights that
// this instance holds, sent to one endpoint, and answered with the endpoint's
// own status, header and body. It is sent again only if it did not run, or if
// its kind permits a repetition. A stream is forwarded event by event and goes on
// at another endpoint only after the last whole event.
//
// "Not run" (a refusal) is told only while no endpoint may have read the request.
// Limits: names of header fields are the Codec's, not this package's.
package gateway
