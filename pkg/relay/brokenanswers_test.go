package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
)

// rawScript answers a request on a connection and reports whether that stays open.
type rawScript func(q *http.Request, c net.Conn) (keepOpen bool)

// startRawEndpoint starts an endpoint whose answers are written by serve. It returns its
// address.
func startRawEndpoint(t *testing.T, serve rawScript) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var connections sync.WaitGroup
	var open sync.Map
	connections.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			open.Store(c, nil)
			connections.Go(func() {
				defer func() { _ = c.Close() }()
				for reader := bufio.NewReader(c); ; {
					q, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, q.Body)
					if !serve(q, c) {
						return
					}
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		open.Range(func(c, _ any) bool { _ = c.(net.Conn).Close(); return true })
		connections.Wait()
	})
	return l.Addr().String()
}

// rawAnswer returns an answer with a length. It repeats the ID of the request unless id is "".
func rawAnswer(status int, id, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %d Status\r\nContent-Length: %d\r\n", status, len(body))
	if id != "" {
		head += requestIDHeader + ": " + id + "\r\n"
	}
	return head + "\r\n" + body
}

const wholeStream = "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"1\"}}]}\n\nid: 2\ndata: {\"usage\":{\"prompt_tokens\":9,\"completion_tokens\":1}}\n\ndata: [DONE]\n\n"

// Guards against an answer to an earlier request that is taken for that of a request which runs.
func TestRepeatedAnswerOnKeptConnection(t *testing.T) {
	for _, echo := range []bool{true, false} {
		for _, status := range []int{200, 400, 404, 429, 503} {
			for _, model := range []bool{false, true} {
				t.Run(fmt.Sprintf("echo %v, status %d, model %v", echo, status, model), func(t *testing.T) {
					t.Parallel()
					answer := func(id, body string, status int) string {
						if !echo {
							id = ""
						}
						return rawAnswer(status, id, body)
					}
					var served atomic.Int64
					var used sync.Map // connections that have carried a request
					address := startRawEndpoint(t, func(q *http.Request, c net.Conn) bool {
						id := q.Header.Get(requestIDHeader)
						if q.Method == http.MethodDelete || strings.HasPrefix(q.URL.Path, "/v1/load") || q.URL.Path == "/healthz" {
							_, err := io.WriteString(c, rawAnswer(http.StatusNotFound, "", ""))
							return err == nil
						}
						own := "own"
						if model {
							own = wholeStream
						}
						if _, reused := used.LoadOrStore(c, nil); served.Add(1) == 3 && reused {
							_, _ = io.WriteString(c, answer("r0", strings.ReplaceAll(own, "own", "other"), status))
							time.Sleep(5 * time.Millisecond)
						}
						_, err := io.WriteString(c, answer(id, own, http.StatusOK))
						return err == nil
					})
					client := New(Options{Instance: "test"})
					defer client.Close()
					for i := range 3 {
						id := fmt.Sprintf("r%d", i)
						endpoint := config.Endpoint{ID: "e", Address: address}
						service := config.Service{FirstByteTimeout: testTimeout, IdleTimeout: testTimeout}
						if model {
							events := 0
							res := client.SendModel(context.Background(), ModelCall{Service: service, Endpoint: endpoint, StreamID: id, RequestID: id, Body: []byte(`{}`), MaxTokens: 9,
								OnEvent: func(uint64, []byte) error { events++; return nil }})
							if res.Outcome != Complete || events != 2 {
								t.Errorf("request %d: %+v after %d events", i, res, events)
							}
							continue
						}
						sink := &recordingSink{}
						res := client.SendApp(context.Background(), AppCall{Service: service, Endpoint: endpoint, Method: http.MethodGet, Path: "/x", RequestID: id,
							Repeatable: true, AllowReconnect: func() bool { return true }, Sink: sink})
						if res.Outcome != Complete || sink.code != http.StatusOK || sink.body.String() != "own" {
							t.Errorf("request %d: %+v, status %d, body %q", i, res, sink.code, sink.body.String())
						}
					}
				})
			}
		}
	}
}

