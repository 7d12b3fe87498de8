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
	p := New("z", 1)
	p.Update(list)
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

// session is a request with a long shared prompt.
func session(id uint64) Request {
	return Request{Service: "s", Parts: []Part{{id, 13_000}, {id << 32, 3000}}}
}

// serve plays a request that is answered after the expected time.
func serve(c *Choice, now time.Time) {
	c.RecordFirstByte(now.Add(time.Duration(c.expected * float64(time.Millisecond))))
	c.Done(Served, now)
}

// Guards against prompts that are read at several endpoints although the first
// one has room, and against instances that rank endpoints differently.
func TestPromptStaysAtItsEndpoint(t *testing.T) {
	p, _ := newPool("z", "z", "y", "y", "x", "x")
	q, _ := newPool("z", "z", "y", "y", "x", "x")
	q.self = "x"
	used := map[string]bool{}
	for id := uint64(1); id <= 12; id++ {
		now := start.Add(time.Duration(id) * time.Minute)
		first := choose(t, p, session(id), now)
		serve(first, now)
		other := choose(t, q, session(id), now)
		if other.ID != first.ID {
			t.Errorf("prompt %d goes to %s and %s", id, first.ID, other.ID)
		}
		serve(other, now)
		for i := range 5 {
			now = now.Add(time.Second)
			c := choose(t, p, session(id), now)
			if c.ID != first.ID || c.Rank != 1 {
				t.Errorf("prompt %d, repetition %d: %s, rank %d, after %s", id, i, c.ID, c.Rank, first.ID)
			}
			serve(c, now)
		}
		used[first.ID] = true
	}
	if len(used) < 4 {
		t.Errorf("12 prompts use %d of 6 endpoints", len(used))
	}
}

// Guards against a prompt in heavy use that overloads one endpoint while others
// are free.
func TestHotPromptSpills(t *testing.T) {
	p, _ := newPool("z", "z", "z", "z")
	used := map[string]int{}
	for range 40 {
		used[choose(t, p, session(7), start).ID]++ // none has begun
	}
	if len(used) < 3 {
		t.Errorf("40 waiting requests use %v", used)
	}
}

// Guards against work for endpoints that leave, are excluded or are gone.
func TestUnusable(t *testing.T) {
	p, list := newPool("z", "z", "z")
	list.Endpoints[0].Draining = true
	list.Endpoints = list.Endpoints[:2]
	list.Revision++
	p.Update(list)
	for range 20 {
		if c := choose(t, p, session(3), start); c.ID != "e1" {
			t.Fatalf("%s was chosen", c.ID)
		}
	}
	_, err := p.Choose(Request{Service: "s", Exclude: map[string]bool{"e1": true}}, start)
	if !failure.Is(err, failure.NoEndpoint) {
		t.Errorf("all are unusable: %v", err)
	}
	if _, err := p.Choose(Request{Service: "other"}, start); !failure.Is(err, failure.NoEndpoint) {
		t.Errorf("unknown service: %v", err)
	}
}

// Guards against requests that each wait for an endpoint out of reach, against a
// failure domain that is tried endpoint by endpoint, and against one that is
// never tried again.
func TestUnreached(t *testing.T) {
	p, _ := newPool("z", "y", "y", "y", "y")
	tried := map[string]bool{}
	for range 50 {
		c := choose(t, p, session(uint64(len(tried)+100)), start)
		if c.Domain == "y" {
			tried[c.ID] = true
			c.Done(Unreachable, start)
			continue
		}
		serve(c, start)
	}
	if len(tried) > domainEndpoints {
		t.Errorf("%d endpoints of a domain out of reach were tried", len(tried))
	}
	back := false
	for id := range uint64(50) {
		c := choose(t, p, session(id), start.Add(downMost+domainDown))
		back = back || c.Domain == "y"
		serve(c, start.Add(downMost+domainDown))
	}
	if !back {
		t.Error("the domain is not tried again")
	}
	only, _ := newPool("z")
	choose(t, only, Request{Service: "s"}, start).Done(Unreachable, start)
	if c := choose(t, only, Request{Service: "s"}, start); c.ID != "e0" {
		t.Error("the only endpoint is refused because it was out of reach")
	}
}

// Guards against endpoints that are slow or fail and get as much work as others.
func TestWeakEndpoints(t *testing.T) {
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
		weak := 0
		for i := range 60 {
			now := start.Add(time.Duration(i) * 50 * time.Millisecond)
			c := choose(t, p, Request{Service: "s"}, now)
			if c.ID == "e1" {
				weak++
				tc.end(c, now)
				continue
			}
			c.RecordFirstByte(now.Add(20 * time.Millisecond))
			c.Done(Served, now)
		}
		if weak > 6 {
			t.Errorf("%s endpoint got %d of 60 requests", tc.desc, weak)
		}
		if weak == 0 {
			t.Errorf("%s endpoint was never tried", tc.desc)
		}
	}
}

// Guards against a count of requests that outlives them, and against an endpoint
// that starts again and keeps the history of the process before.
func TestCounts(t *testing.T) {
	p, list := newPool("z")
	c := choose(t, p, session(1), start)
	c.RecordFirstByte(start)
	c.RecordFirstByte(start)
	c.Done(Served, start)
	if e := p.endpoints["e0"]; e.inFlight != 0 || e.pending != 0 {
		t.Errorf("in flight %d, pending %d", e.inFlight, e.pending)
	}
	choose(t, p, session(1), start).Done(Failed, start)
	list.Endpoints[0].Started = 5
	p.Update(list)
	if e := p.endpoints["e0"]; e.failures.now(start) != 0 {
		t.Error("the new process counts as failing")
	}
}
