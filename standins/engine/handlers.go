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

// CompletionRequest holds the fields of a chat completion request that the engine
// reads.
type CompletionRequest struct {
	Model    string    `json:"model"`
	Messages []Message `json:"messages"`
	Stream   bool      `json:"stream"`
	// MaxTokens bounds the number of generated tokens; 0 means no bound.
	MaxTokens int `json:"max_tokens"`
	// MaxCompletionTokens takes precedence over MaxTokens if it is positive.
	MaxCompletionTokens int `json:"max_completion_tokens"`
	// MinTokens is the minimum number of generated tokens, unless the maximum is
	// lower.
	MinTokens int `json:"min_tokens"`
}

// Message is one message of the prompt.
type Message struct {
	Role string `json:"role"`
	// Content is a string or a list of parts with the field text.
	Content json.RawMessage `json:"content"`
}

// Text returns the text of a message, or "" if Content has another form.
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

// Prompt returns the text of all messages, each followed by a newline.
func (b CompletionRequest) Prompt() string {
	var p strings.Builder
	for _, m := range b.Messages {
		p.WriteString(m.Text() + "\n")
	}
	return p.String()
}

func (b CompletionRequest) maxOutputTokens() int {
	if b.MaxCompletionTokens > 0 {
		return b.MaxCompletionTokens
	}
	return b.MaxTokens
}

func (e *Engine) handleCompletion(ctx iris.Context) {
	raw, ok := e.ReadBody(ctx)
	if !ok {
		return
	}
	var b CompletionRequest
	if err := json.Unmarshal(raw, &b); err != nil {
		endpoint.WriteError(ctx, iris.StatusBadRequest, "malformed JSON: "+err.Error())
		return
	}
	resumeAfter := ctx.GetHeader("X-Resume-After")
	after, err := strconv.Atoi(resumeAfter)
	if resumeAfter != "" && (err != nil || after < 0) {
		endpoint.WriteError(ctx, iris.StatusBadRequest, "X-Resume-After is not a sequence number")
		return
	}
	id := ctx.GetHeader("X-Stream-Id")
	var s *stream
	if resumeAfter != "" {
		s = e.findStream(id)
	} else {
		s = e.startStream(newStream(id, priorityClass(ctx), b))
	}
	switch {
	case s == nil:
		endpoint.WriteError(ctx, iris.StatusNotFound, "the stream is not known")
	case b.Stream:
		e.sendEvents(ctx, s, after, resumeAfter != "")
	default:
		e.sendCompletion(ctx, s)
	}
}

func newStream(id string, class int, b CompletionRequest) *stream {
	if id == "" {
		id = rand.Text()
	}
	prompt := b.Prompt()
	natural := len(GenerateTokens(prompt, b.MinTokens, 0))
	tokens := GenerateTokens(prompt, b.MinTokens, b.maxOutputTokens())
	return &stream{
		id: id, model: b.Model, created: time.Now().Unix(), class: class,
		tokens: tokens, endsNaturally: len(tokens) == natural, promptTokens: len(strings.Fields(prompt)),
	}
}

// priorityClass returns the class in X-Priority, or the default if the header is
// missing or invalid.
func priorityClass(ctx iris.Context) int {
	c, err := strconv.Atoi(ctx.GetHeader("X-Priority"))
	if err != nil || c < 0 || c >= priorityClasses {
		return defaultPriorityClass
	}
	return c
}

// sendCompletion sends the completion in one response when it is complete, and
// 410 if it was cancelled.
func (e *Engine) sendCompletion(ctx iris.Context, s *stream) {
	for {
		available, ended, changed := e.progress(s)
		if ended && available < s.lastSeq() {
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
	usage := Usage{s.promptTokens, len(s.tokens), s.promptTokens + len(s.tokens)}
	message := &delta{Role: "assistant", Content: strings.Join(s.tokens, "")}
	ctx.ContentType("application/json")
	_, _ = ctx.WriteString(s.encodeChunk("chat.completion", choice{Message: message, FinishReason: s.finishReason()}, &usage))
}

// sendEvents streams the events after the given sequence number.
func (e *Engine) sendEvents(ctx iris.Context, s *stream, after int, resumed bool) {
	e.Interrupt(ctx, e.TakeInterruption(0))
	ctx.ContentType("text/event-stream")
	ctx.Header("Cache-Control", "no-store")
	w := ctx.ResponseWriter()
	w.Flush()
	written := 0
	for seq := after + 1; seq <= s.lastSeq(); {
		available, ended, changed := e.progress(s)
		faults := e.Faults()
		batch := nextEvents(seq, available, s.lastSeq(), faults.ReorderEvents && !resumed)
		for _, n := range batch {
			if !e.writeEvent(w, s, n, faults.DuplicateEvents) {
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
			panic(http.ErrAbortHandler) // cancelled: the client must not see a clean end of the stream
		}
		select {
		case <-changed:
		case <-ctx.Request().Context().Done():
			return
		}
	}
}

// nextEvents returns the sequence numbers of the events to send next: one, or two
// in swapped order. It returns none if they are not available yet.
func nextEvents(seq, available, last int, swap bool) []int {
	switch {
	case swap && seq+1 < last && seq+1 <= available:
		return []int{seq + 1, seq}
	case swap && seq+1 < last, seq > available:
		return nil
	default:
		return []int{seq}
	}
}

// writeEvent sends an event, twice if duplicate is set. It returns false when the
// client has disconnected.
func (e *Engine) writeEvent(w http.ResponseWriter, s *stream, seq int, duplicate bool) bool {
	event := fmt.Sprintf("id: %d\ndata: %s\n\n", seq, s.eventData(seq))
	if duplicate {
		event += event
	}
	if _, err := w.Write([]byte(event)); err != nil {
		return false
	}
	w.(http.Flusher).Flush()
	return true
}

// cancelStream cancels a generation and responds with its usage when it has ended.
func (e *Engine) cancelStream(ctx iris.Context) {
	s := e.findStream(ctx.Params().Get("id"))
	if s == nil {
		endpoint.WriteError(ctx, iris.StatusNotFound, "the stream is not known")
		return
	}
	s.cancel()
	for {
		e.mu.Lock()
		ended, changed, usage := !s.ended.IsZero(), s.changed, s.usage()
		if ended && !s.complete && !s.countedCancelled {
			s.countedCancelled = true
			e.cancelled++
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
