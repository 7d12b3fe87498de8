package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a response that is given up after its caller has closed its sending side, and looks whole.
func TestGivenUpResponseIsNeverWhole(t *testing.T) {
	plainChat := strings.Replace(chatBody, `"stream":true`, `"stream":false`, 1)
	large := strings.Repeat("x", 1<<20) // more than the relay holds back
	for _, tc := range []struct {
		desc, method, path, body string
		part                     func(http.ResponseWriter) // what the endpoint sends before it waits
	}{
		{"silent stream", "POST", chatPath, chatBody, nil},
		{"stream", "POST", chatPath, chatBody, func(w http.ResponseWriter) { writeEvents(w, 1, 2) }},
		{"completion", "POST", chatPath, plainChat, func(w http.ResponseWriter) { writeEvents(w, 1, 2) }},
		{"silent app", "GET", appPrefix + "rounds/look", "", nil},
		{"app in chunks", "GET", appPrefix + "rounds/look", "", func(w http.ResponseWriter) { _, _ = io.WriteString(w, large) }},
		{"app with a length", "GET", appPrefix + "rounds/look", "", func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", fmt.Sprint(len(large)+1))
			_, _ = io.WriteString(w, large)
		}},
	} {
		for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(tc.desc+"/"+proto, func(t *testing.T) {
				t.Parallel()
				begun := make(chan struct{}, maxAttempts)
				f := newFixture(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.Copy(io.Discard, r.Body) // otherwise net/http does not notice that the caller leaves
					if tc.part != nil {
						tc.part(w)
						_ = http.NewResponseController(w).Flush()
					}
					begun <- struct{}{}
					<-r.Context().Done()
				}))
				conn, err := net.Dial("tcp", f.http.Listener.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				if _, err := fmt.Fprintf(conn, "%s %s %s\r\nHost: h\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n%s", tc.method, tc.path, proto, len(tc.body), tc.body); err != nil {
					t.Fatal(err)
				}
				<-begun
				time.Sleep(20 * time.Millisecond) // until what was sent has been forwarded
				if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
					t.Fatal(err)
				}
				if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
					t.Fatal(err)
				}
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					return // no response is not a whole one
				}
				defer func() { _ = resp.Body.Close() }()
				body, err := io.ReadAll(resp.Body)
				saysError := strings.Contains(string(body), "event: error") && !isWholeStream(string(body))
				if err == nil && resp.StatusCode < 300 && !saysError {
					t.Errorf("status %d and %d bytes without an error", resp.StatusCode, len(body))
				}
			})
		}
	}
}
