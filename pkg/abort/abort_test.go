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

// newServer starts a server with one handler.
func newServer(handle func(*abort.Writer)) *httptest.Server {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := abort.NewWriter(w, r)
		defer response.End()
		handle(response)
	}))
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Config.ConnContext = abort.ConnContext
	server.Start()
	return server
}

// isComplete sends a request and reports whether its response has no error to its end.
func isComplete(t *testing.T, server *httptest.Server, proto string) bool {
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Error(err)
		return false
	}
	defer func() { _ = conn.Close() }()
	if _, err := fmt.Fprintf(conn, "GET / %s\r\nHost: h\r\n\r\n", proto); err != nil {
		t.Error(err)
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
	}
	return err == nil
}

// Guards against a response without its end that looks complete, and against a complete one that is cut.
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
				server := newServer(tc.handle)
				defer server.Close()
				if got := isComplete(t, server, proto); got != tc.complete {
					t.Errorf("complete: %t", got)
				}
			})
		}
	}
}

// Guards against a response that is cut by the end of its server and looks complete.
func TestResponseCutByItsServerIsNotComplete(t *testing.T) {
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(proto, func(t *testing.T) {
			begun, closed := make(chan struct{}), make(chan struct{})
			server := newServer(func(w *abort.Writer) {
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				close(begun)
				<-closed
			})
			defer server.Close()
			complete := make(chan bool)
			go func() { complete <- isComplete(t, server, proto) }()
			<-begun
			_ = server.Config.Close() // fails only if the listener is closed already
			close(closed)
			if <-complete {
				t.Error("the response looks complete")
			}
		})
	}
}
