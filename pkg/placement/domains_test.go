package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/failure"
)

// newDomainPool returns a pool with two endpoints in each of the domains a and b.
func newDomainPool(now time.Time) *Pool {
	p := New("a", 1, nil)
	var list catalog.EndpointList
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		list.Endpoints = append(list.Endpoints, catalog.Endpoint{ID: id, Service: "s", Address: id, Domain: id[:1]})
	}
	p.Update(list, now)
	return p
}

// shareIn returns the share of different prompts that are sent to a domain.
func shareIn(p *Pool, domain string, now time.Time) float64 {
	const prompts = 400
	n := 0
	for i := range uint64(prompts) {
		c, err := p.Choose(Request{Service: "s", Parts: []Part{{ID: i, Tokens: 1000}, {ID: 1 << 40, Tokens: 10}}}, now)
		if err != nil {
			return -1
		}
		if c.Domain == domain {
			n++
		}
		c.Done(Inconclusive, now)
	}
	return float64(n) / prompts
}

// Guards against requests to a domain out of use, and against a domain that gets all its prompts back at once.
func TestDomainOutOfUse(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newDomainPool(now)
	chosen, err := p.Choose(Request{Service: "s", Exclude: map[string]bool{"a1": true, "a2": true}}, now)
	if err != nil || !chosen.MaySend() {
		t.Fatalf("%+v, %v", chosen, err)
	}
	p.SetDomainsOut([]string{"b"}, now)
	if chosen.MaySend() || shareIn(p, "b", now) != 0 {
		t.Error("requests are sent to a domain out of use")
	}
	only := Request{Service: "s", Exclude: map[string]bool{"a1": true, "a2": true}}
	if _, err := p.Choose(only, now); !failure.Is(err, failure.NoEndpoint) {
		t.Errorf("a repeat without another endpoint: %v", err)
	}
	p.SetDomainsOut([]string{"a", "b"}, now.Add(-time.Hour))
	if _, err := p.Choose(Request{Service: "s"}, now); !failure.Is(err, failure.NoEndpoint) || !p.IsOutOfUse(Request{Service: "s"}) || p.IsOutOfUse(Request{Service: "other"}) {
		t.Errorf("all domains are out of use: %v", err)
	}
	p.SetDomainsOut([]string{"b"}, now.Add(-time.Hour))
	p.SetDomainsOut(nil, now)
	last := 0.0
	for i := range 5 {
		at := now.Add(returnTime * time.Duration(i) / 4)
		share := shareIn(p, "b", at)
		if expected := float64(i) / 4 / 2; share < expected-0.1 || share > expected+0.1 || share < last {
			t.Errorf("%s after the return %g of the prompts use the domain", at.Sub(now), share)
		}
		last = share
	}
	p.SetDomainsOut([]string{"b"}, now)
	p.SetDomainsOut(nil, now)
	if _, err := p.Choose(only, now); err != nil {
		t.Errorf("a domain that has just returned serves what nobody else accepts: %v", err)
	}
}

// Guards against requests that are sent before it is known which domains are out of use.
func TestDomainsUnknown(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newDomainPool(now)
	p.RequireDomains()
	if _, err := p.Choose(Request{Service: "s"}, now); !failure.Is(err, failure.NotReady) {
		t.Errorf("%v", err)
	}
	p.SetDomainsOut([]string{"a"}, now)
	if c, err := p.Choose(Request{Service: "s"}, now); err != nil || c.Domain != "b" {
		t.Errorf("%+v, %v", c, err)
	}
}

// Guards against a request that leaves the allowed regions of its route or of its workspace.
func TestAllowedRegions(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		route, workspace []string
		want             string // domains
	}{
		{nil, nil, "ab"}, {[]string{"north"}, nil, "a"}, {nil, []string{"south"}, "b"}, {[]string{"north", "south"}, []string{"south"}, "b"},
		{[]string{"north"}, []string{"south"}, ""}, {[]string{"moon"}, nil, ""}, {[]string{""}, nil, ""},
	} {
		p := newDomainPool(now)
		p.SetRegions(map[string]string{"a": "north", "b": "south"})
		got := ""
		for _, domain := range []string{"a", "b"} {
			exclude := map[string]bool{}
			for i := 1; i <= 2; i++ {
				exclude[fmt.Sprint(map[string]string{"a": "b", "b": "a"}[domain], i)] = true
			}
			if _, err := p.Choose(Request{Service: "s", Regions: [][]string{tc.route, tc.workspace}, Exclude: exclude}, now); err == nil {
				got += domain
			}
		}
		if got != tc.want {
			t.Errorf("%v and %v: domains %q, want %q", tc.route, tc.workspace, got, tc.want)
		}
	}
	p := newDomainPool(now)
	if _, err := p.Choose(Request{Service: "s", Regions: [][]string{{"north"}}}, now); !failure.Is(err, failure.NoEndpoint) {
		t.Errorf("domains without a known region: %v", err)
	}
}
