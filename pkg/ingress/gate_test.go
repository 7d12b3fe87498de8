package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Guards against bytes and connections that stay counted after their requests, and against an answer that is no refusal.
func TestAllIsGivenBackAfterACrowd(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	rules := Rules{HeadBytes: 4000, HeadTimeout: 300 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}
	g := NewGate(Limits{Connections: 20, Bytes: 100_000}, func() Rules { return rules }, log, prometheus.NewRegistry())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if body, err := ReadBody(w, r, 50_000, time.Now().Add(time.Second)); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		} else {
			_, _ = fmt.Fprint(w, len(body)) // fails only if the client has left
		}
	})}
	g.Attach(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var background, clients sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	background.Go(func() { g.Run(ctx) })
	background.Go(func() { _ = server.Serve(g.Listen(listener)) }) // returns when the server is closed
	const post = "POST / HTTP/1.1\r\nHost: h\r\n"
	for i := range 200 {
		request := []string{
			post + "Content-Length: 30000\r\n\r\n" + strings.Repeat("x", 30000),
			post + "Content-Length: 30000\r\n\r\n" + strings.Repeat("x", 29999),
			post + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 3000),
			post + "Transfer-Encoding: chunked\r\n\r\nffff\r\n" + strings.Repeat("x", 0xffff),
			post + "X: " + strings.Repeat("x", i*100),
			post + "Content-Length: 1\r\n\r\nx" + post + "Content-Length: 1\r\n\r\nx",
		}[i%6]
		clients.Go(func() {
			c, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, request) // the gate may end the connection
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil && resp.StatusCode == http.StatusOK && i%6 != 0 && i%6 != 5 {
				t.Errorf("kind %d: an incomplete request was served", i%6)
			}
		})
	}
	clients.Wait()
	for deadline := time.Now().Add(20 * time.Second); g.guard.Usage() != (Usage{}); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%+v is left", g.guard.Usage())
		}
	}
	if g.guard.leaving != 0 { // nothing changes it any more
		t.Errorf("%d bytes of ended connections are left", g.guard.leaving)
	}
	cancel()
	_ = server.Close()
	background.Wait()
}

// Guards against a connection that stays open because its request was refused before its unfinished body was read.
func TestRefusedRequestWithUnfinishedBodyIsAnswered(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := NewGate(Limits{Connections: 5, Bytes: 100_000}, func() Rules { return Rules{HeadBytes: 4000, HeadTimeout: time.Minute, IdleTimeout: time.Minute} }, log, prometheus.NewRegistry())
	server := &http.Server{Handler: http.NotFoundHandler()}
	g.Attach(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(g.Listen(listener)) }() // returns when the server is closed
	defer func() { _ = server.Close() }()
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second)) // fails only on a closed connection
	_, _ = io.WriteString(c, "POST /unknown HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx")
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != http.StatusNotFound {
		t.Errorf("answer %v, error %v", resp, err)
	}
}
