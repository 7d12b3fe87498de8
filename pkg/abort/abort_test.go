package abort_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/clementinerack/clementinerack/pkg/abort"
)

// Guards against an aborted response that its caller takes for a complete one.
func TestAbortedResponseIsNotComplete(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		abort.Response(w, r)
	}))
	defer server.Close()
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(proto, func(t *testing.T) {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if _, err := fmt.Fprintf(conn, "GET / %s\r\nHost: h\r\n\r\n", proto); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return // no response is not a complete one
			}
			if body, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("body %q without an error", body)
			}
		})
	}
}
