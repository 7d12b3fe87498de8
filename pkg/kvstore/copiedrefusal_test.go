package kvstore

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

// Guards against the copy of a refusal on a kept connection that makes a write which took effect count as one without effect.
func TestCopiedRefusalIsNotTheAnswerToAWrite(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	const refusal = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
	var writes atomic.Int64
	var first atomic.Bool
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for r, n := bufio.NewReader(c), 0; ; n++ {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, q.Body)
					if first.CompareAndSwap(false, true) {
						_, _ = io.WriteString(c, refusal)
						continue
					}
					if n > 0 {
						_, _ = io.WriteString(c, refusal)
						time.Sleep(5 * time.Millisecond)
					}
					writes.Add(1)
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Version: 7\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	c, err := NewHTTPClient(HTTPOptions{Address: l.Addr().String(), ClientID: "me"}, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.CompareAndSwap(context.Background(), "k", 0, []byte("v")); !failure.Is(err, failure.Unavailable) {
		t.Fatalf("first: %v", err)
	}
	if version, err := c.CompareAndSwap(context.Background(), "k", 0, []byte("v")); err != nil || writes.Load() != 1 {
		t.Errorf("version %d, %v after %d writes", version, err, writes.Load())
	}
}
