package quarantine

import "github.com/clementinerack/clementinerack/pkg/catalog"

// Place is an address that is tried to tell the death of an endpoint from a partition.
type Place struct {
	Address string
	Domain  string
}

// Witnesses returns the places of which one must accept a connection before an endpoint that
// refuses connections counts as dead, because a partition that refuses connections would
// cut off all of them: the other endpoints and the instances of the endpoint's failure
// domain. If this instance is in that domain itself, a partition could only cut off this
// instance, and every other place is a witness. The endpoint is dead without witnesses if it
// has no neighbor at all.
func Witnesses(endpoint catalog.Endpoint, ownDomain string, endpoints []catalog.Endpoint, instances []Place) []Place {
	var witnesses []Place
	isNear := func(domain string) bool { return domain == endpoint.Domain || ownDomain == endpoint.Domain }
	for _, e := range endpoints {
		if e.ID != endpoint.ID && isNear(e.Domain) {
			witnesses = append(witnesses, Place{e.Address, e.Domain})
		}
	}
	for _, i := range instances {
		if isNear(i.Domain) {
			witnesses = append(witnesses, i)
		}
	}
	return witnesses
}
