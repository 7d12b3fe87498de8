package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// Guards against a resumable stream that is given up because of a comment.
func TestCommentsDoNotPreventResumption(t *testing.T) {
	first := ": keep-alive\n\n" + eventRange(1, 2)
	g := newTestGateway(t, cutAfter(first), cutAfter(first))
	for _, runner := range g.runners {
		runner.SetScript(func(q *http.Request, b []byte, c net.Conn) bool {
			if q.Header.Get(machines.HeaderLastEventID) == "2" {
				return machines.Stream(3, 5, true)(q, b, c)
			}
			return cutAfter(first)(q, b, c)
		})
	}
	if got := g.send(g.newRequest("/chat/1", "body")); got.err != nil || got.body != first+eventRange(3, 5) {
		t.Errorf("body %q, %v", got.body, got.err)
	}
}

// cutAfter returns a script that sends a part of a stream in a chunk and cuts the next one.
func cutAfter(text string) machines.Script {
	return func(q *http.Request, _ []byte, c net.Conn) bool {
		_, framed := framings["chunks"](text)
		_, _ = io.WriteString(c, streamHead(q)+strings.TrimSuffix(framed, "0\r\n\r\n")+"9\r\nid: ")
		return false
	}
}
