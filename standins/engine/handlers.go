package engine

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/clementinerack/clementinerack/standins/endpoint"
)

// CompletionRequest is the part of a chat completion request that the engine reads.
type CompletionRequest struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	Stream   bool      `json:"stream"`
	// MaxTokens bounds the answer; 0 means no bound.
	MaxTokens           int `json:"max_tokens"`
	MaxCompletionTokens int `json:"max_completion_tokens"`
	MinTokens           int `json:"min_tokens"`
}

// Message is one message of the prompt.
type Message struct {
	Role string `json:"role"`
	// Content is a string or a list of parts with text.
	Content json.RawMessage `json:"content"`
}

// Text returns the text of a message.
func (m Message) Text() string {
	var text string
	if json.Unmarshal(m.Content, &text) == nil {
		return text
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(m.Content, &parts) != nil {
		return ""
	}
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text + " ")
	}
	return b.String()
}

// Prompt returns the text of all messages, one a line.
func (b CompletionRequest) Prompt() string {
	var p strings.Builder
	for _, m := range b.Messages {
		p.WriteString(m.Text() + "\n")
	}
	return p.String()
}

func (b CompletionRequest) maxTokens() int {
	if b.MaxCompletionTokens > 0 {
		return b.MaxCompletionTokens
	}
	return b.MaxTokens
}

func (e *Engine) completions(ctx iris.Context) {
	raw, ok := e.ReadBody(ctx)
	if !ok {
		return
	}
	var b CompletionRequest
	if err := json.Unmarshal(raw, &b); err != nil {
		endpoint.WriteError(ctx, iris.StatusBadRequest, "malformed JSON: "+err.Error())
		return
	}
	resume := ctx.GetHeader("X-Resume-After")
	after, err := strconv.Atoi(resume)
	if resume != "" && (err != nil || after < 0) {
		endpoint.WriteError(ctx, iris.StatusBadRequest, "X-Resume-After is not a sequence number")
		return
	}
	id := ctx.GetHeader("X-Stream-Id")
	var s *stream
	if resume != "" {
		s = e.find(id)
	} else {
		s = e.start(newStream(id, class(ctx), b))
	}
	switch {
	case s == nil:
		endpoint.WriteError(ctx, iris.StatusNotFound, "the stream is not known")
	case b.Stream:
		e.stream(ctx, s, after, resume != "")
	default:
		e.answer(ctx, s)
	}
}

func newStream(id string, class int, b CompletionRequest) *stream {
	if id == "" {
		id = rand.Text()
	}
	prompt := b.Prompt()
	natural := len(GenerateTokens(prompt, b.MinTokens, 0))
	tokens := GenerateTokens(prompt, b.MinTokens, b.maxTokens())
	return &stream{
		id: id, model: b.Model, created: time.Now().Unix(), class: class,
		tokens: tokens, stopped: len(tokens) == natural, prompt: len(strings.Fields(prompt)),
	}
}

func class(ctx iris.Context) int {
	c, err := strconv.Atoi(ctx.GetHeader("X-Priority"))
	if err != nil || c < 0 || c >= classes {
		return defaultClass
	}
	return c
}

// answer sends the whole completion. A stream that was cancelled has none.
func (e *Engine) answer(ctx iris.Context, s *stream) {
	for {
		available, ended, changed := e.progress(s)
		if ended && available < s.last() {
			endpoint.WriteError(ctx, iris.StatusGone, "the stream was cancelled")
			return
		}
		if ended {
			break
		}
		select {
		case <-changed:
		case <-ctx.Request().Context().Done():
			return
		}
	}
	e.Interrupt(ctx, e.TakeInterruption(0))
	usage := Usage{s.prompt, len(s.tokens), s.prompt + len(s.tokens)}
	message := &delta{Role: "assistant", Content: strings.Join(s.tokens, "")}
	ctx.ContentType("application/json")
	_, _ = ctx.WriteString(s.chunk("chat.completion", choice{Message: message, FinishReason: s.finishReason()}, &usage))
}

// stream sends the events after the given sequence number.
func (e *Engine) stream(ctx iris.Context, s *stream, after int, resumed bool) {
	e.Interrupt(ctx, e.TakeInterruption(0))
	ctx.ContentType("text/event-stream")
	ctx.Header("Cache-Control", "no-store")
	w := ctx.ResponseWriter()
	w.Flush()
	written := 0
	for seq := after + 1; seq <= s.last(); {
		available, ended, changed := e.progress(s)
		faults := e.Faults()
		batch := order(seq, available, s.last(), faults.ReorderEvents && !resumed)
		for _, n := range batch {
			if !e.write(w, s, n, faults.DuplicateEvents) {
				return
			}
			written++
			e.Interrupt(ctx, e.TakeInterruption(written))
		}
		seq += len(batch)
		switch {
		case len(batch) > 0:
			continue
		case ended:
			panic(http.ErrAbortHandler) // cancelled: the reader must not take this for a clean end
		}
		select {
		case <-changed:
		case <-ctx.Request().Context().Done():
			return
		}
	}
}

// order returns the sequence numbers to send next: one event, or two swapped
// ones. It returns none when they are not available yet.
func order(seq, available, last int, swap bool) []int {
	switch {
	case swap && seq+1 < last && seq+1 <= available:
		return []int{seq + 1, seq}
	case swap && seq+1 < last, seq > available:
		return nil
	default:
		return []int{seq}
	}
}

func (e *Engine) write(w http.ResponseWriter, s *stream, seq int, twice bool) bool {
	event := fmt.Sprintf("id: %d\ndata: %s\n\n", seq, s.event(seq))
	if twice {
		event += event
	}
	if _, err := w.Write([]byte(event)); err != nil {
		return false
	}
	w.(http.Flusher).Flush()
	return true
}

func (e *Engine) cancelStream(ctx iris.Context) {
	s := e.find(ctx.Params().Get("id"))
	if s == nil {
		endpoint.WriteError(ctx, iris.StatusNotFound, "the stream is not known")
		return
	}
	s.cancel()
	for {
		e.mu.Lock()
		ended, changed, usage := !s.ended.IsZero(), s.changed, s.usage()
		if ended && !s.complete && !s.counted {
			s.counted = true
			e.cancels++
		}
		e.mu.Unlock()
		if ended {
			endpoint.WriteJSON(ctx, iris.StatusOK, iris.Map{"usage": usage})
			return
		}
		select {
		case <-changed:
		case <-ctx.Request().Context().Done():
			return
		}
	}
}
