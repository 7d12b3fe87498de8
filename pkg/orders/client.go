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
	"github.com/clementinerack/clementinerack/pkg/limits"
)

// maxResponseBytes limits the response of an engine. It has room for a state with a
// few thousand adapters.
const maxResponseBytes = 256 << 10

// stateMessage is the state of an engine as sent to and by engines; see
// docs/protocols.md.
type stateMessage struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// orderMessage is the body of an order.
type orderMessage struct {
	Fencing uint64       `json:"fencing"`
	Orderer string       `json:"orderer"`
	State   stateMessage `json:"state"`
}

// newStateMessage converts a desired state. Adapters is never nil, so that it is
// encoded as a list.
func newStateMessage(s config.EngineState) stateMessage {
	return stateMessage{s.Model, s.Version, append([]string{}, s.Adapters...), s.Role}
}

// matches reports whether the states are equal. The order of adapters has no
// meaning.
func (m stateMessage) matches(s config.EngineState) bool {
	return m.Model == s.Model && m.Version == s.Version && m.Role == s.Role &&
		slices.Equal(slices.Sorted(slices.Values(m.Adapters)), slices.Sorted(slices.Values(s.Adapters)))
}

// client calls engines.
type client struct {
	instance string
	http     *http.Client
}

// newClient returns a client with the transport of the options or its own.
func newClient(o Options) *client {
	transport := o.Transport
	if transport == nil {
		transport = &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: limits.ResponseHeadBytes} // rounds are too far apart to reuse connections
	}
	return &client{o.Instance, &http.Client{Transport: transport}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// readState reads the state that the engine runs.
func (c *client) readState(ctx context.Context, e config.Endpoint) (stateMessage, error) {
	var s stateMessage
	status, body, err := c.call(ctx, http.MethodGet, e, "/v1/state", nil)
	if err != nil {
		return s, err
	}
	if status != http.StatusOK {
		return s, failure.New(failure.EndpointFailed, "check the engine", "engine %q answered status %d to a read of its state", e.ID, status)
	}
	return s, errors.Wrapf(json.Unmarshal(body, &s), "decode the state of engine %q", e.ID)
}

// sendOrder sends an order. It fails with failure.Fenced if the engine has seen a
// higher fencing token. Any other error leaves open whether the order took
// effect.
func (c *client) sendOrder(ctx context.Context, e config.Endpoint, o orderMessage) error {
	data, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	status, body, err := c.call(ctx, http.MethodPost, e, "/v1/orders", data)
	switch {
	case err != nil:
		return err
	case status == http.StatusConflict:
		var conflict struct {
			Fencing uint64 `json:"fencing"`
		}
		_ = json.Unmarshal(body, &conflict) // the token is only for the message
		return failure.New(failure.Fenced, "none needed: another instance sends the orders now",
			"engine %q refused fencing token %d, it has %d", e.ID, o.Fencing, conflict.Fencing)
	case status != http.StatusOK:
		return failure.New(failure.EndpointFailed, "check the engine", "engine %q answered status %d to an order", e.ID, status)
	}
	return nil
}

// call sends a request to an engine and returns the status and at most
// maxResponseBytes of the body.
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
	responseBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp.StatusCode, responseBody, errors.Wrapf(err, "read the answer of engine %q", e.ID)
}
