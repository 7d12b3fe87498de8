package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

// putLimits writes a configuration with the given members of limits.
func (f *fleet) putLimits(version int, members string) {
	f.store.PutConfig(version, "book")
	config, _ := f.store.Get(machines.ConfigKey)
	f.store.Put(machines.ConfigKey, strings.Replace(string(config), "{", `{"limits":{`+members+`},`, 1))
}

// Guards against declared limits on heads and bodies that do not hold, and against a refusal of what is inside them.
func TestDeclaredLimitsOfRequestsHold(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.putLimits(2, `"max_header_bytes":8000,"max_body_bytes":5000,"header_timeout_ms":500,"idle_timeout_ms":60000`)
	f.runner.SetScript(machines.Answer(http.StatusOK, "whole"))
	m := f.start("n1")
	f.waitUntil("the limits", func() bool { return m.dial().get() == nil })
	head := fmt.Sprintf("POST /book/1 HTTP/1.1\r\nHost: %s\r\nAuthorization: %s%s\r\n%s: id1\r\n", machines.Host, machines.KeyScheme, machines.APIKey, machines.HeaderRequestID)
	field := func(n int) string { return "X-Field: " + strings.Repeat("x", n) + "\r\n" }
	for _, tc := range []struct {
		desc, request string
		status        int // 0 if the connection ends without an answer
	}{
		{"inside", head + field(7000) + "Content-Length: 5000\r\n\r\n" + strings.Repeat("x", 5000), http.StatusOK},
		{"chunks inside", head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 5000) + "0\r\n\r\n", http.StatusOK},
		{"announced body", head + "Content-Length: 5001\r\n\r\n", http.StatusRequestEntityTooLarge},
		{"sent body", head + "Transfer-Encoding: chunked\r\n\r\n1389\r\n" + strings.Repeat("x", 5001), http.StatusRequestEntityTooLarge},
		{"head", head + field(14000), http.StatusRequestHeaderFieldsTooLarge},
		{"slow head", head, 0},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			c := m.dial()
			_ = c.SetDeadline(time.Now().Add(20 * time.Second)) // fails only on a closed connection
			if _, err := io.WriteString(c, tc.request); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if tc.status == 0 {
				if err == nil || strings.Contains(err.Error(), "timeout") {
					t.Errorf("the connection did not end: %v", err)
				}
				return
			}
			if err != nil || resp.StatusCode != tc.status {
				t.Errorf("%+v, %v", resp, err)
			}
		})
	}
}
