package probe

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
)

// transport answers each probe with a body.
type transport string

func (body transport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(string(body)))}, nil
}

// Guards against a report whose numbers overflow, or whose time outdates all later reports.
func TestOddReportIsBounded(t *testing.T) {
	for _, n := range []string{"9223372036854775807", "-9223372036854775808", "-1", "0", "4611686018427387904"} {
		c := newClient(Options{Transport: transport(fmt.Sprintf(`{"running":%[1]s,"queued":%[1]s,"as_of_ms":%[1]s}`, n))})
		load, err := c.fetchLoad(t.Context(), config.Endpoint{ID: "e1", Address: "h.example:80"}, config.ModelService)
		if err != nil || load.Running < 0 || load.Queued < 0 || load.Running+load.Queued < load.Running || load.AsOf.After(time.Now()) {
			t.Errorf("%s: %+v, %v", n, load, err)
		}
	}
}
