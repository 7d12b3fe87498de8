package app

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"github.com/clementinerack/clementinerack/standins/endpoint"
)

// Guards against a stand-in that miscounts executions, which would hide a
// doubled booking, or that ends a broken answer cleanly.
func TestCalls(t *testing.T) {
	tests := []struct {
		desc, method, path string
		faults             endpoint.Faults
		broken             bool
	}{
		{desc: "read", method: "GET", path: "/records/7?size=100"},
		{desc: "root path", method: "GET", path: "/"},
		{desc: "trailing slash", method: "POST", path: "/bookings/"},
		{desc: "draining", method: "POST", path: "/bookings", faults: endpoint.Faults{Draining: true}},
		{desc: "cut in the body", method: "POST", path: "/bookings", faults: endpoint.Faults{CutAfter: 10}, broken: true},
		{desc: "cut before the answer", method: "POST", path: "/bookings", faults: endpoint.Faults{CutAfter: -1}, broken: true},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			ignore := goleak.IgnoreCurrent()
			a := New(Options{ID: "a"})
			a.SetFaults(tt.faults)
			address, stop, err := endpoint.Start(a)
			if err != nil {
				t.Fatal(err)
			}
			r, err := http.NewRequest(tt.method, "http://"+address+tt.path, strings.NewReader("body"))
			if err != nil {
				t.Fatal(err)
			}
			r.Header.Set("X-Request-Id", "r1")
			transport := &http.Transport{DisableKeepAlives: true}
			resp, err := transport.RoundTrip(r)
			if err == nil {
				if draining := resp.Header.Get("X-Draining") == "true"; draining != tt.faults.Draining || resp.StatusCode != 200 {
					t.Errorf("status %d, draining %v", resp.StatusCode, draining)
				}
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			if (err != nil) != tt.broken || a.Executions("r1") != 1 {
				t.Errorf("err %v, %d executions", err, a.Executions("r1"))
			}
			if err := stop(); err != nil {
				t.Error(err)
			}
			goleak.VerifyNone(t, ignore)
		})
	}
}
