package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
)

// Answer is the response that a caller received.
type Answer struct {
	Status  int    // HTTP status
	Outcome string // outcome in the response header or in the error event
	Body    []byte // empty for streams
	// Events is the number of content events of a stream.
	Events int
	// Done reports that a stream ended with its terminal marker.
	Done bool
	// Text is the content of a stream so far.
	Text string
	// Failure is the problem+json of the error event that ended a stream.
	Failure []byte
}

// ProblemKind returns the kind of the problem+json in the body or in the error
// event of a stream, or "" if there is none.
func (a Answer) ProblemKind() string {
	var p struct{ Kind string }
	body := a.Body
	if a.Failure != nil {
		body = a.Failure
	}
	_ = json.Unmarshal(body, &p) // other bodies have no kind
	return p.Kind
}

// Header is a request header field that a caller sets.
type Header struct{ Name, Value string }

// Call sends one request to the callers' API of an instance, with the key of the
// workspace, and reads the whole response. It returns an error only when the
// request cannot be sent or the response cannot be read, whatever the status.
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
	afterErrorEvent := false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			afterErrorEvent = afterErrorEvent || lines.Text() == "event: error"
			continue
		}
		if afterErrorEvent {
			a.setFailure([]byte(data))
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

// setFailure records the error event that ended a stream.
func (a *Answer) setFailure(data []byte) {
	var p struct{ Outcome string }
	_ = json.Unmarshal(data, &p) // without an outcome it is unknown whether the request ran
	a.Failure, a.Outcome = data, p.Outcome
}

// maxEventBytes bounds one line of a server-sent event.
const maxEventBytes = 1 << 20

// addChunk adds the content of a chunk. Chunks without content are not counted.
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

// Stream requests a streamed completion from the model service.
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

// NewRequestID gets a new request id from an instance.
func NewRequestID(ctx context.Context, address string) (string, error) {
	a, err := Call(ctx, address, http.MethodPost, "/v1/request-ids", []byte(`{"count":1}`))
	if err != nil {
		return "", err
	}
	var ids struct{ IDs []string }
	if err := json.Unmarshal(a.Body, &ids); err != nil || len(ids.IDs) != 1 {
		return "", fmt.Errorf("get a request id: status %d, body %s", a.Status, a.Body)
	}
	return ids.IDs[0], nil
}

// Book sends a non-repeatable booking under a request id.
func Book(ctx context.Context, address, id string) (Answer, error) {
	return Call(ctx, address, http.MethodPost, "/v1/apps/"+AppService+"/bookings", []byte(`{"street":"Allen Avenue 12"}`), Header{"Idempotency-Key", id})
}

// Executions returns how often the endpoints executed a request, including
// endpoint processes that have ended. App stand-ins log the request id, engine
// stand-ins a stream id of the form <id>-<attempt>-<try>.
func (f *Fleet) Executions(id string) (int, error) {
	all, err := f.AllExecutions()
	total := 0
	for executionID, n := range all {
		if executionID == id || strings.HasPrefix(executionID, id+"-") {
			total += n
		}
	}
	return total, err
}

// AllExecutions returns the number of executions by the id that the endpoints
// logged. It reads the logs of all processes that the fleet has started.
func (f *Fleet) AllExecutions() (map[string]int, error) {
	counts := map[string]int{}
	logs, err := filepath.Glob(filepath.Join(f.dir, "*.log"))
	if err != nil {
		return nil, err
	}
	for _, path := range logs {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(data)) {
			if id, ok := strings.CutPrefix(line, "executed "); ok {
				counts[strings.TrimSpace(id)]++
			}
		}
	}
	return counts, nil
}

// SetFaults replaces the faults of the stand-in at address. The keys of faults are
// those of the stand-in's route /control/faults.
func SetFaults(ctx context.Context, address string, faults map[string]any) error {
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
		return fmt.Errorf("set the faults of %s: status %d", address, resp.StatusCode)
	}
	return nil
}
