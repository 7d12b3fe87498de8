package emulator

import (
	"testing"
	"time"
)

func testOptions() Options {
	return Options{Slots: 4, StepTime: 5 * time.Millisecond, StepTimePerSequence: time.Millisecond, PrefillTokensPerMs: 20, MaxPrefillTokens: 2000, CacheTokens: 100_000, TokensPerEvent: 4}
}

// eventTimes records the times of the first event and of the end of a request.
type eventTimes struct {
	first, end time.Duration
	events     int
}

// submit submits a request and returns its times, which are set as the engine runs.
func (e *Engine) submit(at time.Duration, priority int, outputTokens int, prompt ...Part) *eventTimes {
	times := &eventTimes{}
	e.Submit(at, Request{Priority: priority, Prompt: prompt, OutputTokens: outputTokens,
		OnEvent: func(at time.Duration) {
			if times.events++; times.events == 1 {
				times.first = at
			}
		},
		OnEnd: func(at time.Duration) { times.end = at }})
	return times
}

// runUntilIdle completes steps until no request is left.
func (e *Engine) runUntilIdle() {
	for {
		if _, busy := e.BeginStep(); !busy {
			return
		}
		e.CompleteStep()
	}
}

// Guards against a first token that precedes the end of the prefill, and against a
// prefix cache that does not shorten the prefill.
func TestPrefixCache(t *testing.T) {
	e := New(testOptions())
	cold := e.submit(0, 5, 8, Part{1, 10_000}, Part{2, 1000})
	e.runUntilIdle()
	start := cold.end
	warm := e.submit(start, 5, 8, Part{1, 10_000}, Part{3, 1000})
	e.runUntilIdle()
	const coldPrefill, warmPrefill = 550 * time.Millisecond, 50 * time.Millisecond // 11,000 and 1,000 tokens at 20 per ms
	if cold.first < coldPrefill || warm.first-start < warmPrefill || warm.first-start > coldPrefill/4 || cold.events != 2 {
		t.Errorf("cold %+v, warm %s after %s", cold, warm.first, start)
	}
	if e.PrefilledTokens != 12_000 || e.RecomputedTokens != 0 {
		t.Errorf("prefilled %d tokens, recomputed %d", e.PrefilledTokens, e.RecomputedTokens)
	}
}

// Guards against a prefill that does not delay the tokens of the other requests in the
// batch.
func TestPrefillDelaysDecoding(t *testing.T) {
	alone := New(testOptions())
	unaffected := alone.submit(0, 5, 40, Part{1, 100})
	alone.runUntilIdle()
	shared := New(testOptions())
	delayed := shared.submit(0, 5, 40, Part{1, 100})
	shared.submit(0, 5, 4, Part{2, 10_000})
	shared.runUntilIdle()
	if delayed.end-unaffected.end < 400*time.Millisecond {
		t.Errorf("request ends at %s with a concurrent long prompt and at %s alone", delayed.end, unaffected.end)
	}
}

// Guards against cached parts that keep a request from starting, and against the
// eviction of the most recently used part.
func TestEviction(t *testing.T) {
	o := testOptions()
	o.CacheTokens = 25_000
	e := New(o)
	for i := range uint64(2) {
		e.submit(e.lastStepEnd, 5, 4, Part{i + 1, 10_000}, Part{10 + i, 100})
		e.runUntilIdle()
	}
	e.submit(e.lastStepEnd, 5, 4, Part{1, 10_000}, Part{20, 100})
	e.runUntilIdle()
	e.submit(e.lastStepEnd, 5, 4, Part{3, 10_000}, Part{21, 100})
	e.runUntilIdle()
	if e.cache[1] == nil || e.cache[2] != nil || e.cache[3] == nil {
		t.Errorf("cached: %v", e.cache)
	}
	e.submit(e.lastStepEnd, 5, 4, Part{2, 10_000}, Part{22, 100})
	e.runUntilIdle()
	if e.RecomputedTokens != 10_000 {
		t.Errorf("recomputed %d tokens, want 10000", e.RecomputedTokens)
	}
}

// Guards against an urgent request that waits for less urgent ones, and against the
// loss of a preempted request or of its memory.
func TestPreemption(t *testing.T) {
	o := testOptions()
	o.Slots = 1
	e := New(o)
	preempted := e.submit(0, 5, 100, Part{1, 100})
	for range 10 {
		e.CompleteStep()
	}
	urgent := e.submit(e.lastStepEnd, 0, 4, Part{2, 100})
	e.runUntilIdle()
	if urgent.end >= preempted.end || e.Preemptions != 1 || preempted.end == 0 || preempted.events != 25 {
		t.Errorf("urgent request ends at %s, preempted one at %s; %d preemptions", urgent.end, preempted.end, e.Preemptions)
	}
	if e.freeTokens+e.totalCachedTokens() != o.CacheTokens {
		t.Errorf("%d tokens of memory are neither free nor cached", o.CacheTokens-e.freeTokens-e.totalCachedTokens())
	}
}

func (e *Engine) totalCachedTokens() int64 {
	var n int64
	for _, c := range e.cache {
		n += c.tokens
	}
	return n
}