// Guards against an answer that gets the status of an earlier one which broke off in its first line.
func TestAnswerAfterCutStatusLine(t *testing.T) {
	for _, cut := range []string{"HTTP/1.1 503 ", "HTTP/1.1 503 Serv", "HTTP/1.1 200 O", "HTTP/1.1 404 Not", "HTTP/1.0 429 Too", "HTTP/1.1 503 Busy\r\nX-Field: val"} {
		for _, status := range []int{200, 500} {
			var served atomic.Int64
			address := startRawEndpoint(t, func(q *http.Request, c net.Conn) bool {
				if served.Add(1) == 2 {
					_, _ = io.WriteString(c, cut)
				}
				_, err := io.WriteString(c, rawAnswer(status, q.Header.Get(requestIDHeader), "own"))
				return err == nil
			})
			client := New(Options{Instance: "test"})
			for i := range 2 {
				sink := &recordingSink{}
				res := client.SendApp(context.Background(), AppCall{Endpoint: config.Endpoint{ID: "e", Address: address}, Method: http.MethodGet, Path: "/x",
					RequestID: fmt.Sprint(i), Repeatable: true, AllowReconnect: func() bool { return true }, Sink: sink})
				if res.Outcome != Complete || sink.code != status || sink.body.String() != "own" {
					t.Errorf("%q, status %d: request %d: %+v, status %d, body %q", cut, status, i, res, sink.code, sink.body.String())
				}
			}
			client.Close()
		}
	}
}

// Guards against an answer that counts as joined with another one because a proxy names its protocol in a field.
func TestAnswerWithProtocolInFieldIsPassedOn(t *testing.T) {
	for field, repeatable := range map[string]bool{"Via: HTTP/1.1 edge": true, "Server: cache (HTTP/1.1 only)": false} {
		address := startRawEndpoint(t, func(q *http.Request, c net.Conn) bool {
			_, err := io.WriteString(c, strings.Replace(rawAnswer(http.StatusOK, q.Header.Get(requestIDHeader), "own"), "\r\n", "\r\n"+field+"\r\n", 1))
			return err == nil
		})
		if res, got := runApp(address, repeatable); res.Outcome != Complete || got.body.String() != "own" {
			t.Errorf("%s: %+v, body %q", field, res, got.body.String())
		}
	}
}

// Guards against a new connection for each request to an endpoint that names the request in its answers.
func TestConnectionIsKeptForAnswersWithID(t *testing.T) {
	var connections atomic.Int64
	address := startRawEndpoint(t, func(q *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, rawAnswer(http.StatusOK, q.Header.Get(requestIDHeader), "own"))
		return err == nil
	})
	client := New(Options{Instance: "test", Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		connections.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}})
	defer client.Close()
	for i := range 10 {
		res := client.SendApp(context.Background(), AppCall{Endpoint: config.Endpoint{ID: "e", Address: address}, Method: http.MethodGet, Path: "/x",
			RequestID: fmt.Sprint(i), Repeatable: true, Sink: &recordingSink{}})
		if res.Outcome != Complete {
			t.Fatalf("%+v", res)
		}
	}
	if n := connections.Load(); n > 2 {
		t.Errorf("%d connections for 10 requests", n)
	}
}

// Guards against an answer that its endpoint breaks off in the middle of the head and that counts as complete.
func TestAnswerCutInHeadIsNotComplete(t *testing.T) {
	for _, end := range []string{"\r\n", "\n"} {
		for _, framing := range []string{"Content-Length: 0", "Content-Length: 5", "Transfer-Encoding: chunked", "Connection: close"} {
			head := strings.Join([]string{"HTTP/1.1 200 OK", framing, "Content-Type: text/event-stream", "X-Last: 0 ", "", ""}, end)
			for cut := range len(head) {
				address := startRawEndpoint(t, func(_ *http.Request, c net.Conn) bool { _, _ = io.WriteString(c, head[:cut]); return false })
				if res, got := runApp(address, false); res.Outcome == Complete || got.code != 0 {
					t.Errorf("%q: %+v, status %d", head[:cut], res, got.code)
				}
			}
		}
	}
}

