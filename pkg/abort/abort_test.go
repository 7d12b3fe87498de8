package abort_test

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/clementinerack/clementinerack/pkg/abort"
)

// Guards against a response without its end that its caller takes for a complete one, and
// against a complete one that is cut.
func TestOnlyCompletedResponseIsComplete(t *testing.T) {
	write := func(w *abort.Writer) {
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
	}
	for _, tc := range []struct {
		desc     string
		handle   func(w *abort.Writer)
		complete bool
	}{
		{"completed", func(w *abort.Writer) { write(w); w.Complete() }, true},
		{"not completed", write, false},
		{"untouched", func(*abort.Writer) {}, false},
		{"panic", func(w *abort.Writer) { write(w); panic("bug") }, false},
		{"panic after the end", func(w *abort.Writer) { write(w); w.Complete(); panic("bug") }, false},
	} {
		for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(tc.desc+"/"+proto, func(t *testing.T) {
				server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					response := abort.NewWriter(w, r)
					defer response.End()
					tc.handle(response)
				}))
				server.Config.ErrorLog = log.New(io.Discard, "", 0)
				server.Start()
				defer server.Close()
				conn, err := net.Dial("tcp", server.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				if _, err := fmt.Fprintf(conn, "GET / %s\r\nHost: h\r\n\r\n", proto); err != nil {
					t.Fatal(err)
				}
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil {
					_, err = io.ReadAll(resp.Body)
				}
				if (err == nil) != tc.complete {
					t.Errorf("complete: %t, %v", err == nil, err)
				}
			})
		}
	}
}
