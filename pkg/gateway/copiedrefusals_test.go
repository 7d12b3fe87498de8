package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/standins/machines"
)

// copyingRefuser refuses the first request on each connection and sends the refusal once more
// before the answer to each later request on it.
type copyingRefuser struct {
	refusal func(id string) string
	runs    atomic.Int64

	mu      sync.Mutex
	refused map[net.Conn]string // text of the refusal
	done    bool                // refused once: other connections are served
}

func (c *copyingRefuser) serve(r *http.Request, body []byte, conn net.Conn) bool {
	c.mu.Lock()
	first, isReused := c.refused[conn]
	if !isReused && !c.done {
		c.done = true
		first = c.refusal(r.Header.Get(machines.HeaderRequestID))
		c.refused[conn] = first
		c.mu.Unlock()
		_, err := io.WriteString(conn, first)
		return err == nil
	}
	c.mu.Unlock()
	_, _ = io.WriteString(conn, first)
	c.runs.Add(1)
	return answerWhole(r, body, conn)
}

// answerWhole answers with a stream on the routes of streams, and otherwise with wholeAnswer.
func answerWhole(r *http.Request, body []byte, conn net.Conn) bool {
	if strings.HasPrefix(r.URL.Path, "/once/") || strings.HasPrefix(r.URL.Path, "/chat/") {
		return machines.Stream(1, 2, true)(r, body, conn)
	}
	return machines.Answer(200, wholeAnswer)(r, body, conn)
}

const wholeAnswer = "whole"

func isWhole(got callerResponse) bool {
	return got.status == 200 && got.err == nil && (got.body == wholeAnswer || got.body == eventRange(1, 2))
}

func newCopyingRefuser(status int) *copyingRefuser {
	return &copyingRefuser{refused: map[net.Conn]string{}, refusal: func(id string) string {
		return fmt.Sprintf("HTTP/1.1 %d Refused\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, machines.HeaderRequestID, id, machines.HeaderNotExecuted)
	}}
}

// Guards against the copy of a refusal that is taken for the answer to the same request at an endpoint with the same address.
func TestCopiedRefusalAtSharedAddressIsNotTheAnswer(t *testing.T) {
	for _, status := range []int{200, 302, 400, 421, 429, 503} {
		for _, path := range []string{"/book/1", "/once/1", "/look/1", "/chat/1"} {
			for _, others := range []int{0, 1} {
				t.Run(fmt.Sprintf("%d%s/%d others", status, path, others), func(t *testing.T) {
					t.Parallel()
					refuser := newCopyingRefuser(status)
					var otherRuns atomic.Int64
					g := newTestGateway(t, refuser.serve, func(r *http.Request, body []byte, conn net.Conn) bool {
						if otherRuns.Add(1) == 1 {
							return machines.Answer(500, "failed")(r, body, conn) // ranks it last
						}
						return answerWhole(r, body, conn)
					})
					entry := func(id, domain string, r *machines.Runner) catalog.Endpoint {
						return catalog.Endpoint{ID: id, Service: "s", Address: r.Address(), Domain: domain}
					}
					g.pool.Update(catalog.EndpointList{Revision: 2, Endpoints: []catalog.Endpoint{entry("other", "z", g.runners[1])}}, time.Now())
					g.send(g.newRequest("/book/0", "body"))
					list := []catalog.Endpoint{entry("former", "z", g.runners[0]), entry("present", "y", g.runners[0])}
					if others == 1 {
						list = append(list, entry("other", "z", g.runners[1]))
					}
					g.pool.Update(catalog.EndpointList{Revision: 3, Endpoints: list}, time.Now())
					got := g.send(g.newRequest(path, "body"))
					if !isWhole(got) {
						t.Errorf("status %d, body %q after %d runs", got.status, got.body, refuser.runs.Load())
					}
					if n := refuser.runs.Load() + otherRuns.Load() - 1; n != 1 {
						t.Errorf("%d runs", n)
					}
				})
			}
		}
	}
}

// Guards against the copy of a refusal that is taken for the answer to the same request when its caller repeats it.
func TestCopiedRefusalIsNotTheAnswerToARepeat(t *testing.T) {
	for _, status := range []int{200, 302, 400, 421, 429, 503} {
		for _, path := range []string{"/book/1", "/once/1", "/look/1", "/chat/1"} {
			t.Run(fmt.Sprintf("%d%s", status, path), func(t *testing.T) {
				t.Parallel()
				refuser := newCopyingRefuser(status)
				g := newTestGateway(t, refuser.serve)
				if got := g.send(g.newRequest(path, "body")); got.status != 503 {
					t.Fatalf("status %d for the refused request", got.status)
				}
				got := g.send(g.newRequest(path, "body"))
				if !isWhole(got) || refuser.runs.Load() != 1 {
					t.Errorf("status %d, body %q after %d runs", got.status, got.body, refuser.runs.Load())
				}
			})
		}
	}
}
