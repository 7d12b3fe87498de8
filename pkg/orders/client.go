package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/failure"
)

const maxAnswerBytes = 256 << 10 // a state with a few thousand adapters

// wireState is the state in the form of docs/protocols.md.
type wireState struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

type wireOrder struct {
	Fencing uint64    `json:"fencing"`
	Orderer string    `json:"orderer"`
	State   wireState `json:"state"`
}

func wire(s config.EngineState) wireState {
	return wireState{s.Model, s.Version, append([]string{}, s.Adapters...), s.Role}
}

// agrees compares states; the order of adapters has no meaning.
func (w wireState) agrees(s config.EngineState) bool {
	return w.Model == s.Model && w.Version == s.Version && w.Role == s.Role &&
		slices.Equal(slices.Sorted(slices.Values(w.Adapters)), slices.Sorted(slices.Values(s.Adapters)))
}

// client speaks to engines.
type client struct {
	instance string
	http     *http.Client
}

func newClient(o Options) *client {
	transport := o.Transport
	if transport == nil {
		transport = &http.Transport{DisableKeepAlives: true} // rounds are far apart
	}
	return &client{o.Instance, &http.Client{Transport: transport}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// state reads what the engine runs.
func (c *client) state(ctx context.Context, e config.Endpoint) (wireState, error) {
	var s wireState
	status, body, err := c.call(ctx, http.MethodGet, e, "/v1/state", nil)
	if err != nil {
		return s, err
	}
	if status != http.StatusOK {
		return s, failure.New(failure.EndpointFailed, "look at the engine", "engine %q answered status %d to a read of its state", e.ID, status)
	}
	return s, errors.Wrapf(json.Unmarshal(body, &s), "decode the state of engine %q", e.ID)
}

// order sends an order. failure.Fenced means that the engine has seen a higher
// number. Any other error leaves open whether the order took effect.
func (c *client) order(ctx context.Context, e config.Endpoint, o wireOrder) error {
	data, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	status, body, err := c.call(ctx, http.MethodPost, e, "/v1/orders", data)
	switch {
	case err != nil:
		return err
	case status == http.StatusConflict:
		var newer struct {
			Fencing uint64 `json:"fencing"`
		}
		_ = json.Unmarshal(body, &newer) // the number is for the message only
		return failure.New(failure.Fenced, "another instance gives the orders now",
			"engine %q refused fencing number %d, it has %d", e.ID, o.Fencing, newer.Fencing)
	case status != http.StatusOK:
		return failure.New(failure.EndpointFailed, "look at the engine", "engine %q answered status %d to an order", e.ID, status)
	}
	return nil
}

func (c *client) call(ctx context.Context, method string, e config.Endpoint, path string, body []byte) (int, []byte, error) {
	base := e.Address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(base, "/")+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrapf(err, "address of engine %q", e.ID)
	}
	req.Header.Set("X-Client", c.instance)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "call engine %q", e.ID)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return resp.StatusCode, answer, errors.Wrapf(err, "read the answer of engine %q", e.ID)
}
