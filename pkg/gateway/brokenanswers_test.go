package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

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
			"cut in the status":                  line[:len("HTTP/1.1 4")],
			"cut before the reason":              line[:len("HTTP/1.1 400 ")],
			"cut in the reason":                  line[:len("HTTP/1.1 400 Ref")],
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

// Guards against a failure that gets the status of an earlier answer which broke off in its first line.
func TestFailureAfterCutStatusLineIsNotSuccess(t *testing.T) {
	for _, path := range []string{"/book/1", "/once/1", "/look/1", "/chat/1"} {
		g := newTestGateway(t, machines.Answer(200, "earlier"))
		g.send(g.newRequest("/book/0", "body")) // leaves a connection to be reused
		g.runners[0].SetScript(func(q *http.Request, b []byte, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 O")
			return machines.Answer(500, "failed")(q, b, c)
		})
		if got := g.send(g.newRequest(path, "body", machines.HeaderDeadline+": 300")); got.status < 500 {
			t.Errorf("%s: status %d, body %q", path, got.status, got.body)
		}
	}
}

// Guards against an answer that counts as joined with another one because a proxy names its protocol in a field.
func TestAnswerWithProtocolInFieldIsPassedOn(t *testing.T) {
	g := newTestGateway(t, respond(200, "whole", "Via: HTTP/1.1 edge", "Server: cache (HTTP/1.1 only)"))
	for i := range 3 { // the second one reuses the connection
		if got := g.send(g.newRequest("/book/1", "body")); got.status != 200 || got.body != "whole" {
			t.Errorf("request %d: status %d, body %q", i, got.status, got.body)
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

// Guards against the text of an error in the middle of a stream, and against a stream that ends like a complete one.
func TestStreamThatBreaksOffGetsNoForeignBytes(t *testing.T) {
	const errorText = `{"error":"the model is gone"}`
	const head = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nfull"
	for framing := range framings {
		answers := map[string]machines.Script{}
		for desc, body := range map[string]string{
			"error text":                    errorText,
			"a whole head":                  head,
			"an event with an error":        "event: error\ndata: " + errorText + "\n\n",
			"an event without an ID":        "data: " + errorText + "\n\n",
			"an event with a word as ID":    "id: error\ndata: " + errorText + "\n\n",
			"a comment":                     ": " + errorText + "\n\n",
			"lines of text":                 "the model\nis gone\n\n",
			"the next event, then a head":   machines.Event(3) + head + "\n\n",
			"the next event, then an error": machines.Event(3) + "data: " + errorText + "\n\n",
			"nothing":                       "",
		} {
			for _, status := range []int{200, 202, 204, 206, 302, 304, 400, 404, 422, 500, 502, 504} {
				for _, contentType := range []string{"text/event-stream", "application/json", ""} {
					noEvents := body == "" || strings.HasPrefix(body, ":")
					if noEvents && status == 200 && contentType != "application/json" && framing != "connection" {
						continue // a whole answer without further events
					}
					answers[fmt.Sprintf("%d/%s/%s", status, contentType, desc)] = func(q *http.Request, _ []byte, c net.Conn) bool {
						header, framed := framings[framing](body)
						lines := []string{header}
						if contentType != "" {
							lines = append(lines, "Content-Type: "+contentType)
						}
						_, _ = io.WriteString(c, machines.ResponseHead(q, status, lines...)+framed)
						return false
					}
				}
			}
		}
		answers["rejection"] = machines.Shed
		answers["no seal"] = func(_ *http.Request, _ []byte, c net.Conn) bool { _, _ = io.WriteString(c, head); return false }
		answers["no answer"] = machines.Cut
		for desc, second := range answers {
			for _, path := range []string{"/chat/1", "/once/1"} {
				t.Run(framing+"/"+desc+path, func(t *testing.T) {
					t.Parallel()
					var runs atomic.Int64
					script := func(q *http.Request, b []byte, c net.Conn) bool {
						if runs.Add(1) == 1 {
							return machines.Stream(1, 2, false)(q, b, c)
						}
						return second(q, b, c)
					}
					checkPrefix(t, newTestGateway(t, script, script), path)
				})
			}
		}
	}
}

// Guards against the head of another answer in a stream without framing whose endpoint fails.
func TestStreamWithForeignTailIsNotComplete(t *testing.T) {
	for _, tail := range []string{
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 500 Oops\r\n\r\n<html>\n</html>\n\n",
		"data: x\n\n", "event: error\ndata: x\n\n", "id: error\ndata: x\n\n", "502 Bad Gateway\n\n",
	} {
		for framing := range framings {
			g := newTestGateway(t, framedStream(framing, eventRange(1, 2)+tail))
			checkPrefix(t, g, "/once/1")
		}
	}
}

// Guards against the text or the head of an error that callers get as a whole stream.
func TestErrorInPlaceOfEventsIsNotPassedOn(t *testing.T) {
	for _, body := range []string{
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 500 Oops\r\n\r\n<html>\n</html>\n\n", "HTTP/1.1 500 Oops\n\n",
		"502 Bad Gateway\n\n", `{"error":"the model is gone"}` + "\n\n", "the model is gone\n\n", "error: the model is gone\n\n", "data: x\r\ndata: y\n\n",
	} {
		for framing := range framings {
			for _, path := range []string{"/once/1", "/chat/1"} {
				g := newTestGateway(t, framedStream(framing, body))
				if got := g.send(g.newRequest(path, "body", tokensHeader(), machines.HeaderDeadline+": 500")); got.status < 500 || got.status == 503 && path == "/once/1" {
					t.Errorf("%s%s %q: status %d, body %q, %v", framing, path, body, got.status, got.body, got.err)
				}
			}
		}
	}
}

// Guards against an event of a stream that has been joined with other bytes of its endpoint, and is passed on.
func TestEventJoinedWithForeignBytesIsNotPassedOn(t *testing.T) {
	const line, field = "HTTP/1.1 503 Service Unavailable", "Content-Length: 4"
	const cut = "id: 3\ndata: tok"
	tails := map[string]string{
		"a cut head, then the event":           line + "\r\n" + field + "\r\n" + machines.Event(3),
		"a cut head with LF, then the event":   line + "\n" + field + "\n" + machines.Event(3),
		"a status line, then the event":        line + "\n" + machines.Event(3),
		"a field of a head, then the event":    field + "\n" + machines.Event(3),
		"a field in lower case":                "content-length: 4\n" + machines.Event(3),
		"a JSON error, then the event":         `{"error":"the model is gone"}` + "\n" + machines.Event(3),
		"a line of text, then the event":       "the model is gone\n" + machines.Event(3),
		"text with a colon, then the event":    "error: the model is gone\n" + machines.Event(3),
		"a word, then the event":               "gone\n" + machines.Event(3),
		"the event with text at its end":       "id: 3\ndata: token-3\nthe model is gone\n\n",
		"the event with a head at its end":     "id: 3\ndata: token-3\n" + line + "\r\n" + field + "\r\n\r\n",
		"a cut event, then a head":             cut + line + "\r\n" + field + "\r\n\r\n",
		"a cut event, then a status line":      cut + line + "\r\n\r\n",
		"an event cut in its ID":               "id: 3" + line + "\r\n\r\n",
		"an event cut in the name of a field":  "id: 3\nda" + line + "\r\n\r\n",
		"an event cut after the name":          "id: 3\ndata" + line + "\r\n\r\n",
		"a cut event, then JSON and its event": "id: 3\nda" + `{"error":"the model is gone"}` + "\n" + "data: x\n\n",
		"the event with two IDs":               "id: 3\ndata: tok\nid: 4\ndata: token-4\n\n",
	}
	for desc, tail := range tails {
		for framing := range framings {
			t.Run(framing+"/"+desc, func(t *testing.T) {
				t.Parallel()
				whole := eventRange(1, 2) + tail + machines.Event(4)
				checkPrefix(t, newTestGateway(t, framedStream(framing, whole)), "/once/1")
				var runs atomic.Int64
				script := func(q *http.Request, b []byte, c net.Conn) bool {
					if runs.Add(1) == 1 {
						return machines.Stream(1, 2, false)(q, b, c)
					}
					return framedStream(framing, tail+machines.Event(4))(q, b, c)
				}
				checkPrefix(t, newTestGateway(t, script, script), "/chat/1")
			})
		}
	}
}

// checkPrefix sends a request for a stream of which no run is complete and verifies that the
// caller gets whole events in order, and no proper end.
func checkPrefix(t *testing.T, g *testGateway, path string) {
	t.Helper()
	got := g.send(g.newRequest(path, "body", tokensHeader(), machines.HeaderDeadline+": 500"))
	sound := false
	for last := range 4 {
		sound = sound || withoutComments(got.body) == eventRange(1, last)
	}
	if got.status != 200 || !sound {
		t.Errorf("status %d, body %q", got.status, got.body)
	}
	if got.err == nil {
		t.Errorf("the stream ended like a complete one: %q", got.body)
	}
}

// withoutComments removes comments, which belong to no event.
func withoutComments(stream string) string {
	var out strings.Builder
	for _, block := range strings.SplitAfter(stream, "\n\n") {
		if !strings.HasPrefix(block, ":") {
			out.WriteString(block)
		}
	}
	return out.String()
}

// Guards against an answer that its endpoint breaks off in the middle of the head and that callers get as a success.
func TestAnswerCutInHeadIsNotSuccess(t *testing.T) {
	heads := map[string]func(q *http.Request) string{}
	for framing, frame := range framings {
		for _, end := range []string{"\r\n", "\n"} {
			heads[fmt.Sprintf("%s %q", framing, end)] = func(q *http.Request) string {
				header, _ := frame("whole")
				return strings.ReplaceAll(machines.ResponseHead(q, 200, "Content-Type: text/event-stream", header, "X-Last: 0 "), "\r\n", end)
			}
		}
	}
	for desc, head := range heads {
		for _, path := range []string{"/book/1", "/once/1", "/look/1", "/chat/1"} {
			t.Run(desc+path, func(t *testing.T) {
				t.Parallel()
				var cut atomic.Int64
				done := false
				script := func(q *http.Request, _ []byte, c net.Conn) bool {
					text := head(q)
					n := min(int(cut.Load()), len(text)-1)
					done = n == len(text)-1
					_, _ = io.WriteString(c, text[:n])
					return false
				}
				g := newTestGateway(t, script)
				for ; !done; cut.Add(1) {
					req := g.newRequest(path, "body", machines.HeaderDeadline+": 1000")
					if got := g.send(req); got.status != 502 && got.status != 503 && got.status != 504 || (path == "/book/1" && got.status == 503 && len(g.runners[0].Requests()) > int(cut.Load())) {
						t.Fatalf("cut after %d bytes: status %d, body %q, %v", cut.Load(), got.status, got.body, got.err)
					}
				}
			})
		}
	}
}

// Guards against an answer that its endpoint breaks off in the middle of the head, and goes on with an error's head or text.
func TestAnswerThatGoesOnWithErrorHeadIsNotSuccess(t *testing.T) {
	for framing, frame := range framings {
		for _, path := range []string{"/book/1", "/once/1", "/look/1", "/chat/1"} {
			for _, failed := range []string{
				"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", errorHead502 + "<html>\n\n",
				"HTTP/1.0 503 Service Unavailable\r\n" + machines.HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n", "the model is gone\n\nwhole",
				"gone\n\nHTTP/1.1 500 Oops\r\n\r\n",
			} {
				t.Run(framing+path+"/"+failed[9:12], func(t *testing.T) {
					t.Parallel()
					header, _ := frame("whole")
					var text, cut atomic.Int64
					g := newTestGateway(t, func(q *http.Request, _ []byte, c net.Conn) bool {
						head := machines.ResponseHead(q, 200, "Content-Type: text/event-stream", header, "X-Last: 0 ")
						text.Store(int64(len(head)))
						_, _ = io.WriteString(c, head[:min(int(cut.Add(1)), len(head)-1)]+failed)
						return false
					})
					for n := int64(0); n == 0 || n < text.Load(); n++ {
						if got := g.send(g.newRequest(path, "body", machines.HeaderDeadline+": 1000")); got.err == nil && got.status < 500 || got.status == 503 && path == "/book/1" && len(g.runners[0].Requests()) > int(n) {
							t.Errorf("cut after %d bytes: status %d, body %q", cut.Load(), got.status, got.body)
						}
					}
				})
			}
		}
	}
}

// Guards against a body that its endpoint breaks off and fills up with the head of an error.
func TestBodyThatGoesOnWithErrorHeadIsNotSuccess(t *testing.T) {
	const body = "a body that is long enough for the head of an error"
	for _, failed := range []string{"HTTP/1.1 500 Oops\r\n\r\n" + body, errorHead502 + body, "HTTP/1.0 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n" + body} {
		for _, path := range []string{"/book/1", "/once/1", "/look/1", "/chat/1"} {
			var cut atomic.Int64
			g := newTestGateway(t, func(q *http.Request, _ []byte, c net.Conn) bool {
				_, _ = io.WriteString(c, machines.ResponseHead(q, 200, "Content-Length: "+strconv.Itoa(len(body)))+body[:cut.Load()]+failed)
				return false
			})
			for ; cut.Load() <= int64(len(body)); cut.Add(1) {
				got := g.send(g.newRequest(path, "body", machines.HeaderDeadline+": 1000"))
				if got.status == 200 && got.err == nil && got.body != body || cut.Load() == int64(len(body)) && path == "/book/1" && got.body != body {
					t.Errorf("%s %q: cut after %d bytes: status %d, body %q", path, failed[:12], cut.Load(), got.status, got.body)
				}
			}
		}
	}
}

// errorHead502 is the head of an error whose body ends with the connection.
const errorHead502 = "HTTP/1.1 502 Bad Gateway\r\nConnection: close\r\n\r\n"

// Guards against a request without an ID that waits for its deadline because no answer can name it.
func TestRequestWithoutIDGetsItsRefusalOnKeptConnection(t *testing.T) {
	g := newTestGateway(t, machines.Answer(200, "earlier"))
	g.send(g.newRequest("/look/0", "body")) // leaves a connection to be reused
	g.runners[0].SetScript(refuse(400))
	req := g.newRequest("/look/1", "body", machines.HeaderDeadline+": 2000")
	req.Header.Del(machines.HeaderRequestID)
	start := time.Now()
	if got := g.send(req); got.status != 400 && got.status != 503 || time.Since(start) > time.Second {
		t.Errorf("status %d after %s", got.status, time.Since(start))
	}
}
