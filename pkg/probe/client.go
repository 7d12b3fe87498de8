package probe

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/limits"
	"github.com/clementinerack/clementinerack/pkg/routing"
)

const (
	maxReportBytes  = 64 << 10 // a report has about 100 bytes
	requestIDHeader = "X-Request-Id"
	// maxReportedRequests is more than the requests of any endpoint.
	maxReportedRequests = 1 << 24
)

// client reads the load reports of endpoints. It does not follow redirects, which no
// endpoint sends according to docs/protocols.md.
type client struct {
	instanceID string
	pooled     *http.Client
	unpooled   *http.Client  // opens a new connection for each probe
	sent       atomic.Uint64 // probes, of which it numbers the IDs
	naming     sync.Map      // addresses of the endpoints that repeat request IDs in their reports
}

func newClient(o Options) *client {
	return &client{instanceID: o.Instance, pooled: newHTTPClient(o.Transport, false), unpooled: newHTTPClient(o.Transport, true)}
}

// newHTTPClient returns a client that uses transport, or a new one if it is nil.
func newHTTPClient(transport http.RoundTripper, disableKeepAlives bool) *http.Client {
	if transport == nil {
		transport = &http.Transport{
			MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, DisableKeepAlives: disableKeepAlives, MaxResponseHeaderBytes: limits.ResponseHeadBytes,
		}
	}
	return &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

func (c *client) close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// send sends a probe to an address and returns the response to it. It uses a kept
// connection only if the endpoint repeats request IDs: otherwise the late copy of an
// earlier report could not be told from the new one.
func (c *client) send(req *http.Request, address string) (*http.Response, error) {
	id := fmt.Sprintf("probe-%d", c.sent.Add(1))
	req.Header.Set(requestIDHeader, id)
	if _, ok := c.naming.LoadAndDelete(address); ok {
		resp, err := c.pooled.Do(req)
		if err != nil || c.recordNaming(address, id, resp.Header) {
			return resp, err
		}
		_ = resp.Body.Close()
	}
	resp, err := c.unpooled.Do(req)
	if err == nil {
		c.recordNaming(address, id, resp.Header)
	}
	return resp, err
}

// recordNaming records and reports whether a report repeats the ID of its probe.
func (c *client) recordNaming(address, id string, report http.Header) bool {
	names := report.Get(requestIDHeader) == id
	if names {
		c.naming.Store(address, nil)
	}
	return names
}

// report is the response to a probe. An app sends only some of the fields.
type report struct {
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
	AsOfMS      int64  `json:"as_of_ms"`
	Draining    bool   `json:"draining"`
	Incarnation string `json:"incarnation"`
}

// fetchLoad probes an endpoint and returns the load that it reports.
func (c *client) fetchLoad(ctx context.Context, endpoint config.Endpoint, kind config.ServiceKind) (routing.Load, error) {
	path := "/v1/load"
	if kind == config.AppService {
		path = "/healthz"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL(endpoint.Address)+path, nil)
	if err != nil {
		return routing.Load{}, errors.Wrapf(err, "create probe of endpoint %q", endpoint.ID)
	}
	req.Header.Set("X-Client", c.instanceID)
	resp, err := c.send(req, endpoint.Address)
	if err != nil {
		return routing.Load{}, errors.Wrapf(err, "probe endpoint %q", endpoint.ID)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return routing.Load{}, errors.Wrapf(err, "read report of endpoint %q", endpoint.ID)
	}
	if resp.StatusCode != http.StatusOK {
		return routing.Load{}, errors.Newf("endpoint %q responded to a probe with status %d", endpoint.ID, resp.StatusCode)
	}
	var rep report
	if err := json.Unmarshal(body, &rep); err != nil {
		return routing.Load{}, errors.Wrapf(err, "decode report of endpoint %q", endpoint.ID)
	}
	load := routing.Load{
		Running: boundCount(rep.Running), Queued: boundCount(rep.Queued), AsOf: time.UnixMilli(rep.AsOfMS),
		Draining:    rep.Draining || resp.Header.Get("X-Draining") == "true",
		Incarnation: rep.Incarnation,
	}
	if now := time.Now(); rep.AsOfMS == 0 || load.AsOf.After(now) {
		load.AsOf = now // an app reports no time, but its current state; a clock may be ahead
	}
	return load, nil
}

// boundCount returns n, or the nearest number that an endpoint can report.
func boundCount(n int) int { return min(max(n, 0), maxReportedRequests) }

// baseURL returns the URL of an address, which may lack the scheme http.
func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}

// isRefused reports whether a probe failed because nothing listens on the endpoint's
// address.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// resultLabel returns the value of the result label for a probe that ended with err.
func resultLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case isRefused(err):
		return "refused"
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	}
	return "failed"
}
