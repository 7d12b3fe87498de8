package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
)

// Guards against the copy of an error that is taken for the answer to the same request when it is sent again over a kept connection.
func TestCopiedErrorIsNotTheAnswerToARepeat(t *testing.T) {
	for _, status := range []int{202, 302, 400, 429, 500, 503} {
		var mu sync.Mutex
		var runs atomic.Int64
		sent := map[net.Conn]int{}
		address := startRawEndpoint(t, func(q *http.Request, c net.Conn) bool {
			if q.Method == http.MethodDelete || q.URL.Path == "/v1/load" { // does not know the stream yet
				_, err := io.WriteString(c, rawAnswer(http.StatusNotFound, "", ""))
				return err == nil
			}
			id := q.Header.Get(requestIDHeader)
			mu.Lock()
			sent[c]++
			n := sent[c]
			mu.Unlock()
			if id == "r0" { // lets the endpoint count as one that names requests
				_, err := io.WriteString(c, rawAnswer(200, id, wholeStream))
				return err == nil
			}
			if q.Header.Get(streamIDHeader) == "first" {
				_, err := io.WriteString(c, rawAnswer(status, id, "full"))
				return err == nil
			}
			if n > 1 {
				_, _ = io.WriteString(c, rawAnswer(status, id, "full"))
				time.Sleep(5 * time.Millisecond)
			}
			runs.Add(1)
			_, err := io.WriteString(c, rawAnswer(200, id, wholeStream))
			return err == nil
		})
		client := New(Options{Instance: "test"})
		send := func(endpoint, stream, id string) Result {
			return client.SendModel(context.Background(), ModelCall{Service: config.Service{FirstByteTimeout: testTimeout, IdleTimeout: testTimeout},
				Endpoint: config.Endpoint{ID: endpoint, Address: address}, StreamID: stream, RequestID: id, Body: []byte(`{}`), MaxTokens: 9,
				OnEvent: func(uint64, []byte) error { return nil }})
		}
		send("e", "warm", "r0")
		send("e", "warm", "r0")
		first := send("e", "first", "r")
		second := send("e", "second", "r")
		time.Sleep(20 * time.Millisecond)
		if second.Outcome != Complete {
			t.Errorf("status %d: first %v, second %v (usage %v, %v) after %d runs", status, first.Outcome, second.Outcome, second.Usage, second.Err, runs.Load())
		}
		client.Close()
	}
}

// Guards against a new connection for each refusal, a connection that remembers refusals without a bound, and an answer that is lost when its connection is closed for the next request.
func TestRefusalsShareConnections(t *testing.T) {
	const callers, requests = 8, 8 * maxRefusedRequests
	var connections atomic.Int64
	address := startRawEndpoint(t, func(q *http.Request, c net.Conn) bool {
		_, err := io.WriteString(c, rawAnswer(http.StatusServiceUnavailable, q.Header.Get(requestIDHeader), ""))
		return err == nil
	})
	client := New(Options{Instance: "test", Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		connections.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}})
	defer client.Close()
	var wg sync.WaitGroup
	for caller := range callers {
		wg.Go(func() {
			for i := range requests {
				sink := &recordingSink{}
				res := client.SendApp(context.Background(), AppCall{Endpoint: config.Endpoint{ID: "e", Address: address}, Method: http.MethodPost, Path: "/x",
					RequestID: fmt.Sprint(caller, i/2), Body: []byte("x"), Repeatable: true, Sink: sink})
				if sink.code != http.StatusServiceUnavailable {
					t.Errorf("request %d: status %d, %v", i, sink.code, res.Err)
				}
			}
		})
	}
	wg.Wait()
	if n := connections.Load(); n < callers*requests/maxRefusedRequests || n > callers*requests/2+callers {
		t.Errorf("%d connections for %d requests", n, callers*requests)
	}
	t.Logf("%d connections for %d requests", connections.Load(), callers*requests)
}

// Guards against a repeat on a connection on which the answer to its first sending is still due, behind an empty one to another request.
func TestConnectionOfForeignAnswerIsClosed(t *testing.T) {
	var mu sync.Mutex
	sent := map[net.Conn]int{}
	address := startRawEndpoint(t, func(q *http.Request, c net.Conn) bool {
		id := q.Header.Get(requestIDHeader)
		mu.Lock()
		defer mu.Unlock()
		switch sent[c]++; sent[c] {
		case 2:
			id = "former"
		case 3:
			t.Error("another request on the connection")
		}
		_, err := io.WriteString(c, rawAnswer(http.StatusOK, id, ""))
		return err == nil
	})
	client := New(Options{Instance: "test"})
	defer client.Close()
	for i, want := range []Outcome{Complete, Complete, Unknown, Complete, Complete} {
		res := client.SendApp(context.Background(), AppCall{Endpoint: config.Endpoint{ID: "e", Address: address}, Method: http.MethodGet, Path: "/x",
			RequestID: "r", Repeatable: true, Sink: &recordingSink{}})
		if res.Outcome != want {
			t.Errorf("request %d: %v, %v", i, res.Outcome, res.Err)
		}
	}
}
