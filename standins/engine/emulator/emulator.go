package emulator

import (
	"cmp"
	"slices"
	"time"
)

// Options describe the capacity and the speed of an engine.
type Options struct {
	// Slots is the batch size.
	Slots int
	// StepTime is the duration of an empty step. Each decoding request adds
	// StepTimePerSequence, and each 1,000 tokens of their context add
	// StepTimePerKContext.
	StepTime, StepTimePerSequence, StepTimePerKContext time.Duration
	// PrefillTokensPerMs is the prefill rate in prompt tokens per millisecond.
	PrefillTokensPerMs float64
	// MaxPrefillTokens is the maximum number of prompt tokens per step.
	MaxPrefillTokens int64
	// CacheTokens is the number of tokens of running requests and cached parts
	// together that fit into memory.
	CacheTokens int64
	// TokensPerEvent is the maximum number of output tokens in one event.
	TokensPerEvent int
	// SlowdownFactor multiplies the duration of steps; 0 means 1.
	SlowdownFactor float64
}

// Part is a part of a prompt. All parts of a prompt except the last one may be
// shared with other requests and are cached.
type Part struct {
	ID     uint64
	Tokens int64
}

// Request is a request for a generation.
type Request struct {
	// Priority orders requests; 0 is the most urgent.
	Priority     int
	Prompt       []Part
	OutputTokens int
	// OnEvent is called for each event with its time.
	OnEvent func(at time.Duration)
	// OnEnd is called after the last event with the time of the end.
	OnEnd func(at time.Duration)
}

// sequence is the state of a request at the engine.
type sequence struct {
	Request
	arrivalNumber        int   // position in the order of arrival
	pendingPrefillTokens int64 // not prefilled yet
	reservedTokens       int64 // memory in use, not counting cached parts
	generatedTokens      int
}

// promptTokens returns the length of the prompt.
func (s *sequence) promptTokens() int64 {
	var n int64
	for _, part := range s.Prompt {
		n += part.Tokens
	}
	return n
}

// cacheEntry is a cached part.
type cacheEntry struct {
	tokens  int64
	lastUse int // number of the step
}

// Engine is an emulated engine. Its methods must be called in order of simulated
// time, and are not safe for concurrent use.
type Engine struct {
	opts         Options
	lastStepEnd  time.Duration // or the arrival that ended an idle period, if later
	stepEnd      time.Duration // end of the step in progress; 0 between steps
	stepCount    int
	arrivalCount int
	waiting      []*sequence
	running      []*sequence
	cache        map[uint64]*cacheEntry
	freeTokens   int64
	// PrefilledTokens counts the tokens that were prefilled. RecomputedTokens counts
	// those of shared parts that the engine had prefilled before and evicted.
	// Preemptions counts the preempted requests.
	PrefilledTokens, RecomputedTokens int64
	Preemptions                       int
	computedParts                     map[uint64]bool // shared parts that were ever cached
}

// New returns an idle engine.
func New(opts Options) *Engine {
	if opts.SlowdownFactor == 0 {
		opts.SlowdownFactor = 1
	}
	return &Engine{opts: opts, cache: map[uint64]*cacheEntry{}, freeTokens: opts.CacheTokens, computedParts: map[uint64]bool{}}
}

// InFlight returns the number of waiting and running requests.
func (e *Engine) InFlight() int { return len(e.waiting) + len(e.running) }

// Submit adds a request that arrives at the given time.
func (e *Engine) Submit(at time.Duration, req Request) {
	if e.InFlight() == 0 {
		e.lastStepEnd = max(e.lastStepEnd, at)
	}
	e.arrivalCount++
	e.waiting = append(e.waiting, &sequence{Request: req, arrivalNumber: e.arrivalCount})
}

// BeginStep begins a step unless one is in progress, and returns the time at which
// the step ends. It returns false if the engine is idle.
func (e *Engine) BeginStep() (time.Duration, bool) {
	if e.InFlight() == 0 {
		return 0, false
	}
	if e.stepEnd == 0 {
		e.admit()
		e.stepEnd = e.lastStepEnd + e.stepDuration()
	}
	return e.stepEnd, true
}

// CompleteStep completes the step in progress, or begins and completes one. A request
// that arrived during the step takes part in the next one.
func (e *Engine) CompleteStep() {
	end, busy := e.BeginStep()
	if !busy {
		return
	}
	e.lastStepEnd, e.stepEnd = end, 0
	e.stepCount++
	e.prefill()
	e.decode()
}

// admit starts waiting requests in order of priority, until one finds no slot or
// memory.
func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.arrivalNumber, b.arrivalNumber))
	})
	for len(e.waiting) > 0 {
		seq := e.waiting[0]
		if len(e.running) >= e.opts.Slots && !e.preemptFor(seq) || !e.startSequence(seq) {
			return
		}
		e.waiting = e.waiting[1:]
	}
}

// startSequence reserves memory for a request and adds it to the batch. It reports
// false if there is not enough memory.
func (e *Engine) startSequence(seq *sequence) bool {
	cachedTokens := e.cachedPrefixTokens(seq)
	neededTokens := seq.promptTokens() - cachedTokens + int64(seq.OutputTokens)
	if !e.ensureFree(neededTokens) && !(e.preemptFor(seq) && e.ensureFree(neededTokens)) {
		return false
	}
	e.freeTokens -= neededTokens
	seq.reservedTokens, seq.pendingPrefillTokens = neededTokens, seq.promptTokens()-cachedTokens+int64(seq.generatedTokens) // tokens generated before a preemption are prefilled too
	e.running = append(e.running, seq)
	return true
}

