package probe

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/routing"
)

const maxReportBytes = 64 << 10 // a report has about 100 bytes

// client reads the reports of endpoints. It refuses redirects, which no endpoint
// of docs/protocols.md sends.
type client struct {
	instance string
	http     *http.Client
}

func newClient(o Options) *client {
	transport := o.Transport
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}
	}
	return &client{o.Instance, &http.Client{
		Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// report is the answer of both kinds of endpoint; an app sends a part of it.
type report struct {
	Running     int    `json:"running"`
	Queued      int    `json:"queued"`
	AsOfMS      int64  `json:"as_of_ms"`
	Draining    bool   `json:"draining"`
	Incarnation string `json:"incarnation"`
}

func (c *client) load(ctx context.Context, e config.Endpoint, kind config.ServiceKind) (routing.Load, error) {
	path := "/v1/load"
	if kind == config.AppService {
		path = "/healthz"
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL(e.Address)+path, nil)
	if err != nil {
		return routing.Load{}, errors.Wrapf(err, "address of endpoint %q", e.ID)
	}
	req.Header.Set("X-Client", c.instance)
	resp, err := c.http.Do(req)
	if err != nil {
		return routing.Load{}, errors.Wrapf(err, "probe endpoint %q", e.ID)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return routing.Load{}, errors.Wrapf(err, "read report of endpoint %q", e.ID)
	}
	if resp.StatusCode != http.StatusOK {
		return routing.Load{}, errors.Newf("endpoint %q answered a probe with status %d", e.ID, resp.StatusCode)
	}
	var r report
	if err := json.Unmarshal(body, &r); err != nil {
		return routing.Load{}, errors.Wrapf(err, "decode report of endpoint %q", e.ID)
	}
	l := routing.Load{
		Running: r.Running, Queued: r.Queued, AsOf: time.UnixMilli(r.AsOfMS),
		Draining:    r.Draining || resp.Header.Get("X-Draining") == "true",
		Incarnation: r.Incarnation,
	}
	if r.AsOfMS == 0 {
		l.AsOf = time.Now() // an app reports its present state
	}
	return l, nil
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}

// refused reports whether nothing listens at the endpoint's address.
func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func resultOf(err error) string {
	switch {
	case err == nil:
		return "ok"
	case refused(err):
		return "refused"
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	}
	return "failed"
}
