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

// DrainSource says who drained an endpoint. Each source suffices, and none cancels
// another.
type DrainSource int

// Sources of a drain.
const (
	// DrainSourceOperator is Document.Drained.
	DrainSourceOperator DrainSource = iota
	// DrainSourceEndpoint is the endpoint's own signal.
	DrainSourceEndpoint
	// DrainSourcePlatform is the state "leaving" of the platform's list.
	DrainSourcePlatform

	sources = int(DrainSourcePlatform) + 1
)

// String returns the name of the source.
func (s DrainSource) String() string {
	return [sources]string{"operator", "endpoint", "platform"}[s]
}

// endpoint is what the pool knows of one endpoint.
type endpoint struct {
	cfg      config.Endpoint
	hash     uint64
	listed   bool // named by the current document
	inFlight int
	isolated bool // runs a request that was acquired with Isolate

	load         Load
	inFlightThen int    // own requests in flight when load was reported
	incarnation  string // latest one seen
	retired      string // the one before it
	drains       [sources]bool
	downUntil    time.Time
}

func (e *endpoint) reset() {
	e.load, e.inFlightThen, e.incarnation, e.retired = Load{}, 0, "", ""
	e.drains[DrainSourceEndpoint] = false
	e.downUntil = time.Time{}
}

func (e *endpoint) drain(src DrainSource) {
	if src >= 0 && int(src) < sources {
		e.drains[src] = true
	}
}

// observe applies a report unless it is stale.
func (e *endpoint) observe(l Load) {
	switch {
	case l.Incarnation == e.incarnation:
		if l.AsOf.Before(e.load.AsOf) {
			return
		}
	case l.Incarnation == "" || l.Incarnation == e.retired:
		return
	case e.incarnation == "":
		// The first report may describe the process that sent an earlier
		// signal, so it does not end a drain.
		e.incarnation = l.Incarnation
	default:
		e.retired, e.incarnation = e.incarnation, l.Incarnation
		e.drains[DrainSourceEndpoint] = false
		e.downUntil = time.Time{}
	}
	e.load, e.inFlightThen = l, e.inFlight
	if l.Draining {
		e.drains[DrainSourceEndpoint] = true
	}
}

func (e *endpoint) usable(req Request, now time.Time) bool {
	return e.drains == [sources]bool{} && !now.Before(e.downUntil) && !req.Exclude[e.cfg.ID]
}

func (e *endpoint) hasRoom(limit int, req Request) bool {
	return e.inFlight < limit && !(req.Isolate && e.isolated)
}

// score is the own requests in flight plus the load of other instances, which
// counts less the older the report is.
func (e *endpoint) score(now time.Time, halfLife time.Duration) float64 {
	others := max(0, e.load.Running+e.load.Queued-e.inFlightThen)
	age := max(0, now.Sub(e.load.AsOf))
	return float64(e.inFlight) + float64(others)*math.Exp2(-float64(age)/float64(halfLife))
}

// choose returns an endpoint with room, or nil, and the number of endpoints that
// could serve the request when they have room. The own failure domain goes first.
func (p *Pool) choose(s *service, req Request, now time.Time) (*endpoint, int) {
	var local, remote []*endpoint
	for _, e := range s.endpoints {
		switch {
		case !e.usable(req, now):
		case e.cfg.Domain == p.domain:
			local = append(local, e)
		default:
			remote = append(remote, e)
		}
	}
	e := p.pick(s, local, req, now)
	if e == nil {
		e = p.pick(s, remote, req, now)
	}
	return e, len(local) + len(remote)
}

func (p *Pool) pick(s *service, candidates []*endpoint, req Request, now time.Time) *endpoint {
	score := func(e *endpoint) float64 { return e.score(now, p.opts.LoadHalfLife) }
	if req.Affinity != 0 && len(candidates) > 1 {
		first, second := topTwo(candidates, req.Affinity)
		roomFirst, roomSecond := first.hasRoom(s.limit, req), second.hasRoom(s.limit, req)
		switch {
		case roomFirst && (!roomSecond || score(first) <= score(second)+p.opts.SpillMargin):
			return first
		case roomSecond:
			return second
		}
	}
	candidates = slices.DeleteFunc(candidates, func(e *endpoint) bool { return !e.hasRoom(s.limit, req) })
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

// topTwo returns the two endpoints of highest rendezvous weight.
func topTwo(candidates []*endpoint, key uint64) (first, second *endpoint) {
	for _, e := range candidates {
		switch {
		case first == nil || heavier(e, first, key):
			first, second = e, first
		case second == nil || heavier(e, second, key):
			second = e
		}
	}
	return first, second
}

func heavier(a, b *endpoint, key uint64) bool {
	return cmp.Or(cmp.Compare(rendezvous.Mix(a.hash^key), rendezvous.Mix(b.hash^key)), cmp.Compare(a.cfg.ID, b.cfg.ID)) > 0
}

func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum64()
}