// Guards against an answer that its endpoint breaks off in the middle of the head, and goes on with an error's head or text.
func TestAnswerThatGoesOnWithErrorHeadIsNotComplete(t *testing.T) {
	for _, framing := range []string{"Content-Length: 0", "Content-Length: 5", "Transfer-Encoding: chunked"} {
		head := strings.Join([]string{"HTTP/1.1 200 OK", requestIDHeader + ": r", framing, "Connection: keep-alive", "Content-Type: text/event-stream", "X-Last: 0 ", "", ""}, "\r\n")
		for _, failed := range []string{"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", "HTTP/1.0 502 Bad Gateway\r\nConnection: close\r\nContent-Length: 4\r\n\r\nfull",
			"gone\n\nwhole"} {
			for cut := 1; cut < len(head); cut++ {
				address := startRawEndpoint(t, func(_ *http.Request, c net.Conn) bool { _, _ = io.WriteString(c, head[:cut]+failed); return false })
				for _, repeatable := range []bool{true, false} {
					if res, got := runApp(address, repeatable); res.Outcome == Complete || got.code != 0 {
						t.Errorf("%q: %+v, status %d", head[:cut], res, got.code)
					}
				}
			}
		}
	}
}

// Guards against a body that its endpoint breaks off and fills up with the head of an error.
func TestBodyThatGoesOnWithErrorHeadIsNotComplete(t *testing.T) {
	body := strings.Repeat("body ", 1000)
	for _, failed := range []string{"HTTP/1.1 500 Oops\r\n\r\n" + body, "HTTP/1.0 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n" + body} {
		for _, cut := range []int{0, 1, 9, 100, 3900, 4000, 4900, len(body) - 30, len(body) - 12, len(body) - 11, len(body) - 1, len(body)} {
			address := startRawEndpoint(t, func(q *http.Request, c net.Conn) bool {
				_, _ = io.WriteString(c, strings.Replace(rawAnswer(http.StatusOK, "r", body), body, body[:cut]+failed, 1))
				return false
			})
			if res, got := runApp(address, false); res.Outcome == Complete != (cut == len(body)) || got.code == 0 == (cut == len(body)) {
				t.Errorf("%q, cut after %d bytes: %+v, status %d", failed[:12], cut, res, got.code)
			}
		}
	}
}

// Guards against the text of an error in the middle of a stream, and against a stream that ends like a complete one.
func TestStreamThatBreaksOffGetsNoForeignBytes(t *testing.T) {
	const errorText = `{"error":"the model is gone"}`
	for _, status := range []int{200, 206, 302, 400, 404, 429, 500, 502, 503} {
		for _, body := range []string{"", errorText, "HTTP/1.1 503 Service Unavailable\r\n\r\nfull\n\n", "data: " + errorText + "\n\n", "event: error\ndata: " + errorText + "\n\n",
			"id: 3\ndata: " + errorText + "\n\n", "id: error\ndata: x\n\n", "id: 3\ndata: gone\n\n", "data: [DONE]\n\n", ": comment\n\ndata: [DONE]\n\n", "502 Bad Gateway\n\ndata: [DONE]\n\n"} {
			t.Run(fmt.Sprintf("%d %q", status, body), func(t *testing.T) {
				t.Parallel()
				engine := &fakeEngine{cancelReply: cancelReply, script: []func(http.ResponseWriter, int){breakAfter(1, 2), func(w http.ResponseWriter, _ int) {
					w.WriteHeader(status)
					_, _ = io.WriteString(w, body)
				}}}
				if res, events := runModel(t, engine, 100, nil); res.Outcome == Complete || events != "12" {
					t.Errorf("%+v, events %q", res, events)
				}
			})
		}
	}
}

