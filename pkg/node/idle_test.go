package node_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// putIdleLimit writes a configuration with idle_timeout_ms.
func (f *fleet) putIdleLimit(version int, limit time.Duration) {
	f.store.PutConfig(version, "book")
	config, _ := f.store.Get(machines.ConfigKey)
	f.store.Put(machines.ConfigKey, strings.Replace(string(config), "{", fmt.Sprintf(`{"limits":{"idle_timeout_ms":%d},`, limit.Milliseconds()), 1))
}

// keptConn is a connection of a caller that is kept for many requests.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

func (m *member) dial() *keptConn {
	m.f.t.Helper()
	conn, err := net.Dial("tcp", m.callers)
	if err != nil {
		m.f.t.Fatal(err)
	}
	m.f.t.Cleanup(func() { _ = conn.Close() })
	return &keptConn{conn, bufio.NewReader(conn)}
}

// get sends a request and returns an error unless it is served whole.
func (c *keptConn) get() error {
	if _, err := fmt.Fprintf(c, "GET /book/1 HTTP/1.1\r\nHost: %s\r\nAuthorization: %s%s\r\n%s: id1\r\n\r\n", machines.Host, machines.KeyScheme, machines.APIKey, machines.HeaderRequestID); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "whole" {
		return fmt.Errorf("status %d, body %q, %v", resp.StatusCode, body, err)
	}
	return nil
}

// isOpen waits for the end of the connection and reports whether there is none.
func (c *keptConn) isOpen(wait time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(wait)) // fails only on a closed connection
	_, err := c.reader.ReadByte()
	_ = c.SetReadDeadline(time.Time{})
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// Guards against connections of callers that are closed later or sooner than the configuration says.
func TestIdleTimeoutOfConfiguration(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.runner.SetScript(machines.Answer(200, "whole"))
	f.putIdleLimit(2, time.Minute)
	m := f.start("n1")
	kept := m.dial()
	f.waitUntil("an answer", func() bool { return kept.get() == nil })
	if !kept.isOpen(2 * time.Second) {
		t.Fatal("closed before the limit")
	}
	const limit = time.Second
	f.putIdleLimit(3, limit)
	if kept.isOpen(stateTimeout) {
		t.Error("open after a change of the limit")
	}
	used := m.dial()
	for range 3 {
		if err := used.get(); err != nil {
			t.Fatalf("reused within the limit: %v", err)
		}
		time.Sleep(limit * 4 / 5)
	}
	f.runner.SetScript(func(q *http.Request, b []byte, c net.Conn) bool {
		time.Sleep(3 * limit)
		return machines.Answer(200, "whole")(q, b, c)
	})
	if err := used.get(); err != nil {
		t.Errorf("closed during a request: %v", err)
	}
	if used.isOpen(stateTimeout) {
		t.Error("open after the limit")
	}
}
