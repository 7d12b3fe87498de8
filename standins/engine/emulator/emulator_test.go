package emulator

import (
	"testing"
	"time"
)

func options() Options {
	return Options{Slots: 4, StepTime: 5 * time.Millisecond, StepTimePerSequence: time.Millisecond, PrefillTokensPerMs: 20, MaxPrefillTokens: 2000, CacheTokens: 100_000, TokensPerEvent: 4}
}

// timing is when a request had its first event and its end.
type timing struct {
	first, end time.Duration
	events     int
}

func (e *Engine) run(at time.Duration, priority int, output int, prompt ...Part) *timing {
	t := &timing{}
	e.Submit(at, Request{Priority: priority, Prompt: prompt, OutputTokens: output,
		OnEvent: func(at time.Duration) {
			if t.events++; t.events == 1 {
				t.first = at
			}
		},
		OnEnd: func(at time.Duration) { t.end = at }})
	return t
}

func (e *Engine) drain() {
	for {
		if _, busy := e.BeginStep(); !busy {
			return
		}
		e.CompleteStep()
	}
}

// Guards against an engine that answers before it has read the prompt, and against a
// cache that is of no use.
func TestCache(t *testing.T) {
	e := New(options())
	cold := e.run(0, 5, 8, Part{1, 10_000}, Part{2, 1000})
	e.drain()
	begin := cold.end
	warm := e.run(begin, 5, 8, Part{1, 10_000}, Part{3, 1000})
	e.drain()
	const coldRead, warmRead = 550 * time.Millisecond, 50 * time.Millisecond // 11,000 and 1,000 tokens at 20 a ms
	if cold.first < coldRead || warm.first-begin < warmRead || warm.first-begin > coldRead/4 || cold.events != 2 {
		t.Errorf("cold %+v, warm %s after %s", cold, warm.first, begin)
	}
	if e.PrefilledTokens != 12_000 || e.RecomputedTokens != 0 {
		t.Errorf("%d tokens read, %d again", e.PrefilledTokens, e.RecomputedTokens)
	}
}

// Guards against prompts that hold up nobody: reading one delays the tokens of others.
func TestReadingDelaysOthers(t *testing.T) {
	alone := New(options())
	a := alone.run(0, 5, 40, Part{1, 100})
	alone.drain()
	shared := New(options())
	b := shared.run(0, 5, 40, Part{1, 100})
	shared.run(0, 5, 4, Part{2, 10_000})
	shared.drain()
	if b.end-a.end < 400*time.Millisecond {
		t.Errorf("ends at %s beside a long prompt and at %s alone", b.end, a.end)
	}
}

// Guards against a cache that keeps requests out, and against an eviction of what was
// used last.
func TestEviction(t *testing.T) {
	o := options()
	o.CacheTokens = 25_000
	e := New(o)
	for i := range uint64(2) {
		e.run(e.now, 5, 4, Part{i + 1, 10_000}, Part{10 + i, 100})
		e.drain()
	}
	e.run(e.now, 5, 4, Part{1, 10_000}, Part{20, 100})
	e.drain()
	e.run(e.now, 5, 4, Part{3, 10_000}, Part{21, 100})
	e.drain()
	if e.cache[1] == nil || e.cache[2] != nil || e.cache[3] == nil {
		t.Errorf("cached: %v", e.cache)
	}
	e.run(e.now, 5, 4, Part{2, 10_000}, Part{22, 100})
	e.drain()
	if e.RecomputedTokens != 10_000 {
		t.Errorf("%d tokens read again", e.RecomputedTokens)
	}
}

// Guards against urgent requests that wait behind others, and against a request that
// is lost when it is put back.
func TestPreemption(t *testing.T) {
	o := options()
	o.Slots = 1
	e := New(o)
	slow := e.run(0, 5, 100, Part{1, 100})
	for range 10 {
		e.CompleteStep()
	}
	urgent := e.run(e.now, 0, 4, Part{2, 100})
	e.drain()
	if urgent.end >= slow.end || e.Preemptions != 1 || slow.end == 0 || slow.events != 25 {
		t.Errorf("urgent ends at %s, the other at %s, %d preempted", urgent.end, slow.end, e.Preemptions)
	}
	if e.free+e.cachedTokens() != o.CacheTokens {
		t.Errorf("%d tokens of memory are lost", o.CacheTokens-e.free-e.cachedTokens())
	}
}

func (e *Engine) cachedTokens() int64 {
	var n int64
	for _, c := range e.cache {
		n += c.tokens
	}
	return n
}
