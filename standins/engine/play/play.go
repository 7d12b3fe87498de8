package play

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/standins/engine/emulator"
	"github.com/clementinerack/clementinerack/standins/eventqueue"
)

// Class describes one class of requests in a workload.
type Class struct {
	Name string
	// ArrivalsPerSecond is the mean rate over all instances.
	ArrivalsPerSecond float64
	Priority          int
	// MeanSharedTokens and MeanOwnTokens are the mean lengths of the two parts of a
	// prompt: the shared one, of which there are SharedPartCount different ones, and the
	// one that belongs to the request alone.
	MeanSharedTokens, MeanOwnTokens float64
	SharedPartCount                 int
	// MeanOutputTokens is the mean number of generated tokens.
	MeanOutputTokens float64
	// MaxFirstEventDelay and MaxEventInterval are the objective: the maximum time to
	// the first event and the maximum time between two events.
	MaxFirstEventDelay, MaxEventInterval time.Duration
	// Weight is the weight of a request of this class in the attainment.
	Weight float64
}

// Workload describes the requests, the engines and the instances of a simulation.
type Workload struct {
	Name      string
	Classes   []Class
	Engines   []emulator.Options
	Instances int
	Duration  time.Duration
	// HotShare is the share of requests that use the first shared part of their class,
	// in addition to those that draw it at random.
	HotShare float64
	// BurstFactor multiplies the arrival rates in the middle third of Duration; 0 means
	// 1.
	BurstFactor float64
	Seed        uint64
}

// Placement is the decision of a policy for one request.
type Placement struct {
	// Engine is the index of the chosen engine.
	Engine int
	// OnFirstEvent and OnEnd are called with the time of the first event and of the end.
	OnFirstEvent, OnEnd func(at time.Duration)
}

// Policy chooses engines for the requests of one instance.
type Policy interface {
	Place(prompt []emulator.Part, at time.Duration) Placement
}

// Result holds the measurements of a simulation.
type Result struct {
	Requests int
	// Attainment is the share of requests that met the objective of their class,
	// weighted by Class.Weight. A request that has not ended counts as a miss.
	Attainment float64
	// FirstEventP50 and FirstEventP95 are percentiles of the time to the first event.
	FirstEventP50, FirstEventP95 time.Duration
	// RecomputedKTokens is the number of prompt tokens, in thousands, of shared parts
	// that were sent to an engine without them after another request had used them.
	RecomputedKTokens float64
}

const (
	// drainTimeout is the simulated time after Workload.Duration in which requests can
	// still end.
	drainTimeout = 30 * time.Second
	// sizeSigma is the standard deviation of the logarithm of sizes.
	sizeSigma = 0.8
	// maxSizeFactor is the maximum ratio of a size to its mean.
	maxSizeFactor = 8
)

// simulation runs one workload with one policy.
type simulation struct {
	workload          Workload
	policies          []Policy
	engines           []*emulator.Engine
	stepScheduled     []bool // by engine
	rng               *rand.Rand
	queue             eventqueue.Queue
	promptCount       uint64
	computedParts     map[uint64]bool  // shared parts that were ever sent to an engine
	sharedPartTokens  map[uint64]int64 // length by ID
	result            Result
	totalWeight       float64
	weightInObjective float64 // of the requests that met their objective
	firstEventDelays  []time.Duration
	recomputedTokens  int64
}

// Run simulates a workload. It calls newPolicy once for each instance.
func Run(workload Workload, newPolicy func(instance int) Policy) Result {
	s := &simulation{workload: workload, rng: rand.New(rand.NewPCG(workload.Seed, workload.Seed)), computedParts: map[uint64]bool{}, sharedPartTokens: map[uint64]int64{}, stepScheduled: make([]bool, len(workload.Engines))}
	for i := range workload.Instances {
		s.policies = append(s.policies, newPolicy(i))
	}
	for _, o := range workload.Engines {
		s.engines = append(s.engines, emulator.New(o))
	}
	for i := range workload.Classes {
		s.scheduleArrivals(i)
	}
	s.queue.Run(workload.Duration + drainTimeout)
	return s.summarize()
}

