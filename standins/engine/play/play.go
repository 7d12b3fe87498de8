package play

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/standins/engine/emulator"
	"github.com/clementinerack/clementinerack/standins/eventqueue"
)

// Class is a kind of request.
type Class struct {
	Name              string
	ArrivalsPerSecond float64
	Priority          int
	// MeanSharedTokens and MeanOwnTokens are the mean tokens of the shared and the own part of prompts, and
	// Things the number of different shared parts.
	MeanSharedTokens, MeanOwnTokens float64
	SharedPartCount                 int
	// MeanOutputTokens is the mean number of generated tokens.
	MeanOutputTokens float64
	// MaxFirstEventDelay bounds the time to the first event, MaxEventInterval that between two events.
	MaxFirstEventDelay, MaxEventInterval time.Duration
	// Weight weighs the class against others.
	Weight float64
}

// Workload is what is played.
type Workload struct {
	Name      string
	Classes   []Class
	Engines   []emulator.Options
	Instances int
	Duration  time.Duration
	// HotShare is the share of requests that are about the first thing of their class.
	HotShare float64
	// BurstFactor multiplies the arrivals in the middle third.
	BurstFactor float64
	Seed        uint64
}

// Placement is where a request goes.
type Placement struct {
	Engine int
	// OnFirstEvent and OnEnd are called at the first event and at the end.
	OnFirstEvent, OnEnd func(at time.Duration)
}

// Policy chooses engines for the requests of one instance.
type Policy interface {
	Place(prompt []emulator.Part, at time.Duration) Placement
}

// Result is what callers got.
type Result struct {
	Requests int
	// Attainment is the share of worth whose requests kept their aims.
	Attainment float64
	// FirstP50 and FirstP95 are times to the first event.
	FirstP50, FirstP95 time.Duration
	// RecomputedKTokens is the prompt tokens of shared parts that some engine had read before,
	// in thousands.
	RecomputedKTokens float64
}

const (
	// drain is how long requests may last after the last arrival.
	drain = 30 * time.Second
	// sizeSpread is the deviation of the logarithm of sizes.
	sizeSpread = 0.8
	// largest bounds a size as a multiple of its mean.
	largest = 8
)

// player is one play.
type player struct {
	load     Workload
	policies []Policy
	engines  []*emulator.Engine
	busy     []bool // a step is scheduled
	rng      *rand.Rand
	queue    eventqueue.Queue
	seq      uint64          // of prompts
	read     map[uint64]bool // shared parts that some engine has read
	sizes    map[uint64]int64
	result   Result
	owed     float64
	kept     float64
	firsts   []time.Duration
	again    int64
}

// Run plays a load. policy returns the policy of an instance.
func Run(l Workload, policy func(instance int) Policy) Result {
	p := &player{load: l, rng: rand.New(rand.NewPCG(l.Seed, l.Seed)), read: map[uint64]bool{}, sizes: map[uint64]int64{}, busy: make([]bool, len(l.Engines))}
	for i := range l.Instances {
		p.policies = append(p.policies, policy(i))
	}
	for _, o := range l.Engines {
		p.engines = append(p.engines, emulator.New(o))
	}
	for i := range l.Classes {
		p.arrivals(i)
	}
	p.queue.Run(l.Duration + drain)
	return p.finish()
}

// arrivals draws all arrivals of a class ahead, so that they do not depend on the
// policy.
func (p *player) arrivals(class int) {
	c := p.load.Classes[class]
	third := p.load.Duration / 3
	for at := time.Duration(0); at < p.load.Duration; {
		rate := c.ArrivalsPerSecond
		if p.load.BurstFactor > 0 && at >= third && at < 2*third {
			rate *= p.load.BurstFactor
		}
		at += time.Duration(p.rng.ExpFloat64() / rate * float64(time.Second))
		p.seq++
		thing := uint64(class+1)<<32 | uint64(p.rng.IntN(c.SharedPartCount))
		if p.rng.Float64() < p.load.HotShare {
			thing = uint64(class+1) << 32
		}
		if p.sizes[thing] == 0 {
			p.sizes[thing] = p.size(c.MeanSharedTokens)
		}
		prompt := []emulator.Part{{ID: thing, Tokens: p.sizes[thing]}, {ID: 1<<63 | p.seq, Tokens: p.size(c.MeanOwnTokens)}}
		output, instance := int(p.size(c.MeanOutputTokens)), p.rng.IntN(p.load.Instances)
		p.queue.At(at, func() { p.arrive(c, instance, prompt, output) })
	}
}

// size draws from a log-normal distribution.
func (p *player) size(mean float64) int64 {
	return int64(math.Ceil(min(mean*math.Exp(p.rng.NormFloat64()*sizeSpread-sizeSpread*sizeSpread/2), mean*largest)))
}

func (p *player) arrive(c Class, instance int, prompt []emulator.Part, output int) {
	to := p.policies[instance].Place(prompt, p.queue.Now())
	start, last := p.queue.Now(), time.Duration(0)
	inAim := true
	p.result.Requests++
	p.owed += c.Weight
	p.countAgain(to.Engine, prompt)
	p.engines[to.Engine].Submit(p.queue.Now(), emulator.Request{Priority: c.Priority, Prompt: prompt, OutputTokens: output,
		OnEvent: func(at time.Duration) {
			if last == 0 {
				to.OnFirstEvent(at)
				p.firsts = append(p.firsts, at-start)
				inAim = at-start <= c.MaxFirstEventDelay
			} else if at-last > c.MaxEventInterval {
				inAim = false
			}
			last = at
		},
		OnEnd: func(at time.Duration) {
			to.OnEnd(at)
			if inAim {
				p.kept += c.Weight
			}
		}})
	p.schedule(to.Engine)
}

// countAgain counts a shared part that the chosen engine has not cached although some
// engine has read it.
func (p *player) countAgain(engine int, prompt []emulator.Part) {
	shared := prompt[0]
	if !p.engines[engine].IsCached(shared.ID) && p.read[shared.ID] {
		p.again += shared.Tokens
	}
	p.read[shared.ID] = true
}

// schedule plans the next step of an engine.
func (p *player) schedule(engine int) {
	if p.busy[engine] {
		return
	}
	end, ok := p.engines[engine].BeginStep()
	if !ok {
		return
	}
	p.busy[engine] = true
	p.queue.At(end, func() {
		p.engines[engine].CompleteStep()
		p.busy[engine] = false
		p.schedule(engine)
	})
}

func (p *player) finish() Result {
	r := p.result
	r.Attainment, r.RecomputedKTokens = p.kept/p.owed, float64(p.again)/1000
	slices.Sort(p.firsts)
	at := func(q float64) time.Duration { return p.firsts[int(q*float64(len(p.firsts)-1))] }
	r.FirstP50, r.FirstP95 = at(0.5), at(0.95)
	return r
}
