package engine

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	minNatural  = 16  // tokens of the shortest answer that ends by itself
	naturalSpan = 113 // answers end by themselves after 16 to 128 tokens
)

var vocabulary = strings.Fields(`molar incisor canine premolar upper lower left right wear hook ramp
	wave step point cap root crown gap float trim mild severe stable clean route stop meal diet rider
	salt sugar soft plain morning noon`)

// GenerateTokens returns the tokens that an engine generates for a prompt. min_tokens
// and max_tokens of the request bound their number; 0 means no bound.
func GenerateTokens(prompt string, minTokens, maxTokens int) []string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt)) // never fails
	rng := rand.New(rand.NewPCG(h.Sum64(), 0))
	n := max(minNatural+rng.IntN(naturalSpan), minTokens)
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = vocabulary[rng.IntN(len(vocabulary))] + " "
	}
	return tokens
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// stream is a generation. The engine's mutex guards the fields below cancel.
type stream struct {
	id      string
	model   string
	created int64
	tokens  []string
	stopped bool // the answer ends by itself, not by max_tokens
	prompt  int  // tokens
	class   int
	cancel  context.CancelFunc

	sent     int           // tokens generated
	changed  chan struct{} // closed and replaced when the stream changes
	complete bool
	ended    time.Time // zero while it runs
	counted  bool      // as cancelled
}

func (s *stream) usage() Usage { return Usage{s.prompt, s.sent, s.prompt + s.sent} }

// last is the sequence number of the terminal marker: the tokens, a chunk with
// the usage, and the marker.
func (s *stream) last() int { return len(s.tokens) + 2 }

// available is the sequence number of the latest event that can be sent.
func (s *stream) available() int {
	if s.complete {
		return s.last()
	}
	return s.sent
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

func (s *stream) chunk(object string, c choice, u *Usage) string {
	b, _ := json.Marshal(chunk{"chatcmpl-" + s.id, object, s.created, s.model, []choice{c}, u}) // always encodes
	return string(b)
}

func (s *stream) finishReason() *string {
	reason := "length"
	if s.stopped {
		reason = "stop"
	}
	return &reason
}

// event returns the data of the event with the given sequence number.
func (s *stream) event(seq int) string {
	const object = "chat.completion.chunk"
	switch {
	case seq <= len(s.tokens):
		d := &delta{Content: s.tokens[seq-1]}
		if seq == 1 {
			d.Role = "assistant"
		}
		return s.chunk(object, choice{Delta: d}, nil)
	case seq < s.last():
		u := Usage{s.prompt, len(s.tokens), s.prompt + len(s.tokens)}
		return s.chunk(object, choice{Delta: &delta{}, FinishReason: s.finishReason()}, &u)
	default:
		return "[DONE]"
	}
}

// start begins a generation, or returns the known one with the same id.
func (e *Engine) start(s *stream) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgetOld(time.Now())
	if known := e.streams[s.id]; known != nil {
		return known
	}
	ctx, cancel := context.WithCancel(e.Context())
	s.cancel, s.changed = cancel, make(chan struct{})
	e.streams[s.id] = s
	e.RecordExecution(s.id)
	if e.closed {
		cancel()
		s.ended = time.Now()
		return s
	}
	e.active.Go(func() { e.generate(ctx, s) })
	return s
}

func (e *Engine) forgetOld(now time.Time) {
	for id, s := range e.streams {
		if !s.ended.IsZero() && now.Sub(s.ended) > keepFinished {
			delete(e.streams, id)
		}
	}
}

func (e *Engine) find(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgetOld(time.Now())
	return e.streams[id]
}

func (e *Engine) generate(ctx context.Context, s *stream) {
	defer s.cancel()
	complete := e.acquire(ctx, s.class)
	if complete {
		complete = e.emit(ctx, s)
		e.release()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.complete, s.ended = complete, time.Now()
	if complete {
		e.finished++
	}
	s.notify()
}

func (e *Engine) emit(ctx context.Context, s *stream) bool {
	if !e.Sleep(ctx, time.Duration(e.Faults().DelayMS)*time.Millisecond) {
		return false
	}
	for range s.tokens {
		interval := e.opts.TokenInterval
		if ms := e.Faults().TokenMS; ms > 0 {
			interval = time.Duration(ms) * time.Millisecond
		}
		if !e.Sleep(ctx, interval) {
			return false
		}
		e.mu.Lock()
		s.sent++
		s.notify()
		e.mu.Unlock()
	}
	return true
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// progress returns the latest event, whether the stream has ended, and a channel
// that is closed at the next change.
func (e *Engine) progress(s *stream) (available int, ended bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.available(), !s.ended.IsZero(), s.changed
}
