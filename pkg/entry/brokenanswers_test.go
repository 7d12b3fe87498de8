package entry

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// newRawFixture is an instance with one endpoint whose answers to requests are written by
// script. Cancellations and probes get an answer without a fault.
func newRawFixture(t *testing.T, script machines.Script) *fixture {
	t.Helper()
	runner, err := machines.StartRunner("e0", func(r *http.Request, body []byte, c net.Conn) bool {
		switch {
		case r.Method == http.MethodDelete:
			return writeAnswer(c, 404, "", "")
		case r.URL.Path == "/v1/load" || r.URL.Path == "/healthz":
			return writeAnswer(c, 200, "", `{"incarnation":"i0"}`)
		}
		return script(r, body, c)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(runner.Close)
	f := newFixture(t, http.NotFoundHandler())
	for _, s := range f.doc.Services {
		s.Endpoints[0].Address = runner.Address()
	}
	f.pool.Update(f.doc)
	return f
}

// writeAnswer writes an answer with a length. It repeats the ID of the request unless id is "".
func writeAnswer(c net.Conn, status int, id, body string) bool {
	head := fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: %d\r\n", status, len(body))
	if id != "" {
		head += "X-Request-Id: " + id + "\r\n"
	}
	_, err := io.WriteString(c, head+"\r\n"+body)
	return err == nil
}

// eventText returns the text of the events from and to an endpoint's stream.
func eventText(from, to int) string {
	var out strings.Builder
	writeEvents(&out, from, to)
	return out.String()
}

// rawCalls are requests of each kind, by name.
var rawCalls = map[string]struct{ method, path, body string }{
	"booking": {"POST", appPrefix + "rounds/book", "b"},
	"lookup":  {"GET", appPrefix + "rounds/x", ""},
	"stream":  {"POST", chatPath, chatBody},
	"chat":    {"POST", chatPath, strings.Replace(chatBody, "true", "false", 1)},
}

// Guards against an answer to an earlier request that callers get for another one, or that lets it run twice.
func TestRepeatedAnswerOnKeptConnection(t *testing.T) {
	for name, call := range rawCalls {
		for _, stray := range []string{
			"HTTP/1.1 %d Refused\r\nX-Request-Id: former\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 %d Refused\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 %d Refused\r\nContent-Length: 4\r\n\r\nfull", "HTTP/1.1 %d Refused\r\n\r\n", "HTTP/1.1 %d ", "HTTP/1.1 %d Ref", "HTTP/1.1 %d Refused\r\nX-Field: val",
		} {
			for _, status := range []int{400, 404, 429, 503} {
				t.Run(fmt.Sprintf("%s/%d %q", name, status, stray), func(t *testing.T) {
					t.Parallel()
					var served atomic.Int64
					var used sync.Map // connections that have carried a request
					f := newRawFixture(t, func(r *http.Request, _ []byte, c net.Conn) bool {
						served.Add(1)
						if _, reused := used.LoadOrStore(c, nil); reused {
							_, _ = fmt.Fprintf(c, stray, status)
						}
						body := "own"
						if r.URL.Path == chatPath {
							body = eventText(1, 4) + "data: [DONE]\n\n"
						}
						return writeAnswer(c, 200, r.Header.Get("X-Request-Id"), body)
					})
					for i := range 3 {
						before := served.Load()
						got := f.send(call.method, call.path, call.body, fmt.Sprintf("%s: k%d", keyHeader, i))
						sound := got.status == 200 && (got.body == "own" || strings.Contains(got.body, "w3")) || got.status == 502 && got.outcome == "unknown"
						if !sound {
							t.Errorf("request %d: %+v", i, got)
						}
						if runs := served.Load() - before; name == "booking" && runs > 1 {
							t.Errorf("request %d ran %d times", i, runs)
						}
					}
				})
			}
		}
	}
}

// Guards against the text of an error in the middle of a stream, and against a stream that ends like a complete one.
func TestStreamThatBreaksOffGetsNoForeignBytes(t *testing.T) {
	const errorText = `{"error":"the model is gone"}`
	for _, status := range []int{200, 204, 206, 302, 400, 404, 429, 500, 503} {
		for _, body := range []string{"", errorText, "HTTP/1.1 503 Service Unavailable\r\n\r\nfull\n\n", "data: " + errorText + "\n\n", "event: error\ndata: " + errorText + "\n\n",
			"id: 3\ndata: " + errorText + "\n\n", "id: error\ndata: x\n\n", "data: [DONE]\n\n", "502 Bad Gateway\n\ndata: [DONE]\n\n"} {
			t.Run(fmt.Sprintf("%d %q", status, body), func(t *testing.T) {
				t.Parallel()
				var served atomic.Int64
				f := newRawFixture(t, func(r *http.Request, _ []byte, c net.Conn) bool {
					if served.Add(1) == 1 {
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+fmt.Sprintf("%x\r\n%s\r\n", len(eventText(1, 2)), eventText(1, 2)))
						return false
					}
					_ = writeAnswer(c, status, r.Header.Get("X-Request-Id"), body)
					return false
				})
				got := f.send("POST", chatPath, chatBody)
				events, errorEvent, failed := strings.Cut(got.body, "event: error\n")
				if got.status != 200 || events != eventText(1, 2) || !failed || !strings.Contains(errorEvent, `"outcome":"unknown"`) || strings.Contains(errorEvent, "\ndata: [DONE]") {
					t.Errorf("%+v", got)
				}
			})
		}
	}
}

// Guards against an answer that its endpoint breaks off in the middle of the head and that callers get as a success.
func TestAnswerCutInHeadIsNotSuccess(t *testing.T) {
	for name, call := range rawCalls {
		for _, framing := range []string{"Content-Length: 0", "Content-Length: 5", "Transfer-Encoding: chunked", "Connection: close"} {
			t.Run(name+"/"+framing, func(t *testing.T) {
				t.Parallel()
				head := "HTTP/1.1 200 OK\r\n" + framing + "\r\nContent-Type: text/event-stream\r\nX-Last: 0 \r\n\r\n"
				var cut atomic.Int64
				f := newRawFixture(t, func(_ *http.Request, _ []byte, c net.Conn) bool {
					_, _ = io.WriteString(c, head[:cut.Load()])
					return false
				})
				for i := range len(head) {
					cut.Store(int64(i))
					if got := f.send(call.method, call.path, call.body, fmt.Sprintf("%s: k%d", keyHeader, i)); got.status < 500 && got.status != 429 {
						t.Fatalf("cut after %d bytes: %+v", i, got)
					}
				}
			})
		}
	}
}
