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
	probeTimeout  = 500 * time.Millisecond // a refused connection is reported at once
	maxProbeBytes = 64 << 10
)

// noteDeath finds out whether the endpoint's process ended after the attempt
// failed with cause.
func (c *Client) noteDeath(ctx context.Context, res *Result, ep config.Endpoint, kind config.ServiceKind, cause error) {
	if !brokenConnection(cause) {
		return
	}
	before := c.incarnation(ep.ID)
	now, err := c.probe(ctx, ep, kind)
	switch {
	case err != nil:
		res.EndpointDied = refused(err)
	case now != "":
		res.EndpointDied = before != "" && now != before
		c.RecordIncarnation(ep.ID, now)
	}
	if res.EndpointDied {
		res.Incarnation = before
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

type statusError int

func (e statusError) Error() string { return http.StatusText(int(e)) }

func (c *Client) getJSON(ctx context.Context, method string, ep config.Endpoint, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, method, baseURL(ep.Address)+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set(clientHeader, c.opts.Instance)
	resp, err := c.fresh.RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	c.noteDraining(ep.ID, resp.Header)
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxProbeBytes)).Decode(v)
}
