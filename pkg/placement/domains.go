package placement

import (
	"slices"
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/rendezvous"
)

const (
	// returnTime is the time in which a failure domain that is back in use gets back its share
	// of the prompts. Its endpoints have nothing cached, and may be slow at first.
	returnTime = 4 * time.Second
	// returningCostMs ranks endpoints of a domain that has just returned behind all others
	// that can be reached, for the prompts that do not use it yet.
	returningCostMs = unreachableCostMs / 4
)

// domainUse says which failure domains requests may use. Contrast domainState, which says
// which ones can be reached.
type domainUse struct {
	regions  map[string]string // by domain
	required bool              // requests must wait until the domains out of use are known
	known    bool
	out      map[string]bool
	backAt   map[string]time.Time // when a domain came back into use
}

// SetRegions sets the region of each failure domain. A domain without one is in no region.
func (p *Pool) SetRegions(regions map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.use.regions = regions
}

// RequireDomains makes Choose fail until SetDomainsOut has been called.
func (p *Pool) RequireDomains() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.use.required = true
}

// SetDomainsOut replaces the set of failure domains out of use at time now.
func (p *Pool) SetDomainsOut(domains []string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]bool, len(domains))
	for _, name := range domains {
		out[name] = true
		delete(p.use.backAt, name)
	}
	for name := range p.use.out {
		if !out[name] {
			p.use.backAt[name] = now
			p.assumeCold(name, now)
		}
	}
	p.use.out, p.use.known = out, true
}

// isKnown reports whether it is known which domains are out of use.
func (u *domainUse) isKnown() bool { return u.known || !u.required }

// allows reports whether requests may be sent to a domain.
func (u *domainUse) allows(domain string, regions [][]string) bool {
	return u.isKnown() && !u.out[domain] && u.isAllowedRegion(domain, regions)
}

// isAllowedRegion reports whether the region of a domain is in all lists that are not empty.
func (u *domainUse) isAllowedRegion(domain string, regions [][]string) bool {
	if !slices.ContainsFunc(regions, func(list []string) bool { return len(list) > 0 }) {
		return true
	}
	region, known := u.regions[domain]
	return known && catalog.AllowsRegion(region, regions...)
}

// isReturning reports whether a domain came back into use so lately that the prompts with the
// given key do not use it yet.
func (u *domainUse) isReturning(domain string, key uint64, now time.Time) bool {
	at, ok := u.backAt[domain]
	if !ok {
		return false
	}
	share := float64(now.Sub(at)) / float64(returnTime)
	if share >= 1 {
		delete(u.backAt, domain)
		return false
	}
	const keys = 1 << 64 // number of the values of a key
	return float64(rendezvous.Mix(key^hashID(domain))) >= share*keys
}

// isReturned reports whether a prompt uses the domain of an endpoint: not if that came back into
// use a moment ago and gets its prompts step by step. p.mu must be held.
func (p *Pool) isReturned(e *endpointState, req *Request, now time.Time) bool {
	return !p.use.isReturning(e.Domain, req.returnKey, now)
}

// returnKey returns the key of isReturning: that of the shared prompt, so that all instances
// send it to the same endpoints, or a random one.
func (p *Pool) returnKey(prefixKeys []uint64) uint64 {
	switch {
	case len(p.use.backAt) == 0:
		return 0 // not used
	case len(prefixKeys) > 0:
		return prefixKeys[len(prefixKeys)-1]
	}
	return p.rng.Uint64()
}

// accepts reports whether an endpoint may get a request and accepts it. p.mu must be held.
func (p *Pool) accepts(e *endpointState, req *Request, now time.Time) bool {
	return p.use.allows(e.Domain, req.Regions) && p.isAvailable(e, req, now)
}

// noEndpointError returns why no endpoint can get a request. p.mu must be held.
func (p *Pool) noEndpointError(req *Request, now time.Time) error {
	switch {
	case !p.use.isKnown():
		return failure.New(failure.NotReady, "repeat later", "it is not known yet which failure domains are out of use")
	case p.isOut(req):
		return failure.New(failure.NoEndpoint, "repeat later", "all endpoints of service %q that may get the request are in failure domains out of use", req.Service)
	case len(p.services[req.Service]) > 0 && !slices.ContainsFunc(p.services[req.Service], func(e *endpointState) bool { return p.use.isAllowedRegion(e.Domain, req.Regions) }):
		return failure.New(failure.NoEndpoint, "allow a region in which the service has endpoints", "no endpoint of service %q is in an allowed region", req.Service)
	case req.Version != nil:
		return failure.New(failure.NoEndpoint, "repeat later", "no endpoint of software version %q of service %q accepts work", *req.Version, req.Service).WithCause(p.refusalCause(req, now))
	}
	return failure.New(failure.NoEndpoint, "repeat later", "no endpoint of service %q accepts work", req.Service).WithCause(p.refusalCause(req, now))
}

// isOut reports whether the service has endpoints in allowed regions, all of them in failure
// domains out of use. p.mu must be held.
func (p *Pool) isOut(req *Request) bool {
	isOut := false
	for _, e := range p.services[req.Service] {
		if p.use.isAllowedRegion(e.Domain, req.Regions) {
			if !p.use.out[e.Domain] {
				return false
			}
			isOut = true
		}
	}
	return isOut
}

// IsOutOfUse reports whether the service of a request has endpoints in allowed regions, all of
// them in failure domains out of use.
func (p *Pool) IsOutOfUse(req Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isOut(&req)
}

// MaySend reports whether the request may still be sent to the chosen endpoint: its failure
// domain may have gone out of use since.
func (c *Choice) MaySend() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return !c.pool.use.out[c.Domain]
}
