// Package upstream sends single HTTP/1.1 requests to endpoints over persistent
// connections.
//
// It never retries a request, follows no redirects and decodes no content. Each
// error says whether the endpoint may have read the request. A connection is reused
// only after a complete response and only if nothing else has arrived on it.
// Responses that belong to another request are skipped.
package upstream
