package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/failure"
)

var start = time.Unix(1000, 0)

// newPool returns a pool with endpoints e0, e1, ... in the given domains.
func newPool(domains ...string) (*Pool, catalog.EndpointList) {
	list := catalog.EndpointList{Revision: 1}
	for i, d := range domains {
		list.Endpoints = append(list.Endpoints, catalog.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "s", Address: fmt.Sprintf("a%d", i), Domain: d})
	}
	p := New("z", 1, nil)
	p.Update(list, start)
	return p, list
}

func choose(t *testing.T, p *Pool, r Request, now time.Time) *Choice {
	t.Helper()
	c, err := p.Choose(r, now)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// promptRequest returns a request whose prompt has a long shared part, the same for
// equal ids, and a short unshared part.
func promptRequest(id uint64) Request {
	return Request{Service: "s", Parts: []Part{{id, 13_000}, {id << 32, 3000}}}
}

// serveWithoutLag ends a request whose first byte arrives after exactly the
// expected prefill time.
func serveWithoutLag(c *Choice, now time.Time) {
	c.RecordFirstByte(now.Add(time.Duration(c.expectedPrefillMs * float64(time.Millisecond))))
	c.Done(Served, now)
}

// Guards against prompts that are prefilled at several endpoints although the
// first-ranked one has capacity, and against instances that rank endpoints
// differently.
func TestPromptStaysAtItsEndpoint(t *testing.T) {
	p, _ := newPool("z", "z", "y", "y", "x", "x")
	q, _ := newPool("z", "z", "y", "y", "x", "x")
	q.localDomain = "x"
	used := map[string]bool{}
	for id := uint64(1); id <= 12; id++ {
		now := start.Add(time.Duration(id) * time.Minute)
		first := choose(t, p, promptRequest(id), now)
		serveWithoutLag(first, now)
		other := choose(t, q, promptRequest(id), now)
		if other.ID != first.ID {
			t.Errorf("prompt %d is placed on %s by one instance and on %s by another", id, first.ID, other.ID)
		}
		serveWithoutLag(other, now)
		for i := range 5 {
			now = now.Add(time.Second)
			c := choose(t, p, promptRequest(id), now)
			if c.ID != first.ID || c.Rank != 1 {
				t.Errorf("prompt %d, repetition %d: placed on %s with rank %d, first placed on %s", id, i, c.ID, c.Rank, first.ID)
			}
			serveWithoutLag(c, now)
		}
		used[first.ID] = true
	}
	if len(used) < 4 {
		t.Errorf("12 prompts were placed on %d of 6 endpoints", len(used))
	}
}

// Guards against a frequent prompt that overloads one endpoint while others are
// idle.
func TestHotPromptSpills(t *testing.T) {
	p, _ := newPool("z", "z", "z", "z")
	used := map[string]int{}
	for range 40 {
		used[choose(t, p, promptRequest(7), start).ID]++ // none gets a first byte
	}
	if len(used) < 3 {
		t.Errorf("40 waiting requests were placed on %v", used)
	}
}

// Guards against choosing endpoints that are draining, excluded or no longer
// listed.
func TestUnusable(t *testing.T) {
	p, list := newPool("z", "z", "z")
	list.Endpoints[0].Draining = true
	list.Endpoints = list.Endpoints[:2]
	list.Revision++
	p.Update(list, start)
	for range 20 {
		if c := choose(t, p, promptRequest(3), start); c.ID != "e1" {
			t.Fatalf("unusable endpoint %s was chosen", c.ID)
		}
	}
	_, err := p.Choose(Request{Service: "s", Exclude: map[string]bool{"e1": true}}, start)
	if !failure.Is(err, failure.NoEndpoint) {
		t.Errorf("all endpoints are unusable: error %v", err)
	}
	if _, err := p.Choose(Request{Service: "other"}, start); !failure.Is(err, failure.NoEndpoint) {
		t.Errorf("unknown service: error %v", err)
	}
}

// Guards against requests that each wait for an unreachable endpoint, against a
// partitioned failure domain whose endpoints are tried one by one, and against a
// domain that is never tried again.
func TestUnreachableEndpoints(t *testing.T) {
	p, _ := newPool("z", "y", "y", "y", "y")
	tried := map[string]bool{}
	for range 50 {
		c := choose(t, p, promptRequest(uint64(len(tried)+100)), start)
		if c.Domain == "y" {
			tried[c.ID] = true
			c.Done(Unreachable, start)
			continue
		}
		serveWithoutLag(c, start)
	}
	if len(tried) > minUnreachableEndpoints {
		t.Errorf("%d endpoints of an unreachable domain were tried", len(tried))
	}
	retried := false
	for id := range uint64(50) {
		c := choose(t, p, promptRequest(id), start.Add(maxBackoffDelay+domainBackoffDelay))
		retried = retried || c.Domain == "y"
		serveWithoutLag(c, start.Add(maxBackoffDelay+domainBackoffDelay))
	}
	if !retried {
		t.Error("the domain is not tried again after the backoff")
	}
	only, _ := newPool("z")
	choose(t, only, Request{Service: "s"}, start).Done(Unreachable, start)
	if c := choose(t, only, Request{Service: "s"}, start); c.ID != "e0" {
		t.Error("the only endpoint is not chosen because it was unreachable")
	}
}

// Guards against endpoints that are slow, failing or full and get as much work as
// others, and against excluding them completely.
func TestDegradedEndpoints(t *testing.T) {
	for _, tc := range []struct {
		desc string
		end  func(c *Choice, now time.Time)
	}{
		{"slow", func(c *Choice, now time.Time) {
			c.RecordFirstByte(now.Add(500 * time.Millisecond))
			c.Done(Served, now)
		}},
		{"failing", func(c *Choice, now time.Time) { c.Done(Failed, now) }},
		{"full", func(c *Choice, now time.Time) { c.Done(Full, now) }},
	} {
		p, _ := newPool("z", "z", "z")
		degraded := 0
		for i := range 60 {
			now := start.Add(time.Duration(i) * 50 * time.Millisecond)
			c := choose(t, p, Request{Service: "s"}, now)
			if c.ID == "e1" {
				degraded++
				tc.end(c, now)
				continue
			}
			c.RecordFirstByte(now.Add(20 * time.Millisecond))
			c.Done(Served, now)
		}
		if degraded > 6 {
			t.Errorf("%s endpoint got %d of 60 requests", tc.desc, degraded)
		}
		if degraded == 0 {
			t.Errorf("%s endpoint was never tried", tc.desc)
		}
	}
}

// Guards against requests that stay counted after their end, and against a
// restarted endpoint that keeps the failures of its previous process.
func TestCountersAndRestart(t *testing.T) {
	p, list := newPool("z")
	c := choose(t, p, promptRequest(1), start)
	c.RecordFirstByte(start)
	c.RecordFirstByte(start)
	c.Done(Served, start)
	if e := p.endpoints["e0"]; e.inFlight != 0 || e.pendingTokens != 0 {
		t.Errorf("in flight %d, pending %d", e.inFlight, e.pendingTokens)
	}
	choose(t, p, promptRequest(1), start).Done(Failed, start)
	list.Endpoints[0].Started = 5
	p.Update(list, start)
	if e := p.endpoints["e0"]; e.failureRate.valueAt(start) != 0 {
		t.Error("the new process starts with the failures of the previous one")
	}
}

// Guards against an endpoint that is used again after it has said that it leaves.
func TestLeaveIsNotTakenBack(t *testing.T) {
	listed := func(draining bool, started int64) catalog.Endpoint {
		return catalog.Endpoint{ID: "e", Service: "s", Address: "a", Domain: "z", Draining: draining, Started: started}
	}
	for _, tc := range []struct {
		desc    string
		entries [][]catalog.Endpoint // of the lists after the leave, 5 s apart
		used    bool
	}{
		{"ready again", [][]catalog.Endpoint{{listed(false, 5)}}, false},
		{"gone and ready again", [][]catalog.Endpoint{{}, {listed(false, 5)}}, false},
		{"a new process", [][]catalog.Endpoint{{listed(false, 6)}}, true},
		{"a new process after the old one was gone", [][]catalog.Endpoint{{}, {listed(false, 6)}}, true},
		{"ready again, start unknown", [][]catalog.Endpoint{{listed(true, 0)}, {listed(false, 0)}}, false},
		{"gone and ready again, start unknown", [][]catalog.Endpoint{{listed(true, 0)}, {}, {listed(false, 0)}}, false},
		{"gone for 15 s and ready again, start unknown", [][]catalog.Endpoint{{listed(true, 0)}, {}, {}, {}, {listed(false, 0)}}, false},
		{"gone twice, start unknown", [][]catalog.Endpoint{{listed(true, 0)}, {}, {listed(false, 0)}, {}, {listed(false, 0)}}, false},
		{"a new process long after the old one, start unknown", [][]catalog.Endpoint{{listed(true, 0)}, {}, {}, {}, {}, {}, {}, {}, {}, {listed(false, 0)}}, true},
		{"ready again long after the list changed last, start unknown", [][]catalog.Endpoint{{listed(true, 0)}, {listed(true, 0)}, nil, nil, nil, nil, nil, nil, nil, {listed(false, 0)}}, false},
	} {
		p := New("z", 1, nil)
		now := start
		for _, entries := range append([][]catalog.Endpoint{{listed(false, 5)}, {listed(true, 5)}}, tc.entries...) {
			now = now.Add(5 * time.Second)
			if entries != nil {
				p.Update(catalog.EndpointList{Endpoints: entries}, now)
			}
		}
		if _, err := p.Choose(Request{Service: "s"}, now); (err == nil) != tc.used {
			t.Errorf("%s: %v", tc.desc, err)
		}
	}
}
