package relay

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/pkg/failure"
)

const maxErrorBytes = 512 // of an endpoint's error text in a message

// chunk is what the relay reads of a stream's events.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *Usage          `json:"usage"`
	Error json.RawMessage `json:"error"`
}

func (c chunk) hasContent() bool {
	for _, choice := range c.Choices {
		if choice.Delta.Content != "" {
			return true
		}
	}
	return false
}

// take passes on what has become available in order. It reports whether the
// stream is complete, which needs the terminal marker, the usage report and no
// missing event.
func (s *stream) take(e event) (bool, error) {
	if s.res.FirstByte == 0 {
		s.res.FirstByte = time.Since(s.began)
	}
	if e.seq == 0 && !e.done() {
		return false, s.garbage("an event without sequence number")
	}
	if err := s.seq.add(e); err != nil {
		return false, err
	}
	for {
		e, ok := s.seq.next()
		if !ok {
			break
		}
		if e.done() {
			s.seq.done = true
			break
		}
		if err := s.deliver(e); err != nil {
			return false, err
		}
	}
	return s.seq.done && len(s.seq.held) == 0 && s.usage != nil, nil
}

func (s *stream) deliver(e event) error {
	var c chunk
	if err := json.Unmarshal(e.data, &c); err != nil {
		return s.garbage("an event that is not JSON")
	}
	if len(c.Error) > 0 && string(c.Error) != "null" {
		return s.garbage("the error " + clip(string(c.Error)))
	}
	if c.Usage != nil {
		s.usage = c.Usage
	}
	if c.hasContent() {
		s.content++
	}
	if s.content > s.call.MaxTokens {
		return &stopError{failure.New(failure.EndpointFailed, "repeat the request or report the engine to the operators",
			"endpoint %q exceeded max_tokens of %d", s.call.Endpoint.ID, s.call.MaxTokens)}
	}
	if err := s.call.OnEvent(e.seq, e.data); err != nil {
		return &stopError{callerLeft()}
	}
	s.res.Delivered = true
	return nil
}

func (s *stream) garbage(what string) error {
	return &refusal{err: failure.New(failure.EndpointFailed, "repeat the request or report the engine to the operators",
		"endpoint %q sent %s", s.call.Endpoint.ID, what)}
}

// refusal turns an answer without a stream into an error.
func (s *stream) refusal(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes)) // the status alone is enough
	e := &refusal{unknown: resp.StatusCode == http.StatusNotFound && s.res.Reconnects > 0}
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		e.err = failure.New(failure.Invalid, "correct the request", "the engine refused the request: %s", clip(string(text)))
	default:
		e.err = failure.New(failure.EndpointFailed, "repeat the request",
			"endpoint %q answered with status %d", s.call.Endpoint.ID, resp.StatusCode)
	}
	return e
}

func clip(text string) string {
	text = strings.TrimSpace(text)
	if len(text) > maxErrorBytes {
		text = text[:maxErrorBytes]
	}
	return strings.ToValidUTF8(text, "")
}
