package gateway_test

import (
	"bufio"
	"fmt"
	"math"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// Guards against a limit at the end of the range that makes a chunked body an empty one.
func TestLargestBodyLimitKeepsBody(t *testing.T) {
	bodies := make(chan string, 1)
	g := newTestGateway(t, func(q *http.Request, body []byte, c net.Conn) bool {
		bodies <- string(body)
		return machines.Answer(http.StatusOK, "done")(q, body, c)
	})
	g.doc.Limits.BodyBytes = math.MaxInt64
	g.startGateway()
	req := g.newRequest("/look/1", "body of a request")
	req.ContentLength = -1 // chunked
	if got := g.send(req); got.status != http.StatusOK {
		t.Fatalf("%+v", got)
	}
	if body := <-bodies; body != "body of a request" {
		t.Errorf("the endpoint got %q", body)
	}
}

// Guards against memory that is reserved for a body which its caller announces and does not send.
func TestAnnouncedBodiesTakeNoMemory(t *testing.T) {
	const announced, callers = 64 << 20, 8
	g := newTestGateway(t, machines.Answer(http.StatusOK, "done"))
	g.doc.Limits.BodyBytes = announced
	g.startGateway()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range callers {
		c, err := net.Dial("tcp", strings.TrimPrefix(g.server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := fmt.Fprintf(c, "POST /look/1 HTTP/1.1\r\nHost: h.example\r\nAuthorization: %s%s\r\n%s: 10000\r\nContent-Length: %d\r\nExpect: 100-continue\r\n\r\n", machines.KeyScheme, key, machines.HeaderDeadline, announced); err != nil {
			t.Fatal(err)
		}
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.Contains(line, "100") {
			t.Fatalf("%q, %v", line, err) // the gateway reads the body now
		}
	}
	runtime.ReadMemStats(&after)
	if grown := int64(after.TotalAlloc - before.TotalAlloc); grown > announced {
		t.Errorf("%d bytes were allocated for bodies that were not sent", grown)
	}
}
