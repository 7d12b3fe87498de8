package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// ReadRecord reads a value of the platform store. An absent key is nil.
func (f *Fleet) ReadRecord(ctx context.Context, key string) ([]byte, error) {
	status, body, err := f.platformCall(ctx, http.MethodGet, "/v1/kv/"+key, nil)
	switch {
	case err != nil:
		return nil, err
	case status == http.StatusNotFound:
		return nil, nil
	case status != http.StatusOK:
		return nil, fmt.Errorf("read %s: status %d", key, status)
	}
	return body, nil
}

// RegisterEndpoint enters an endpoint in the platform's list with a state.
func (f *Fleet) RegisterEndpoint(ctx context.Context, e *Endpoint, state string) error {
	entry, err := json.Marshal(map[string]string{"id": e.ID, "service": e.Service, "domain": e.Domain, "address": e.Address, "state": state})
	if err != nil {
		return err
	}
	status, _, err := f.platformCall(ctx, http.MethodPut, "/v1/instances/"+e.ID, entry)
	if err == nil && status/100 != 2 {
		err = fmt.Errorf("list %s: status %d", e.ID, status)
	}
	return err
}

func (f *Fleet) platformCall(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.Platform.Address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("X-Client", "fleet")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}
