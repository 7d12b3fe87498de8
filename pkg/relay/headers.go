package relay

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110,
// section 7.6.1) and those that net/http sets by itself.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// ownHeaderPrefix is the prefix of the headers that callers and this project
// exchange.
const ownHeaderPrefix = "Clementinerack-"

// forwardableHeaders returns the headers of a caller that an app may see. They
// include neither the workspace's key nor Idempotency-Key: with the latter,
// net/http would retry a request by itself.
func forwardableHeaders(h http.Header) http.Header {
	out := endToEndHeaders(h)
	for _, name := range []string{"Authorization", "Idempotency-Key", "X-Idempotency-Key", requestIDHeader, clientHeader,
		"X-Http-Method-Override", "X-Http-Method", "X-Method-Override"} {
		out.Del(name)
	}
	deleteOwnHeaders(out)
	return out
}

func deleteOwnHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, ownHeaderPrefix) {
			h.Del(name)
		}
	}
}

// endToEndHeaders returns a copy without the hop-by-hop headers.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, names := range h.Values("Connection") {
		for name := range strings.SplitSeq(names, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