// scheduleArrivals draws all requests of a class before the simulation starts, so that
// they do not depend on the policy.
func (s *simulation) scheduleArrivals(classIndex int) {
	class := s.workload.Classes[classIndex]
	third := s.workload.Duration / 3
	for at := time.Duration(0); at < s.workload.Duration; {
		rate := class.ArrivalsPerSecond
		if s.workload.BurstFactor > 0 && at >= third && at < 2*third {
			rate *= s.workload.BurstFactor
		}
		at += time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
		s.promptCount++
		sharedPart := uint64(classIndex+1)<<32 | uint64(s.rng.IntN(class.SharedPartCount))
		if s.rng.Float64() < s.workload.HotShare {
			sharedPart = uint64(classIndex+1) << 32
		}
		if s.sharedPartTokens[sharedPart] == 0 {
			s.sharedPartTokens[sharedPart] = s.drawTokens(class.MeanSharedTokens)
		}
		prompt := []emulator.Part{{ID: sharedPart, Tokens: s.sharedPartTokens[sharedPart]}, {ID: 1<<63 | s.promptCount, Tokens: s.drawTokens(class.MeanOwnTokens)}}
		outputTokens, instance := int(s.drawTokens(class.MeanOutputTokens)), s.rng.IntN(s.workload.Instances)
		s.queue.At(at, func() { s.receive(class, instance, prompt, outputTokens) })
	}
}

// drawTokens draws a size from a log-normal distribution with the given mean, limited
// to maxSizeFactor times the mean.
func (s *simulation) drawTokens(mean float64) int64 {
	return int64(math.Ceil(min(mean*math.Exp(s.rng.NormFloat64()*sizeSigma-sizeSigma*sizeSigma/2), mean*maxSizeFactor)))
}

// receive places a request, submits it to the engine and checks its objective.
func (s *simulation) receive(class Class, instance int, prompt []emulator.Part, outputTokens int) {
	placement := s.policies[instance].Place(prompt, s.queue.Now())
	start, lastEvent := s.queue.Now(), time.Duration(0)
	inObjective := true
	s.result.Requests++
	s.totalWeight += class.Weight
	s.countRecomputation(placement.Engine, prompt)
	s.engines[placement.Engine].Submit(s.queue.Now(), emulator.Request{Priority: class.Priority, Prompt: prompt, OutputTokens: outputTokens,
		OnEvent: func(at time.Duration) {
			if lastEvent == 0 {
				placement.OnFirstEvent(at)
				s.firstEventDelays = append(s.firstEventDelays, at-start)
				inObjective = at-start <= class.MaxFirstEventDelay
			} else if at-lastEvent > class.MaxEventInterval {
				inObjective = false
			}
			lastEvent = at
		},
		OnEnd: func(at time.Duration) {
			placement.OnEnd(at)
			if inObjective {
				s.weightInObjective += class.Weight
			}
		}})
	s.scheduleStep(placement.Engine)
}

// countRecomputation counts the shared part of a prompt if the chosen engine has not
// cached it and an earlier request has used it.
func (s *simulation) countRecomputation(engine int, prompt []emulator.Part) {
	shared := prompt[0]
	if !s.engines[engine].IsCached(shared.ID) && s.computedParts[shared.ID] {
		s.recomputedTokens += shared.Tokens
	}
	s.computedParts[shared.ID] = true
}

// scheduleStep begins the next step of an engine and schedules its completion, unless a
// step is in progress or the engine is idle.
func (s *simulation) scheduleStep(engine int) {
	if s.stepScheduled[engine] {
		return
	}
	end, ok := s.engines[engine].BeginStep()
	if !ok {
		return
	}
	s.stepScheduled[engine] = true
	s.queue.At(end, func() {
		s.engines[engine].CompleteStep()
		s.stepScheduled[engine] = false
		s.scheduleStep(engine)
	})
}

// summarize returns the result. It sorts firstEventDelays.
func (s *simulation) summarize() Result {
	r := s.result
	r.Attainment, r.RecomputedKTokens = s.weightInObjective/s.totalWeight, float64(s.recomputedTokens)/1000
	slices.Sort(s.firstEventDelays)
	quantile := func(q float64) time.Duration { return s.firstEventDelays[int(q*float64(len(s.firstEventDelays)-1))] }
	r.FirstEventP50, r.FirstEventP95 = quantile(0.5), quantile(0.95)
	return r
}
