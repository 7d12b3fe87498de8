package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/settings"
)

// Client calls the API. It tries the addresses in order until one gives an answer
// that does not depend on the instance. Sending a command to several instances is
// safe, because its id makes it idempotent.
type Client struct {
	// Addresses are host:port pairs or base URLs.
	Addresses []string
	// Token is the operators' token.
	Token settings.Secret
	// Operator is the name under which commands are recorded.
	Operator string
	// HTTP sends the requests.
	HTTP *http.Client
}

// Query runs a query and decodes the answer into out. It fails with
// failure.Unavailable if no address answers, and otherwise with the error that the
// API reports.
func (c *Client) Query(ctx context.Context, name string, params url.Values, out any) error {
	path := QueriesPath + name
	if len(params) > 0 {
		path += "?" + params.Encode()
	}
	return c.callAny(ctx, http.MethodGet, path, nil, out)
}

// Command sends a command and decodes the answer into out. If it fails with
// failure.Uncertain, the command may have taken effect; a repeat with the same id
// is safe.
func (c *Client) Command(ctx context.Context, name, id string, req, out any) error {
	raw, err := json.Marshal(req)
	if err != nil {
		return err
	}
	body, err := json.Marshal(commandEnvelope{Command: id, Request: raw})
	if err != nil {
		return err
	}
	return c.callAny(ctx, http.MethodPost, CommandsPath+name, body, out)
}

// callAny calls the addresses in order until one gives a definite answer. It fails
// with failure.Uncertain if an instance may have executed the command.
func (c *Client) callAny(ctx context.Context, method, path string, body []byte, out any) error {
	var lastErr error = failure.New(failure.Invalid, "give an address", "no address of the operators' API is given")
	uncertain := false
	for _, address := range c.Addresses {
		err := c.call(ctx, method, address, path, body, out)
		if err == nil || !canTryNext(err) {
			return err
		}
		uncertain = uncertain || failure.Is(err, failure.Uncertain)
		lastErr = err
	}
	if uncertain && !failure.Is(lastErr, failure.Uncertain) {
		return failure.New(failure.Uncertain, "repeat it with the same command id", "one address gave no answer, and the last address failed: %v", lastErr)
	}
	return lastErr
}

// canTryNext reports whether another instance may succeed after err.
func canTryNext(err error) bool {
	switch failure.KindOf(err) {
	case failure.Unavailable, failure.Uncertain, failure.NotReady, failure.Timeout:
		return true
	}
	return false
}

// call sends a request to one address and decodes the answer into out.
func (c *Client) call(ctx context.Context, method, address, path string, body []byte, out any) error {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(address, "/")+path, bytes.NewReader(body))
	if err != nil {
		return failure.New(failure.Invalid, "give addresses such as 127.0.0.1:8081", "%v", err)
	}
	req.Header.Set("Authorization", "Bearer "+string(c.Token.Reveal()))
	req.Header.Set(OperatorHeader, c.Operator)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return newNoAnswerError(method, address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return newNoAnswerError(method, address, err)
	}
	return decodeAnswer(resp, address, data, out)
}

// newNoAnswerError returns failure.Uncertain for a command that may have been
// sent, and failure.Unavailable for a query or a failed connection.
func newNoAnswerError(method, address string, err error) error {
	var opErr *net.OpError
	notSent := errors.As(err, &opErr) && opErr.Op == "dial"
	if method == http.MethodGet || notSent {
		return failure.New(failure.Unavailable, "give the address of another instance", "%s does not answer: %v", address, err)
	}
	return failure.New(failure.Uncertain, "repeat it with the same command id", "%s gave no answer: %v", address, err)
}

// decodeAnswer decodes a result into out, or returns the problem that the API
// reports.
func decodeAnswer(resp *http.Response, address string, data []byte, out any) error {
	kind, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if kind == failure.ProblemContentType {
		var p failure.Problem
		if err := json.Unmarshal(data, &p); err == nil && p.Kind != "" {
			return failure.New(p.Kind, p.Remedy, "%s", p.Detail)
		}
	}
	if resp.StatusCode != http.StatusOK || kind != "application/json" {
		return failure.New(failure.Invalid, "give the address of the operators' API", "%s answers with status %s, which is not from the operators' API", address, resp.Status)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return failure.New(failure.Format, "use a tool of the same release", "the answer of %s cannot be read: %v", address, err)
	}
	return nil
}
