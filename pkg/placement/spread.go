package placement

import (
	"math"
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/rendezvous"
)

const (
	// arrivalWindow is the time constant with which arrivals of a prefix are forgotten.
	arrivalWindow = 4 * time.Second
	// spreadBusyShare is the share of the time of an endpoint that the prompts of one prefix
	// may take before more endpoints share them.
	spreadBusyShare = 0.25
	// maxSpread bounds the endpoints that share a prefix.
	maxSpread = 16
	// maxTrackedPrefixes bounds the prefixes whose arrivals are counted.
	maxTrackedPrefixes = 4096
)

// prefixLoads counts the recent prompts of each shared prefix at this instance, to find those
// whose prompts keep more than one endpoint busy.
type prefixLoads map[uint64]arrivals

// arrivals are the prompts of one prefix, weighted by age.
type arrivals struct {
	count, tokens float64 // tokens are those that follow the prefix
	at            time.Time
}

func (a arrivals) decayed(now time.Time) arrivals {
	f := math.Exp(-float64(now.Sub(a.at)) / float64(arrivalWindow))
	return arrivals{a.count * f, a.tokens * f, now}
}

// observe counts a prompt of the prefix and returns how many endpoints should share the
// prompts of this prefix that all instances together get. It takes the others to get as many
// as this one. The first two recent prompts say nothing about a rate and do not count.
func (l prefixLoads) observe(prefix uint64, unshared float64, instances int, now time.Time) int {
	a := l[prefix].decayed(now)
	a.count++
	a.tokens += unshared
	if len(l) >= maxTrackedPrefixes {
		l.evict(now)
	}
	l[prefix] = a
	if a.count <= 2 {
		return 1
	}
	perMs := a.tokens * (1 - 2/a.count) / float64(arrivalWindow.Milliseconds()) * float64(instances)
	return min(max(1, int(math.Ceil(perMs/prefillTokensPerMs/spreadBusyShare))), maxSpread)
}

// evict removes the prefixes without recent prompts, and arbitrary ones down to half of the
// bound if that does not suffice.
func (l prefixLoads) evict(now time.Time) {
	for k, a := range l {
		if now.Sub(a.at) > 2*arrivalWindow {
			delete(l, k)
		}
	}
	for k := range l {
		if len(l) <= maxTrackedPrefixes/2 {
			break
		}
		delete(l, k)
	}
}

// SetSpread lets the prompts of a shared prefix go to several endpoints of the given services
// if they keep more than one busy. instances returns the number of instances.
func (p *Pool) SetSpread(services map[string]bool, instances func() int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spread, p.instances = services, instances
}

// ranking holds the endpoints that are expected to have a shared prefix cached, the best
// first, and one that has it in part.
type ranking struct {
	endpoints []*endpointState
	spread    int // number of those that have it cached
}

// rank returns the position of an endpoint, from 1, or 0.
func (r *ranking) rank(e *endpointState) int { return slices.Index(r.endpoints, e) + 1 }

func (r *ranking) isFirst(rank int) bool  { return rank > 0 && rank <= r.spread }
func (r *ranking) isSecond(rank int) bool { return rank > r.spread }

// rankEndpoints returns the endpoints with the highest rendezvous weights for the longest
// shared prefix of a request. Those of domains that return rank only if there is no other.
func (p *Pool) rankEndpoints(req *Request, prefixKeys []uint64, now time.Time) ranking {
	if len(prefixKeys) == 0 {
		return ranking{}
	}
	key, spread := prefixKeys[len(prefixKeys)-1], 1
	if p.spread[req.Service] && len(req.Exclude) == 0 { // a further attempt is no further prompt
		spread = p.prefixLoads.observe(key, float64(req.Parts[len(req.Parts)-1].Tokens), p.instances(), now)
	}
	if r := p.rankAmong(req, key, spread, now, p.isReturned); len(r.endpoints) > 0 {
		return r
	}
	return p.rankAmong(req, key, spread, now, func(*endpointState, *Request, time.Time) bool { return true })
}

// rankAmong is rankEndpoints among the endpoints for which mayRank returns true.
func (p *Pool) rankAmong(req *Request, key uint64, spread int, now time.Time, mayRank func(*endpointState, *Request, time.Time) bool) ranking {
	r := ranking{spread: spread}
	weight := func(e *endpointState) uint64 { return rendezvous.Mix(e.hash ^ key) }
	for _, e := range p.services[req.Service] {
		if !p.accepts(e, req, now) || !mayRank(e, req, now) {
			continue
		}
		i := len(r.endpoints)
		for i > 0 && weight(e) > weight(r.endpoints[i-1]) {
			i--
		}
		if i <= spread {
			r.endpoints = slices.Insert(r.endpoints, i, e)
			r.endpoints = r.endpoints[:min(len(r.endpoints), spread+1)]
		}
	}
	return r
}
