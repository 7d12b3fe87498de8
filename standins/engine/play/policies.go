package play

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/placement"
	"github.com/clementinerack/clementinerack/pkg/rendezvous"
	"github.com/clementinerack/clementinerack/standins/engine/emulator"
)

// NamedPolicy is a policy with a constructor for one instance and a number of engines.
type NamedPolicy struct {
	Name string
	New  func(instance, engines int) Policy
}

// InUse is the policy of the product.
func InUse() NamedPolicy {
	return NamedPolicy{"in use", func(i, n int) Policy { return newPooled(i, n, true) }}
}

// Baselines are policies that the one in use replaces.
func Baselines() []NamedPolicy {
	return []NamedPolicy{
		{"in use, blind to shared parts", func(i, n int) Policy { return newPooled(i, n, false) }},
		{"fewest requests of the own instance", func(i, n int) Policy { return &fewest{load: make([]int, n), rng: seeded(i)} }},
		{"always the same engine for a shared part", func(_, n int) Policy { return fixed(n) }},
		{"random", func(i, n int) Policy { return &random{n, seeded(i)} }},
	}
}

func seeded(instance int) *rand.Rand { return rand.New(rand.NewPCG(uint64(instance), 1)) }

func nothing(time.Duration) {}

// pooled is the product's pool.
type pooled struct {
	pool   *placement.Pool
	index  map[string]int
	shared bool // the pool is told of shared parts
}

func newPooled(instance, engines int, shared bool) *pooled {
	p := &pooled{pool: placement.New("z", uint64(instance)), index: map[string]int{}, shared: shared}
	list := catalog.EndpointList{Revision: 1}
	for i := range engines {
		id := fmt.Sprintf("engine-%02d", i)
		p.index[id] = i
		list.Endpoints = append(list.Endpoints, catalog.Endpoint{ID: id, Service: "llm", Address: id, Domain: "z"})
	}
	p.pool.Update(list)
	return p
}

func clock(at time.Duration) time.Time { return time.Unix(1000, 0).Add(at) }

// Place implements Policy.
func (p *pooled) Place(prompt []emulator.Part, at time.Duration) Placement {
	req := placement.Request{Service: "llm"}
	for _, part := range prompt {
		req.Parts = append(req.Parts, placement.Part{ID: part.ID, Tokens: part.Tokens})
	}
	if !p.shared {
		req.Parts = []placement.Part{{ID: prompt[1].ID, Tokens: prompt[0].Tokens + prompt[1].Tokens}}
	}
	c, err := p.pool.Choose(req, clock(at))
	if err != nil {
		panic(err) // all engines stay listed
	}
	return Placement{p.index[c.ID], func(at time.Duration) { c.RecordFirstByte(clock(at)) }, func(at time.Duration) { c.Done(placement.Served, clock(at)) }}
}

// fewest chooses the engine with the fewest requests of its instance.
type fewest struct {
	load []int
	rng  *rand.Rand
}

// Place implements Policy.
func (f *fewest) Place([]emulator.Part, time.Duration) Placement {
	best := f.rng.IntN(len(f.load))
	for i, n := range f.load {
		if n < f.load[best] {
			best = i
		}
	}
	f.load[best]++
	return Placement{best, nothing, func(time.Duration) { f.load[best]-- }}
}

// fixed is a number of engines over which shared parts are spread for good.
type fixed int

// Place implements Policy.
func (f fixed) Place(prompt []emulator.Part, _ time.Duration) Placement {
	return Placement{int(rendezvous.Mix(prompt[0].ID) % uint64(f)), nothing, nothing}
}

type random struct {
	engines int
	rng     *rand.Rand
}

// Place implements Policy.
func (r *random) Place([]emulator.Part, time.Duration) Placement {
	return Placement{r.rng.IntN(r.engines), nothing, nothing}
}
