package play

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/placement"
	"github.com/clementinerack/clementinerack/pkg/rendezvous"
	"github.com/clementinerack/clementinerack/pkg/tokens"
	"github.com/clementinerack/clementinerack/standins/engine/emulator"
)

// NamedPolicy is a kind of policy under its name in the results.
type NamedPolicy struct {
	Name string
	// New returns the policy of one instance under a workload.
	New func(instance int, w Workload) Policy
}

// InUse returns the policy in use, which is that of placement.Pool.
func InUse() NamedPolicy {
	return NamedPolicy{"in use", func(instance int, w Workload) Policy {
		p := newPoolPolicy(instance, w, true)
		p.pool.SetSpread(map[string]bool{"llm": true}, func() int { return w.Instances })
		return p
	}}
}

// WithoutSpread returns the policy in use without placement.Pool.SetSpread.
func WithoutSpread() NamedPolicy {
	return NamedPolicy{"in use, a prefix stays at one engine", func(instance int, w Workload) Policy { return newPoolPolicy(instance, w, true) }}
}

// Baselines returns simpler policies to compare with the one in use.
func Baselines() []NamedPolicy {
	return []NamedPolicy{
		{"in use, blind to shared parts", func(instance int, w Workload) Policy { return newPoolPolicy(instance, w, false) }},
		{"fewest requests of the own instance", func(instance int, w Workload) Policy {
			return &fewestRequestsPolicy{inFlight: make([]int, len(w.Engines)), rng: newRand(instance)}
		}},
		{"always the same engine for a shared part", func(_ int, w Workload) Policy { return hashPolicy(len(w.Engines)) }},
		{"random", func(instance int, w Workload) Policy { return &randomPolicy{len(w.Engines), newRand(instance)} }},
	}
}

// newRand returns a random number generator that is seeded with the instance.
func newRand(instance int) *rand.Rand { return rand.New(rand.NewPCG(uint64(instance), 1)) }

func ignoreEvent(time.Duration) {}

// poolPolicy chooses with a placement.Pool.
type poolPolicy struct {
	pool               *placement.Pool
	engineIndex        map[string]int // by endpoint ID
	reportsSharedParts bool           // passes the shared parts of prompts to the pool
}

func newPoolPolicy(instance int, w Workload, reportsSharedParts bool) *poolPolicy {
	p := &poolPolicy{pool: placement.New("z", uint64(instance), nil), engineIndex: map[string]int{}, reportsSharedParts: reportsSharedParts}
	endpoints := catalog.EndpointList{Revision: 1}
	for i := range w.Engines {
		id := fmt.Sprintf("engine-%02d", i)
		p.engineIndex[id] = i
		endpoints.Endpoints = append(endpoints.Endpoints, catalog.Endpoint{ID: id, Service: "llm", Address: id, Domain: "z"})
	}
	p.pool.Update(endpoints, toTime(0))
	return p
}

// toTime converts simulated time to the time that the pool expects.
func toTime(at time.Duration) time.Time { return time.Unix(1000, 0).Add(at) }

// Place implements Policy.
func (p *poolPolicy) Place(prompt []emulator.Part, at time.Duration) Placement {
	req := placement.Request{Service: "llm"}
	for _, part := range prompt {
		req.Parts = append(req.Parts, placement.Part{ID: part.ID, Tokens: tokens.Count(part.Tokens)})
	}
	if !p.reportsSharedParts {
		req.Parts = []placement.Part{{ID: prompt[1].ID, Tokens: tokens.Count(prompt[0].Tokens + prompt[1].Tokens)}}
	}
	choice, err := p.pool.Choose(req, toTime(at))
	if err != nil {
		panic(err) // the pool always lists all engines
	}
	return Placement{p.engineIndex[choice.ID], func(at time.Duration) { choice.RecordFirstByte(toTime(at)) }, func(at time.Duration) { choice.Done(placement.Served, toTime(at)) }}
}

// fewestRequestsPolicy chooses the engine with the fewest requests in flight from its
// own instance.
type fewestRequestsPolicy struct {
	inFlight []int
	rng      *rand.Rand
}

// Place implements Policy.
func (p *fewestRequestsPolicy) Place([]emulator.Part, time.Duration) Placement {
	best := p.rng.IntN(len(p.inFlight))
	for i, n := range p.inFlight {
		if n < p.inFlight[best] {
			best = i
		}
	}
	p.inFlight[best]++
	return Placement{best, ignoreEvent, func(time.Duration) { p.inFlight[best]-- }}
}

// hashPolicy chooses the engine by a hash of the shared part. Its value is the number
// of engines.
type hashPolicy int

// Place implements Policy.
func (p hashPolicy) Place(prompt []emulator.Part, _ time.Duration) Placement {
	return Placement{int(rendezvous.Mix(prompt[0].ID) % uint64(p)), ignoreEvent, ignoreEvent}
}

// randomPolicy chooses an engine at random.
type randomPolicy struct {
	engineCount int
	rng         *rand.Rand
}

// Place implements Policy.
func (p *randomPolicy) Place([]emulator.Part, time.Duration) Placement {
	return Placement{p.rng.IntN(p.engineCount), ignoreEvent, ignoreEvent}
}
