package relay

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/membudget"
)

// maxErrorBytes bounds the endpoint's error text that is quoted in a message.
const maxErrorBytes = 512

// chunk holds the members of an event's JSON object that the relay reads.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *Usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// contentBytes returns the length of the content.
func (c chunk) contentBytes() int {
	n := 0
	for _, choice := range c.Choices {
		n += len(choice.Delta.Content)
	}
	return n
}

// handleEvent adds an event and delivers those that are now in order. It reports
// whether the stream is complete, which requires the terminal marker, the usage
// report and no missing event.
func (a *modelAttempt) handleEvent(e event) (bool, error) {
	if a.result.FirstByte == 0 {
		a.result.FirstByte = time.Since(a.startedAt)
	}
	if e.seq == 0 && !e.isTerminal() {
		return false, a.invalidEventError("an event without a sequence number")
	}
	if !e.isTerminal() && !a.buffer.isNew(e) {
		a.memory.Free(e.data)
		return false, nil
	}
	if err := a.buffer.add(e); err != nil {
		return false, err
	}
	for {
		e, ok := a.buffer.pop()
		if !ok {
			break
		}
		if e.isTerminal() {
			a.buffer.terminated = true
			break
		}
		if err := a.deliver(e); err != nil {
			return false, err
		}
	}
	return a.buffer.terminated && len(a.buffer.held) == 0 && a.usage != nil, nil
}

// deliver passes an event on. It fails if the event is invalid, if the stream has
// more events with content than MaxTokens, or if the caller has disconnected.
func (a *modelAttempt) deliver(e event) error {
	defer a.memory.Free(e.data)
	var c chunk
	if err := json.Unmarshal(e.data, &c); err != nil {
		return a.invalidEventError("an event that is not JSON")
	}
	if len(c.Error) > 0 && string(c.Error) != "null" {
		return a.invalidEventError("the error " + truncateText(string(c.Error)))
	}
	if c.Usage != nil {
		a.usage = c.Usage
	}
	if n := c.contentBytes(); n > 0 {
		a.contentEvents++
		if a.contentBytes += n; a.call.KeepsContent && a.contentBytes > membudget.FreeBytes && !a.memory.Take(n) {
			return a.invalidEventError("more content than there is memory for")
		}
	}
	if a.contentEvents > a.call.MaxTokens {
		return &stopError{failure.New(failure.EndpointFailed, "repeat the request or report the engine to the operators",
			"endpoint %q exceeded max_tokens of %d", a.call.Endpoint.ID, a.call.MaxTokens)}
	}
	if err := a.call.OnEvent(e.seq, e.data); err != nil {
		return &stopError{callerLeftError()}
	}
	a.result.Delivered = true
	return nil
}

func (a *modelAttempt) invalidEventError(problem string) error {
	return &endpointError{err: failure.New(failure.EndpointFailed, "repeat the request or report the engine to the operators",
		"endpoint %q sent %s", a.call.Endpoint.ID, problem)}
}

// responseError returns the error of an answer with a status other than 200.
func (a *modelAttempt) responseError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes)) // an incomplete text is acceptable
	e := &endpointError{streamLost: resp.StatusCode == http.StatusNotFound && a.result.Reconnects > 0, refused: !a.sentEarlier}
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		e.err = failure.New(failure.Invalid, "correct the request", "the engine refused the request: %s", truncateText(string(text)))
	default:
		e.err = failure.New(failure.EndpointFailed, "repeat the request",
			"endpoint %q answered with status %d", a.call.Endpoint.ID, resp.StatusCode)
	}
	return e
}

func truncateText(text string) string {
	text = strings.TrimSpace(text)
	if len(text) > maxErrorBytes {
		text = text[:maxErrorBytes]
	}
	return strings.ToValidUTF8(text, "")
}
