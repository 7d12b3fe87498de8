package placement

import (
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
)

// newColdPool returns a pool with one endpoint whose service has a bound.
func newColdPool() (*Pool, catalog.EndpointList) {
	p, list := newPool("z")
	p.SetColdBounds(map[string]ColdBound{"s": {Start: 3 * time.Second, PerSecond: 2, Overrun: 1.5, Tolerance: 5}})
	return p, list
}

// after returns start plus a number of milliseconds.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func (p *Pool) isCold(now time.Time) bool { return p.ColdEndpoints(now) > 0 }

// Guards against an endpoint that counts as warm while it is cold, for each way to learn of it.
func TestEndpointsAreColdAfterTheyStart(t *testing.T) {
	for desc, c := range map[string]struct {
		begin func(p *Pool, list catalog.EndpointList)
		end   int
	}{
		"listed as cold": {func(p *Pool, list catalog.EndpointList) {
			list.Endpoints[0].Cold = catalog.ColdPeriod{Length: 2 * time.Second, Sequence: 1}
			p.Update(list, start)
			p.Update(list, after(1000)) // the same period
		}, 2000},
		"a second period": {func(p *Pool, list catalog.EndpointList) {
			list.Endpoints[0].Cold = catalog.ColdPeriod{Length: 2 * time.Second, Sequence: 1}
			p.Update(list, start)
			list.Endpoints[0].Cold.Sequence = 2
			p.Update(list, after(1000))
		}, 3000},
		"a new process": {func(p *Pool, list catalog.EndpointList) {
			list.Endpoints[0].Started = 5
			p.Update(list, start)
		}, 3000},
		"a domain back in use": {func(p *Pool, _ catalog.EndpointList) {
			p.SetDomainsOut([]string{"z"}, start)
			p.SetDomainsOut(nil, start)
		}, 3000},
		"a refused connection": {func(p *Pool, _ catalog.EndpointList) {
			c, _ := p.Choose(Request{Service: "s"}, start)
			c.Done(Unreachable, start)
			c.MarkDied(start)
		}, 3000 + int(minBackoffDelay.Milliseconds())},
	} {
		p, list := newColdPool()
		if p.isCold(start) {
			t.Fatal("an endpoint of the first list is cold")
		}
		c.begin(p, list)
		if !p.isCold(after(c.end-1)) || p.isCold(after(c.end)) {
			t.Errorf("%s: not cold for %d ms", desc, c.end)
		}
	}
}

// Guards against an endpoint that stays cold after the list says that it is warm.
func TestListEndsColdPeriod(t *testing.T) {
	p, list := newColdPool()
	list.Endpoints[0].Started, list.Endpoints[0].Cold = 5, catalog.ColdPeriod{Length: 2 * time.Second, Sequence: 1}
	p.Update(list, start)
	list.Endpoints[0].Cold = catalog.ColdPeriod{}
	p.Update(list, after(500))
	if p.isCold(after(501)) {
		t.Error("still cold")
	}
}

// Guards against a bound on services that state none.
func TestNoColdBoundWithoutSettings(t *testing.T) {
	p, list := newPool("z")
	list.Endpoints[0].Cold = catalog.ColdPeriod{Length: 2 * time.Second, Sequence: 1}
	p.Update(list, start)
	for range 100 {
		choose(t, p, Request{Service: "s"}, start)
	}
}

// Guards against a caller that is told to return before a cold endpoint accepts its request, or long after.
func TestAcceptsAtOfColdEndpoint(t *testing.T) {
	p, list := newColdPool()
	list.Endpoints[0].Cold = catalog.ColdPeriod{Length: 2 * time.Second, Sequence: 1}
	p.Update(list, start)
	if _, err := p.Choose(Request{Service: "s"}, start); err == nil {
		t.Fatal("served at once")
	}
	at := p.AcceptsAt("s", start)
	if _, err := p.Choose(Request{Service: "s"}, at.Add(-10*time.Millisecond)); err == nil {
		t.Errorf("served before %s", at.Sub(start))
	}
	choose(t, p, Request{Service: "s"}, at.Add(time.Millisecond))
	p.share = func(catalog.Endpoint, Allowance, time.Time) float64 { return 0 }
	if at := p.AcceptsAt("s", after(1500)); !at.Equal(after(2000)) {
		t.Errorf("an instance without a part: %s, want the end of the period", at.Sub(start))
	}
}
