package emulator

import (
	"cmp"
	"slices"
	"time"
)

// Options describe an engine.
type Options struct {
	// Slots is the number of requests that run at once.
	Slots int
	// StepTime is the least duration of a step, StepTimePerSequence what each generating request and
	// StepTimePerKContext what each 1,000 tokens of context add to it.
	StepTime, StepTimePerSequence, StepTimePerKContext time.Duration
	// PrefillTokensPerMs is the prompt tokens that are read in a millisecond.
	PrefillTokensPerMs float64
	// MaxPrefillTokens bounds the prompt tokens of one step.
	MaxPrefillTokens int64
	// CacheTokens is the tokens that fit, of running requests and of the cache together.
	CacheTokens int64
	// TokensPerEvent is the tokens of an event.
	TokensPerEvent int
	// SlowdownFactor multiplies the duration of steps; 0 means 1.
	SlowdownFactor float64
}

// Part is a part of a prompt. All but the last part are shared and cached.
type Part struct {
	ID     uint64
	Tokens int64
}

// Request is one generation.
type Request struct {
	// Priority is 0 for the most urgent.
	Priority     int
	Prompt       []Part
	OutputTokens int
	// OnEvent is called with the time of each event.
	OnEvent func(at time.Duration)
	// OnEnd is called after the last event.
	OnEnd func(at time.Duration)
}

// run is a request at the engine.
type run struct {
	Request
	order  int   // of arrival
	unread int64 // prompt tokens
	held   int64 // tokens in memory beside the cache
	made   int
}

func (r *run) prompt() int64 {
	var n int64
	for _, p := range r.Prompt {
		n += p.Tokens
	}
	return n
}

// cached is a shared part in memory.
type cached struct {
	tokens int64
	used   int // step of the last use
}

// Engine is one engine. Its methods must be called in the order of time.
type Engine struct {
	opts    Options
	now     time.Duration // end of the latest step
	end     time.Duration // of the step in progress; 0 between steps
	steps   int
	arrived int
	waiting []*run
	running []*run
	cache   map[uint64]*cached
	free    int64
	// PrefilledTokens counts the prompt tokens read, RecomputedTokens those of shared parts that
	// the engine had read before, and Preempted the requests that were put back.
	PrefilledTokens, RecomputedTokens int64
	Preemptions                       int
	known                             map[uint64]bool
}

// New returns an idle engine.
func New(o Options) *Engine {
	if o.SlowdownFactor == 0 {
		o.SlowdownFactor = 1
	}
	return &Engine{opts: o, cache: map[uint64]*cached{}, free: o.CacheTokens, known: map[uint64]bool{}}
}

// InFlight returns the number of requests at the engine.
func (e *Engine) InFlight() int { return len(e.waiting) + len(e.running) }

// Submit hands a request to the engine at a time.
func (e *Engine) Submit(at time.Duration, r Request) {
	if e.InFlight() == 0 {
		e.now = max(e.now, at)
	}
	e.arrived++
	e.waiting = append(e.waiting, &run{Request: r, order: e.arrived})
}

// BeginStep returns the end of the next step, or false while the engine is idle.
func (e *Engine) BeginStep() (time.Duration, bool) {
	if e.InFlight() == 0 {
		return 0, false
	}
	if e.end == 0 {
		e.admit()
		e.end = e.now + e.duration()
	}
	return e.end, true
}

// CompleteStep completes the step in progress. Requests that came since its begin take part
// from the next one on.
func (e *Engine) CompleteStep() {
	end, busy := e.BeginStep()
	if !busy {
		return
	}
	e.now, e.end = end, 0
	e.steps++
	e.read()
	e.generate()
}

// admit starts waiting requests, the most urgent first.
func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.order, b.order))
	})
	for len(e.waiting) > 0 {
		r := e.waiting[0]
		if len(e.running) >= e.opts.Slots && !e.preempt(r) || !e.start(r) {
			return
		}
		e.waiting = e.waiting[1:]
	}
}

