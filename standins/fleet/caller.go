package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Answer is what a caller got.
type Answer struct {
	Status  int
	Outcome string
	Body    []byte
	// Events is the number of content events of a stream, and Done whether it
	// ended with its terminal marker.
	Events int
	Done   bool
	Text   string
}

// Problem returns the kind of a problem+json body, or "".
func (a Answer) Problem() string {
	var p struct{ Kind string }
	_ = json.Unmarshal(a.Body, &p) // a body of another form has no kind
	return p.Kind
}

// Header is a request header that a caller sets.
type Header struct{ Name, Value string }

// Call sends one request to the callers' API of an instance.
func Call(ctx context.Context, address, method, path string, body []byte, headers ...Header) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	req.Header.Set("Authorization", "Bearer "+WorkspaceKey)
	req.Header.Set("Content-Type", "application/json")
	for _, h := range headers {
		req.Header.Set(h.Name, h.Value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	a := Answer{Status: resp.StatusCode, Outcome: resp.Header.Get("Clementinerack-Outcome")}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return a, a.readStream(resp.Body)
	}
	a.Body, err = io.ReadAll(resp.Body)
	return a, err
}

func (a *Answer) readStream(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.Done = true
			continue
		}
		a.addChunk([]byte(data))
	}
	return lines.Err()
}

// maxEventBytes bounds one server-sent event of a stand-in.
const maxEventBytes = 1 << 20

func (a *Answer) addChunk(data []byte) {
	var chunk struct {
		Choices []struct {
			Delta struct{ Content string }
		}
	}
	if json.Unmarshal(data, &chunk) != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
		return
	}
	a.Events++
	a.Text += chunk.Choices[0].Delta.Content
}

// Stream asks the model service for a streamed answer.
func Stream(ctx context.Context, address, prompt string, maxTokens int, headers ...Header) (Answer, error) {
	body, err := json.Marshal(map[string]any{
		"model": ModelService, "stream": true, "max_tokens": maxTokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return Answer{}, err
	}
	return Call(ctx, address, http.MethodPost, "/v1/chat/completions", body, headers...)
}

// NewRequestID asks an instance for a request id.
func NewRequestID(ctx context.Context, address string) (string, error) {
	a, err := Call(ctx, address, http.MethodPost, "/v1/request-ids", []byte(`{"count":1}`))
	if err != nil {
		return "", err
	}
	var ids struct{ IDs []string }
	if err := json.Unmarshal(a.Body, &ids); err != nil || len(ids.IDs) != 1 {
		return "", fmt.Errorf("request ids: status %d, body %s", a.Status, a.Body)
	}
	return ids.IDs[0], nil
}

// Book sends a non-repeatable booking under a request id.
func Book(ctx context.Context, address, id string) (Answer, error) {
	return Call(ctx, address, http.MethodPost, "/v1/apps/"+AppService+"/bookings", []byte(`{"street":"Allen Avenue 12"}`), Header{"Idempotency-Key", id})
}

// Executions asks all endpoints how often they ran a request.
func (f *Fleet) Executions(ctx context.Context, id string) (int, error) {
	total := 0
	for _, e := range f.Endpoints {
		if e.Ended() {
			continue
		}
		resp, err := http.Get("http://" + e.Address + "/control/executions?id=" + id)
		if err != nil {
			return 0, err
		}
		var r struct{ Count int }
		err = json.NewDecoder(resp.Body).Decode(&r)
		_ = resp.Body.Close()
		if err != nil {
			return 0, err
		}
		total += r.Count
	}
	return total, nil
}

// Faults sets the test switches of a stand-in.
func Faults(ctx context.Context, address string, faults map[string]any) error {
	data, err := json.Marshal(faults)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/control/faults", bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("faults of %s: status %d", address, resp.StatusCode)
	}
	return nil
}
