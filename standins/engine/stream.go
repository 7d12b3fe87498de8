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
	minNaturalTokens  = 16  // the shortest completion that ends naturally
	naturalTokenRange = 113 // completions end naturally after 16 to 128 tokens
)

var vocabulary = strings.Fields(`molar incisor canine premolar upper lower left right wear hook ramp
	wave step point cap root crown gap float trim mild severe stable clean route stop meal diet rider
	salt sugar soft plain morning noon`)

// GenerateTokens returns the tokens that an engine generates for a prompt.
// minTokens and maxTokens bound their number, where maxTokens takes precedence; 0
// means no bound.
func GenerateTokens(prompt string, minTokens, maxTokens int) []string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt)) // never fails
	rng := rand.New(rand.NewPCG(h.Sum64(), 0))
	n := max(minNaturalTokens+rng.IntN(naturalTokenRange), minTokens)
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	tokens := make([]string, n)
	for i := range tokens {
		tokens[i] = vocabulary[rng.IntN(len(vocabulary))] + " "
	}
	return tokens
}

// Usage holds the token counts of a request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// stream is a generation and its events. The engine's mutex guards the fields
// below cancel.
type stream struct {
	id            string
	model         string
	created       int64
	tokens        []string
	endsNaturally bool // not truncated by max_tokens
	promptTokens  int
	class         int
	cancel        context.CancelFunc

	generated        int           // number of tokens generated so far
	changed          chan struct{} // closed and replaced when the stream changes
	complete         bool
	ended            time.Time // zero while the generation runs
	countedCancelled bool      // included in Engine.cancelled
}

func (s *stream) usage() Usage {
	return Usage{s.promptTokens, s.generated, s.promptTokens + s.generated}
}

// lastSeq returns the sequence number of the terminal marker. It follows one event
// per token and one with the usage.
func (s *stream) lastSeq() int { return len(s.tokens) + 2 }

// availableSeq returns the sequence number of the latest event that can be sent.
func (s *stream) availableSeq() int {
	if s.complete {
		return s.lastSeq()
	}
	return s.generated
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

func (s *stream) encodeChunk(object string, c choice, u *Usage) string {
	b, _ := json.Marshal(chunk{"chatcmpl-" + s.id, object, s.created, s.model, []choice{c}, u}) // always encodes
	return string(b)
}

func (s *stream) finishReason() *string {
	reason := "length"
	if s.endsNaturally {
		reason = "stop"
	}
	return &reason
}

// eventData returns the data field of the event with the given sequence number.
func (s *stream) eventData(seq int) string {
	const object = "chat.completion.chunk"
	switch {
	case seq <= len(s.tokens):
		d := &delta{Content: s.tokens[seq-1]}
		if seq == 1 {
			d.Role = "assistant"
		}
		return s.encodeChunk(object, choice{Delta: d}, nil)
	case seq < s.lastSeq():
		u := Usage{s.promptTokens, len(s.tokens), s.promptTokens + len(s.tokens)}
		return s.encodeChunk(object, choice{Delta: &delta{}, FinishReason: s.finishReason()}, &u)
	default:
		return "[DONE]"
	}
}

// startStream starts a generation, or returns the existing one with the same id.
func (e *Engine) startStream(s *stream) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExpiredStreams(time.Now())
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
	e.generations.Go(func() { e.generate(ctx, s) })
	return s
}

// removeExpiredStreams removes the streams that ended more than finishedTTL ago.
// The mutex is held.
func (e *Engine) removeExpiredStreams(now time.Time) {
	for id, s := range e.streams {
		if !s.ended.IsZero() && now.Sub(s.ended) > finishedTTL {
			delete(e.streams, id)
		}
	}
}

func (e *Engine) findStream(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeExpiredStreams(time.Now())
	return e.streams[id]
}

// generate waits for a slot, generates the tokens and marks the stream as ended.
func (e *Engine) generate(ctx context.Context, s *stream) {
	defer s.cancel()
	complete := e.acquireSlot(ctx, s.class)
	if complete {
		complete = e.emitTokens(ctx, s)
		e.releaseSlot()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.complete, s.ended = complete, time.Now()
	if complete {
		e.finished++
	}
	s.notify()
}

// emitTokens makes one token available per token interval. It returns false when
// ctx ends first.
func (e *Engine) emitTokens(ctx context.Context, s *stream) bool {
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
		s.generated++
		s.notify()
		e.mu.Unlock()
	}
	return true
}

// notify wakes all readers of the stream. The engine's mutex is held.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// progress returns the sequence number of the latest available event, whether the
// stream has ended, and a channel that is closed at the next change.
func (e *Engine) progress(s *stream) (available int, ended bool, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.availableSeq(), !s.ended.IsZero(), s.changed
}
