// Package gateway forwards requests on declared routes unchanged.
//
// A request is matched to a route and a workspace, reserves the rights that it may
// use, is sent to one endpoint, and is answered with the status, header and body of
// the endpoint. It is retried only if no endpoint has run it or if the kind of its
// route permits another run. Streams are forwarded event by event; a resumable
// stream continues at another endpoint after the last complete event.
//
// A response with the outcome "not-run" is sent only while no endpoint may have
// read the request. The names of header fields are left to the Codec.
package gateway
