package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/wait"
	"github.com/clementinerack/clementinerack/standins/machines"
)

const (
	// sendHeader numbers the sends of a caller with the same request ID.
	sendHeader = "X-Send"
	// meanStaleTime is how long a former registration stays in the store.
	meanStaleTime = time.Second
	// copiedShare is the share of the answers after a refusal that follow a copy of it.
	copiedShare = 0.75
)

// sendKey names a send of a caller: a request ID and the number of the send.
func sendKey(h http.Header) string {
	return h.Get(machines.HeaderRequestID) + " send " + h.Get(sendHeader)
}

// meansNotRun reports whether a status promises that the request has not run and never will.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// refuser refuses requests and sends copies of refusals where a later answer is due.
type refuser struct {
	cluster    *testCluster
	sent       sync.Map // latest refusal without a copy, by connection
	everywhere sync.Map // sends that all runners refuse, by sendKey
}

// wrap returns a connection that may write a copy of an earlier refusal before the next
// answer.
func (f *refuser) wrap(accepted net.Conn) net.Conn {
	if f.cluster.randFloat() > copiedShare {
		return accepted
	}
	refusal, ok := f.sent.LoadAndDelete(accepted)
	if !ok {
		return accepted
	}
	return &copyingConn{Conn: accepted, refusal: refusal.(string)}
}

// refuse refuses r, which arrived on the connection accepted, with an answer on c.
func (f *refuser) refuse(r *http.Request, accepted, c net.Conn, status int) bool {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status),
		machines.HeaderRequestID, r.Header.Get(machines.HeaderRequestID), machines.HeaderNotExecuted)
	f.sent.Store(accepted, text)
	_, err := io.WriteString(c, text)
	return err == nil
}

// copyingConn writes a copy of a refusal before the answer that is written.
type copyingConn struct {
	net.Conn
	refusal string
}

func (c *copyingConn) Write(p []byte) (int, error) {
	text := c.refusal
	c.refusal = ""
	if text == "" {
		return c.Conn.Write(p)
	}
	_, err := c.Conn.Write(append([]byte(text), p...))
	return len(p), err
}

// reregister registers random runners under new IDs at their addresses. The former
// registrations stay in the store for some time.
func (tc *testCluster) reregister(ctx context.Context) {
	for _, id := range tc.runners.IDs() {
		if tc.randInt(2) == 0 {
			continue
		}
		tc.runners.Reregister(id, cmp.Or(tc.zoneOf(id), "z0"))
		go func() {
			wait.Sleep(ctx, tc.randDuration(meanStaleTime))
			tc.store.Remove(machines.ServersPrefix + id)
		}()
	}
}