// Guards against an event of a stream that has been joined with other bytes of its endpoint, and is passed on.
func TestEventJoinedWithForeignBytesIsNotPassedOn(t *testing.T) {
	const line, field, data = "HTTP/1.1 503 Service Unavailable", "Content-Length: 4", `{"choices":[{"delta":{"content":"3"}}]}`
	const third = "id: 3\ndata: " + data + "\n\n"
	for _, tail := range []string{
		line + "\r\n" + field + "\r\n" + third, line + "\n" + third, field + "\n" + third, `{"error":"gone"}` + "\n" + third, "gone\n" + third,
		"error: gone\n" + third, "id: 3\ndata: " + data[:9] + line + "\r\n" + field + "\r\n\r\n", "id: 3\ndata: " + data[:9] + line + "\n\n", "id: 3\nda" + line + "\n\n",
		"id: 3" + line + "\n\n", "id: 3\ndata: " + data[:9] + `{"error":"gone"}` + "\n\n", "id: 3\ndata: " + data + `{"error":"gone"}` + "\n\n",
		"id: 3\ndata: " + data + "\ndata: gone\n\n", "id: 3\ndata: " + data + "\ngone\n\n", "id: 3\ndata: " + data[:9] + "\nid: 4\n" + third[6:],
	} {
		t.Run(tail, func(t *testing.T) {
			t.Parallel()
			engine := &fakeEngine{cancelReply: cancelReply, script: []func(http.ResponseWriter, int){breakAfter(1, 2), func(w http.ResponseWriter, _ int) {
				_, _ = io.WriteString(w, tail)
			}}}
			server := httptest.NewServer(engine)
			defer server.Close()
			client := New(Options{Instance: "test"})
			defer client.Close()
			client.RecordIncarnation("e", "i0")
			res := client.SendModel(context.Background(), ModelCall{
				Service:  config.Service{FirstByteTimeout: testTimeout, IdleTimeout: testTimeout},
				Endpoint: config.Endpoint{ID: "e", Address: server.Listener.Addr().String()}, StreamID: "s", RequestID: "r", Body: []byte(`{}`), MaxTokens: 100,
				OnEvent: func(seq uint64, got []byte) error {
					if seq > 3 || seq == 3 && string(got) != data {
						t.Errorf("event %d: %q", seq, got)
					}
					return nil
				},
			})
			if res.Outcome == Complete {
				t.Errorf("%+v", res)
			}
		})
	}
}

// Guards against new work for an endpoint whose drain stood in an answer that does not name its request.
func TestDrainInForeignAnswerCounts(t *testing.T) {
	for _, id := range []string{"", "former"} {
		var served atomic.Int64
		address := startRawEndpoint(t, func(q *http.Request, c net.Conn) bool {
			answer := rawAnswer(http.StatusOK, q.Header.Get(requestIDHeader), "own")
			if served.Add(1) == 2 {
				answer = strings.Replace(rawAnswer(http.StatusServiceUnavailable, id, ""), "\r\n", "\r\n"+drainingHeader+": true\r\n", 1)
			}
			_, err := io.WriteString(c, answer)
			return err == nil
		})
		drains := map[string]bool{}
		client := New(Options{Instance: "test", OnDraining: func(endpoint string) { drains[endpoint] = true }})
		for i := range 2 {
			client.SendApp(context.Background(), AppCall{Endpoint: config.Endpoint{ID: "e", Address: address}, Method: http.MethodGet, Path: "/x",
				RequestID: fmt.Sprint(i), Sink: &recordingSink{}, Service: config.Service{FirstByteTimeout: testTimeout}, Repeatable: true})
		}
		client.Close()
		if !drains["e"] {
			t.Errorf("answer with the ID %q: the drain was not reported", id)
		}
	}
}

// Guards against an answer whose end or status is none, and that counts as complete.
func TestAnswerWithoutCertainEndOrStatusIsNotComplete(t *testing.T) {
	const chunks = "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"
	inner := rawAnswer(http.StatusOK, "r", "inner")
	for _, answer := range []string{"HTTP/1.0 200 OK\r\n" + chunks, "HTTP/1.0 200 OK\r\nContent-Length: 4\r\n" + chunks, "HTTP/1.1 200 OK\r\n\r\npart", "HTTP/1.0 200 OK\r\n\r\npart",
		rawAnswer(0, "r", "part"), "HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 099 None\r\nContent-Length: 0\r\n\r\n", rawAnswer(101, "r", inner), rawAnswer(102, "r", inner),
		rawAnswer(600, "r", "part"), rawAnswer(999, "r", "")} {
		address := startRawEndpoint(t, func(_ *http.Request, c net.Conn) bool { _, _ = io.WriteString(c, answer); return false })
		for _, repeatable := range []bool{true, false} {
			if res, got := runApp(address, repeatable); res.Outcome == Complete || got.code != 0 {
				t.Errorf("%q: %+v, status %d", answer, res, got.code)
			}
		}
	}
}
