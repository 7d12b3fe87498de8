package routing

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/config"
	"github.com/clementinerack/clementinerack/pkg/rendezvous"
)

// DrainSource says who drained an endpoint. One source is enough to drain it, and
// the end of one drain does not end those of other sources.
type DrainSource int

// Sources of a drain.
const (
	// DrainSourceOperator is the list config.Document.Drained.
	DrainSourceOperator DrainSource = iota
	// DrainSourceEndpoint is a signal of the endpoint itself.
	DrainSourceEndpoint
	// DrainSourcePlatform is the state "leaving" in the platform's instance list.
	DrainSourcePlatform

	numDrainSources = int(DrainSourcePlatform) + 1
)

// String returns the name of the source.
func (s DrainSource) String() string {
	return [numDrainSources]string{"operator", "endpoint", "platform"}[s]
}

// endpoint is the state of one endpoint in the pool.
type endpoint struct {
	cfg          config.Endpoint
	hash         uint64
	listed       bool // in the current document
	inFlight     int
	runsIsolated bool // runs a request with Isolate

	load                Load
	inFlightAtReport    int    // this pool's requests in flight when load was reported
	incarnation         string // latest one reported
	previousIncarnation string // the one before incarnation
	drains              [numDrainSources]bool
	downUntil           time.Time
}

// reset forgets what was learned about the process at the endpoint's address.
func (e *endpoint) reset() {
	e.load, e.inFlightAtReport, e.incarnation, e.previousIncarnation = Load{}, 0, "", ""
	e.drains[DrainSourceEndpoint] = false
	e.downUntil = time.Time{}
}

func (e *endpoint) drain(src DrainSource) {
	if src >= 0 && int(src) < numDrainSources {
		e.drains[src] = true
	}
}

// applyReport applies a load report unless it is stale.
func (e *endpoint) applyReport(l Load) {
	switch {
	case l.Incarnation == e.incarnation:
		if l.AsOf.Before(e.load.AsOf) {
			return
		}
	case l.Incarnation == "" || l.Incarnation == e.previousIncarnation:
		return
	case e.incarnation == "":
		// The first report may come from the process that signalled an earlier
		// drain, so it does not end that drain.
		e.incarnation = l.Incarnation
	default:
		e.previousIncarnation, e.incarnation = e.incarnation, l.Incarnation
		e.drains[DrainSourceEndpoint] = false
		e.downUntil = time.Time{}
	}
	e.load, e.inFlightAtReport = l, e.inFlight
	if l.Draining {
		e.drains[DrainSourceEndpoint] = true
	}
}

func (e *endpoint) isUsable(req Request, now time.Time) bool {
	return e.drains == [numDrainSources]bool{} && !now.Before(e.downUntil) && !req.Exclude[e.cfg.ID]
}

func (e *endpoint) hasCapacity(limit int, req Request) bool {
	return e.inFlight < limit && !(req.Isolate && e.runsIsolated)
}

// score returns this pool's requests in flight plus the load from other instances,
// which decays exponentially with the age of the report. A lower score is better.
func (e *endpoint) score(now time.Time, halfLife time.Duration) float64 {
	otherLoad := max(0, e.load.Running+e.load.Queued-e.inFlightAtReport)
	age := max(0, now.Sub(e.load.AsOf))
	return float64(e.inFlight) + float64(otherLoad)*math.Exp2(-float64(age)/float64(halfLife))
}

// chooseEndpoint returns an endpoint with capacity, or nil, and the number of
// endpoints that could serve the request if they had capacity. Endpoints of the
// pool's own failure domain are preferred.
func (p *Pool) chooseEndpoint(svc *service, req Request, now time.Time) (*endpoint, int) {
	var local, remote []*endpoint
	for _, e := range svc.endpoints {
		switch {
		case !e.isUsable(req, now):
		case e.cfg.Domain == p.domain:
			local = append(local, e)
		default:
			remote = append(remote, e)
		}
	}
	e := p.chooseAmong(svc, local, req, now)
	if e == nil {
		e = p.chooseAmong(svc, remote, req, now)
	}
	return e, len(local) + len(remote)
}

// chooseAmong returns one of the candidates with capacity, or nil. With an affinity
// it is one of the two candidates of highest rendezvous weight if they have
// capacity; otherwise it is the better of two random ones.
func (p *Pool) chooseAmong(svc *service, candidates []*endpoint, req Request, now time.Time) *endpoint {
	score := func(e *endpoint) float64 { return e.score(now, p.opts.LoadHalfLife) }
	if req.Affinity != 0 && len(candidates) > 1 {
		first, second := topTwo(candidates, req.Affinity)
		firstHasCapacity, secondHasCapacity := first.hasCapacity(svc.maxInFlight, req), second.hasCapacity(svc.maxInFlight, req)
		switch {
		case firstHasCapacity && (!secondHasCapacity || score(first) <= score(second)+p.opts.SpillMargin):
			return first
		case secondHasCapacity:
			return second
		}
	}
	candidates = slices.DeleteFunc(candidates, func(e *endpoint) bool { return !e.hasCapacity(svc.maxInFlight, req) })
	switch len(candidates) {
	case 0:
		return nil
	case 1:
		return candidates[0]
	}
	i := p.rng.IntN(len(candidates))
	j := p.rng.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	if score(candidates[j]) < score(candidates[i]) {
		i = j
	}
	return candidates[i]
}

// topTwo returns the two endpoints of highest rendezvous weight for key, or one
// endpoint and nil.
func topTwo(candidates []*endpoint, key uint64) (first, second *endpoint) {
	for _, e := range candidates {
		switch {
		case first == nil || hasHigherWeight(e, first, key):
			first, second = e, first
		case second == nil || hasHigherWeight(e, second, key):
			second = e
		}
	}
	return first, second
}

func hasHigherWeight(a, b *endpoint, key uint64) bool {
	return cmp.Or(cmp.Compare(rendezvous.Mix(a.hash^key), rendezvous.Mix(b.hash^key)), cmp.Compare(a.cfg.ID, b.cfg.ID)) > 0
}

func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash never fails
	return h.Sum64()
}
