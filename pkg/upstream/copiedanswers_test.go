package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// Guards against concurrent sendings of one ID that put it on a connection that has refused it.
func TestConcurrentSendingsOfOneIDAvoidConnectionsThatRefusedIt(t *testing.T) {
	var mu sync.Mutex
	seen := map[net.Conn]map[string]bool{}
	r := startRunner(t, func(q *http.Request, _ []byte, c net.Conn) bool {
		id := q.Header.Get(machines.HeaderRequestID)
		mu.Lock()
		if seen[c] == nil {
			seen[c] = map[string]bool{}
		}
		again := seen[c][id]
		seen[c][id] = true
		mu.Unlock()
		if again {
			t.Errorf("ID %s again", id)
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 X\r\n%s: %s\r\n%s: 1\r\nContent-Length: 2\r\n\r\nno", machines.HeaderRequestID, id, machines.HeaderNotExecuted)
		return err == nil
	})
	c := newClient(t)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for k := range 300 {
				id := fmt.Sprint((i + k) % 5)
				q := newRequest(id, "")
				q.ID = id
				if _, err := doAndRead(c, r.Address(), q); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
}

// Guards against a data race of a read after the end of a body with the next request on the connection.
func TestReadAfterEndOfBodyDoesNotUseTheConnection(t *testing.T) {
	r := startRunner(t, func(q *http.Request, _ []byte, c net.Conn) bool {
		time.Sleep(time.Millisecond)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 X\r\n%s: %s\r\nContent-Length: 2\r\n\r\nno", machines.HeaderRequestID, q.Header.Get(machines.HeaderRequestID))
		return err == nil
	})
	c := newClient(t)
	for i := range 50 {
		resp, err := c.Do(context.Background(), r.Address(), newRequest(fmt.Sprint(i), ""))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(resp); err != nil {
			t.Fatal(err)
		}
		var wg sync.WaitGroup
		wg.Go(func() { _, _ = doAndRead(c, r.Address(), newRequest("x", "")) })
		for range 50 {
			if _, err := resp.Read(make([]byte, 8)); err != io.EOF {
				t.Errorf("read after the end: %v", err)
			}
		}
		wg.Wait()
		resp.Close()
	}
}