// start gives memory to a request.
func (e *Engine) start(r *run) bool {
	hit := e.lookup(r)
	need := r.prompt() - hit + int64(r.OutputTokens)
	if !e.makeRoom(need) && !(e.preempt(r) && e.makeRoom(need)) {
		return false
	}
	e.free -= need
	r.held, r.unread = need, r.prompt()-hit+int64(r.made) // what it made before is read again
	e.running = append(e.running, r)
	return true
}

// lookup returns the tokens of the cached parts at the beginning of a prompt.
func (e *Engine) lookup(r *run) int64 {
	var hit int64
	for _, p := range r.Prompt[:len(r.Prompt)-1] {
		c := e.cache[p.ID]
		if c == nil {
			break
		}
		c.used = e.steps
		hit += c.tokens
	}
	return hit
}

// makeRoom evicts cached parts until need tokens are free.
func (e *Engine) makeRoom(need int64) bool {
	for e.free < need && len(e.cache) > 0 {
		var oldest uint64
		for id, c := range e.cache {
			if o := e.cache[oldest]; o == nil || c.used < o.used || c.used == o.used && id < oldest {
				oldest = id
			}
		}
		e.free += e.cache[oldest].tokens
		delete(e.cache, oldest)
	}
	return e.free >= need
}

// preempt puts back the least urgent request that is less urgent than r.
func (e *Engine) preempt(r *run) bool {
	worst := -1
	for i, o := range e.running {
		if o.Priority > r.Priority && (worst < 0 || o.Priority > e.running[worst].Priority || o.Priority == e.running[worst].Priority && o.order > e.running[worst].order) {
			worst = i
		}
	}
	if worst < 0 {
		return false
	}
	o := e.running[worst]
	e.running = slices.Delete(e.running, worst, worst+1)
	e.free += o.held
	e.Preemptions++
	e.waiting = append(e.waiting, o)
	return true
}

// reading returns the prompt tokens of the next step.
func (e *Engine) reading() int64 {
	var n int64
	for _, r := range e.running {
		n += r.unread
	}
	return min(n, e.opts.MaxPrefillTokens)
}

func (e *Engine) duration() time.Duration {
	var context int64
	generating := 0
	for _, r := range e.running {
		if r.unread == 0 {
			generating++
			context += r.prompt() + int64(r.made)
		}
	}
	d := e.opts.StepTime + time.Duration(generating)*e.opts.StepTimePerSequence + time.Duration(float64(context)/1000*float64(e.opts.StepTimePerKContext)) +
		time.Duration(float64(e.reading())/e.opts.PrefillTokensPerMs*float64(time.Millisecond))
	return time.Duration(float64(d) * e.opts.SlowdownFactor)
}

// read reads a chunk, of the most urgent requests first.
func (e *Engine) read() {
	left := e.reading()
	e.PrefilledTokens += left
	order := slices.Clone(e.running)
	slices.SortStableFunc(order, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.order, b.order))
	})
	for _, r := range order {
		n := min(left, r.unread)
		if n == 0 {
			continue
		}
		left -= n
		if r.unread -= n; r.unread == 0 {
			e.keep(r)
		}
	}
}

// keep moves the shared parts of a prompt that was read to the cache.
func (e *Engine) keep(r *run) {
	for _, p := range r.Prompt[:len(r.Prompt)-1] {
		if e.cache[p.ID] != nil {
			continue
		}
		if e.known[p.ID] {
			e.RecomputedTokens += p.Tokens
		}
		e.known[p.ID] = true
		e.cache[p.ID] = &cached{tokens: p.Tokens, used: e.steps}
		r.held -= p.Tokens
	}
}

// generate gives a token to each request whose prompt is read.
func (e *Engine) generate() {
	kept := e.running[:0]
	for _, r := range e.running {
		if r.unread > 0 {
			kept = append(kept, r)
			continue
		}
		r.made++
		done := r.made >= r.OutputTokens
		if r.made%e.opts.TokensPerEvent == 0 || done {
			r.OnEvent(e.now)
		}
		if !done {
			kept = append(kept, r)
			continue
		}
		e.free += r.held
		r.OnEnd(e.now)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

// IsCached reports whether a shared part is in memory.
func (e *Engine) IsCached(id uint64) bool { return e.cache[id] != nil }
