// Package upstream sends single HTTP/1.1 requests to endpoints over kept
// connections.
//
// It never repeats a request by itself, follows no redirect and decodes no
// content. Each failure says whether the endpoint may have read the request. A
// connection is used again only after a whole answer and only while nothing
// else arrived on it; answers that belong to another request are skipped.
package upstream
