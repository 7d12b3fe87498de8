package relay

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop are the headers of one connection (RFC 9110, section 7.6.1) and
// those that net/http sets by itself.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// ownPrefix marks headers between callers and this project.
const ownPrefix = "Clementinerack-"

// forwardable returns the headers of a caller that an app may see. Neither the
// workspace's key nor Idempotency-Key is among them: with the latter Go's
// transport would repeat a request by itself.
func forwardable(h http.Header) http.Header {
	out := endToEnd(h)
	for _, name := range []string{"Authorization", "Idempotency-Key", "X-Idempotency-Key", requestIDHeader, clientHeader,
		"X-Http-Method-Override", "X-Http-Method", "X-Method-Override"} {
		out.Del(name)
	}
	dropOwn(out)
	return out
}

func dropOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, ownPrefix) {
			h.Del(name)
		}
	}
}

// endToEnd returns a copy without the headers of one connection.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
