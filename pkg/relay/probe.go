package relay

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
)

const (
	probeTimeout  = 500 * time.Millisecond // a refused connection is reported immediately
	maxProbeBytes = 64 << 10
)

// detectDeath probes the endpoint after an attempt failed with cause, and records
// in res whether its process has ended.
func (c *Client) detectDeath(ctx context.Context, res *Result, ep config.Endpoint, kind config.ServiceKind, cause error) {
	if !isBrokenConnection(cause) {
		return
	}
	previous := c.incarnation(ep.ID)
	current, err := c.probe(ctx, ep, kind)
	switch {
	case err != nil:
		res.EndpointDied = isConnectionRefused(err)
	case current != "":
		res.EndpointDied = previous != "" && current != previous
		c.RecordIncarnation(ep.ID, current)
	}
	if res.EndpointDied {
		res.Incarnation = previous
	}
}

// probe asks the endpoint for its incarnation on a new connection.
func (c *Client) probe(ctx context.Context, ep config.Endpoint, kind config.ServiceKind) (string, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	path := "/healthz"
	if kind == config.ModelService {
		path = "/v1/load"
	}
	var answer struct {
		Incarnation string `json:"incarnation"`
	}
	if err := c.getJSON(ctx, http.MethodGet, ep, path, &answer); err != nil {
		return "", err
	}
	return answer.Incarnation, nil
}

// statusError is an HTTP status code other than 200.
type statusError int

func (e statusError) Error() string { return http.StatusText(int(e)) }

func (c *Client) getJSON(ctx context.Context, method string, ep config.Endpoint, path string, v any) error {
	memory := c.budget.Open(ep.ID)
	defer memory.Close()
	ctx, _ = withRecorder(ctx, 0, memory) // the connection carries no other request
	req, err := http.NewRequestWithContext(ctx, method, baseURL(ep.Address)+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set(clientHeader, c.opts.Instance)
	resp, err := c.unpooled.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	c.reportDraining(ep.ID, resp.Header)
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxProbeBytes)).Decode(v)
}
