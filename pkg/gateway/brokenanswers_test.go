package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// Guards against the refusal of an earlier request that is taken for that of a request which runs.
func TestRepeatedRefusalOnKeptConnection(t *testing.T) {
	const notRun = machines.HeaderNotExecuted + ": 1\r\n"
	const former = machines.HeaderRequestID + ": former\r\n"
	for _, status := range []int{400, 408, 421, 429, 503} {
		line := fmt.Sprintf("HTTP/1.1 %d Refused\r\n", status)
		for desc, stray := range map[string]string{
			"with the ID of the earlier request": line + former + notRun + "Content-Length: 0\r\n\r\n",
			"without an ID":                      line + notRun + "Content-Length: 0\r\n\r\n",
			"without an ID, with a body":         line + notRun + "Content-Length: 4\r\n\r\nfull",
			"without an ID, in chunks":           line + notRun + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
			"without an ID and a length":         line + notRun + "\r\n",
			"with a body that is cut":            line + notRun + "Content-Length: 9\r\n\r\nfull",
			"with two IDs":                       line + former + former + notRun + "Content-Length: 0\r\n\r\n",
			"without a sign that it did not run": line + "Content-Length: 0\r\n\r\n",
			"after an interim response":          "HTTP/1.1 100 Continue\r\n" + notRun + "\r\n" + line + notRun + "Content-Length: 0\r\n\r\n",
			"twice":                              strings.Repeat(line+notRun+"Content-Length: 0\r\n\r\n", 2),
			"very often":                         strings.Repeat(line+notRun+"Content-Length: 0\r\n\r\n", 9),
			"in the form of HTTP/1.0":            strings.Replace(line, "1.1", "1.0", 1) + notRun + "Connection: keep-alive\r\nContent-Length: 0\r\n\r\n",
			"cut in the name of a field":         line + "X-Request-Not-",
			"cut before the value of a field":    line + notRun + "X-Field: ",
			"cut in the value of a field":        line + notRun + "X-Field: val",
			"cut after the sign":                 line + machines.HeaderNotExecuted + ": ",
		} {
			t.Run(fmt.Sprintf("%d %s", status, desc), func(t *testing.T) {
				t.Parallel()
				var runs atomic.Int64
				run := func(q *http.Request, b []byte, c net.Conn) bool {
					runs.Add(1)
					return machines.Answer(200, "whole")(q, b, c)
				}
				g := newTestGateway(t, machines.Answer(200, "earlier"))
				if got := g.send(g.newRequest("/book/0", "body")); got.status != 200 {
					t.Fatalf("status %d, %v", got.status, got.err)
				}
				g.runners[0].SetScript(func(q *http.Request, b []byte, c net.Conn) bool {
					_, _ = io.WriteString(c, stray)
					return run(q, b, c)
				})
				req := g.newRequest("/book/1", "body", machines.HeaderRequestID+": id2", machines.HeaderDeadline+": 300")
				got := g.send(req)
				switch got.status {
				case 200:
					if got.body != "whole" {
						t.Errorf("body %q", got.body)
					}
				case 502, 504: // promise nothing
				default:
					t.Errorf("status %d for a request that ran %d times", got.status, runs.Load())
				}
				if runs.Load() > 1 {
					t.Errorf("%d runs", runs.Load())
				}
			})
		}
	}
}

// Guards against a status that promises that a request did not run, although its endpoint does not say so.
func TestRunRequestIsNotAnsweredWithRefusal(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		for desc, script := range map[string]machines.Script{
			"sealed": machines.Answer(status, "busy"),
			"without a seal": func(q *http.Request, _ []byte, c net.Conn) bool {
				_, err := fmt.Fprintf(c, "HTTP/1.1 %d Busy\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, machines.HeaderRequestID, q.Header.Get(machines.HeaderRequestID))
				return err == nil
			},
		} {
			g := newTestGateway(t, script)
			if desc != "sealed" && status == http.StatusMisdirectedRequest {
				continue // another process, which did not run it
			}
			if got := g.send(g.newRequest("/book/1", "body")); got.status != 502 || !strings.Contains(got.body, `"unknown"`) {
				t.Errorf("%d %s: status %d, body %q", status, desc, got.status, got.body)
			}
		}
	}
}