// cachedPrefixTokens returns the length of the cached prefix of a prompt, and marks its
// parts as used.
func (e *Engine) cachedPrefixTokens(seq *sequence) int64 {
	var tokens int64
	for _, p := range seq.Prompt[:len(seq.Prompt)-1] {
		entry := e.cache[p.ID]
		if entry == nil {
			break
		}
		entry.lastUse = e.stepCount
		tokens += entry.tokens
	}
	return tokens
}

// ensureFree evicts cached parts in LRU order until neededTokens are free. It reports
// whether they are.
func (e *Engine) ensureFree(neededTokens int64) bool {
	for e.freeTokens < neededTokens && len(e.cache) > 0 {
		var oldest uint64
		for id, entry := range e.cache {
			if candidate := e.cache[oldest]; candidate == nil || entry.lastUse < candidate.lastUse || entry.lastUse == candidate.lastUse && id < oldest {
				oldest = id
			}
		}
		e.freeTokens += e.cache[oldest].tokens
		delete(e.cache, oldest)
	}
	return e.freeTokens >= neededTokens
}

// preemptFor preempts the least urgent running request, and among equals the one that
// arrived last, if it is less urgent than seq. It reports whether it did.
func (e *Engine) preemptFor(seq *sequence) bool {
	victim := -1
	for i, other := range e.running {
		if other.Priority > seq.Priority && (victim < 0 || other.Priority > e.running[victim].Priority || other.Priority == e.running[victim].Priority && other.arrivalNumber > e.running[victim].arrivalNumber) {
			victim = i
		}
	}
	if victim < 0 {
		return false
	}
	preempted := e.running[victim]
	e.running = slices.Delete(e.running, victim, victim+1)
	e.freeTokens += preempted.reservedTokens
	e.Preemptions++
	e.waiting = append(e.waiting, preempted)
	return true
}

// prefillTokens returns the number of tokens that the step prefills.
func (e *Engine) prefillTokens() int64 {
	var n int64
	for _, seq := range e.running {
		n += seq.pendingPrefillTokens
	}
	return min(n, e.opts.MaxPrefillTokens)
}

// stepDuration returns the duration of a step with the running requests.
func (e *Engine) stepDuration() time.Duration {
	var contextTokens int64
	decoding := 0
	for _, seq := range e.running {
		if seq.pendingPrefillTokens == 0 {
			decoding++
			contextTokens += seq.promptTokens() + int64(seq.generatedTokens)
		}
	}
	d := e.opts.StepTime + time.Duration(decoding)*e.opts.StepTimePerSequence + time.Duration(float64(contextTokens)/1000*float64(e.opts.StepTimePerKContext)) +
		time.Duration(float64(e.prefillTokens())/e.opts.PrefillTokensPerMs*float64(time.Millisecond))
	return time.Duration(float64(d) * e.opts.SlowdownFactor)
}

// prefill prefills up to MaxPrefillTokens in order of priority.
func (e *Engine) prefill() {
	budget := e.prefillTokens()
	e.PrefilledTokens += budget
	byUrgency := slices.Clone(e.running)
	slices.SortStableFunc(byUrgency, func(a, b *sequence) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.arrivalNumber, b.arrivalNumber))
	})
	for _, seq := range byUrgency {
		n := min(budget, seq.pendingPrefillTokens)
		if n == 0 {
			continue
		}
		budget -= n
		if seq.pendingPrefillTokens -= n; seq.pendingPrefillTokens == 0 {
			e.cacheSharedParts(seq)
		}
	}
}

// cacheSharedParts adds the shared parts of a prefilled prompt to the cache.
func (e *Engine) cacheSharedParts(seq *sequence) {
	for _, p := range seq.Prompt[:len(seq.Prompt)-1] {
		if e.cache[p.ID] != nil {
			continue
		}
		if e.computedParts[p.ID] {
			e.RecomputedTokens += p.Tokens
		}
		e.computedParts[p.ID] = true
		e.cache[p.ID] = &cacheEntry{tokens: p.Tokens, lastUse: e.stepCount}
		seq.reservedTokens -= p.Tokens
	}
}

// decode generates one token for each request whose prefill is complete.
func (e *Engine) decode() {
	remaining := e.running[:0]
	for _, seq := range e.running {
		if seq.pendingPrefillTokens > 0 {
			remaining = append(remaining, seq)
			continue
		}
		seq.generatedTokens++
		done := seq.generatedTokens >= seq.OutputTokens
		if seq.generatedTokens%e.opts.TokensPerEvent == 0 || done {
			seq.OnEvent(e.lastStepEnd)
		}
		if !done {
			remaining = append(remaining, seq)
			continue
		}
		e.freeTokens += seq.reservedTokens
		seq.OnEnd(e.lastStepEnd)
	}
	clear(e.running[len(remaining):])
	e.running = remaining
}

// IsCached reports whether the part with the given ID is cached.
func (e *Engine) IsCached(id uint64) bool { return e.cache[id] != nil }
