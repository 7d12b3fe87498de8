package placement

import (
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/failure"
)

// newVersionedPool returns a pool whose endpoints e0, e1, ... have the given software versions.
func newVersionedPool(versions ...string) (*Pool, catalog.EndpointList) {
	_, list := newPool(make([]string, len(versions))...)
	for i := range versions {
		list.Endpoints[i].SoftwareVersion = versions[i]
	}
	p := New("z", 1, nil)
	p.Update(list, start)
	return p, list
}

// Guards against a request that gets an endpoint of another software version than it needs.
func TestChoiceHasTheRequiredVersion(t *testing.T) {
	p, _ := newVersionedPool("v1", "v2", "v1")
	for _, version := range []string{"v1", "v2"} {
		for range 20 {
			if c := choose(t, p, Request{Service: "s", Version: &version}, start); c.SoftwareVersion != version {
				t.Fatalf("%s has version %q instead of %q", c.ID, c.SoftwareVersion, version)
			}
		}
	}
	missing := "v3"
	if _, err := p.Choose(Request{Service: "s", Version: &missing}, start); !failure.Is(err, failure.NoEndpoint) {
		t.Errorf("a version without endpoints: %v", err)
	}
}

// Guards against streams that begin at a version which other instances do not know yet, and against refusing them if no other serves.
func TestNewVersionBeginsNoStreamsWhileOthersServe(t *testing.T) {
	p, list := newVersionedPool("v1")
	list.Endpoints = append(list.Endpoints, catalog.Endpoint{ID: "new", Service: "s", Address: "n", Domain: "z", SoftwareVersion: "v2"})
	p.Update(list, start)
	all := func(string) bool { return true }
	countNew := func(r Request, at time.Time) (n int) {
		for range 20 {
			c := choose(t, p, r, at)
			if c.ID == "new" {
				n++
			}
			c.Done(Inconclusive, at)
		}
		return n
	}
	if n := countNew(Request{Service: "s", MayBegin: all}, start.Add(newVersionDelay-1)); n != 0 {
		t.Errorf("%d of 20 streams began at a version that has just been listed", n)
	}
	if n := countNew(Request{Service: "s"}, start); n == 0 {
		t.Error("a new version gets no other requests")
	}
	if n := countNew(Request{Service: "s", MayBegin: all}, start.Add(newVersionDelay)); n == 0 {
		t.Errorf("no stream began at the new version after %s", newVersionDelay)
	}
	if n := countNew(Request{Service: "s", MayBegin: func(version string) bool { return version == "v1" }}, start.Add(time.Minute)); n != 0 {
		t.Errorf("%d of 20 streams began at a version that may not begin them", n)
	}
	if n := countNew(Request{Service: "s", MayBegin: all, Exclude: map[string]bool{"e0": true}}, start); n != 20 {
		t.Errorf("%d of 20 streams began although no other endpoint is left", n)
	}
}
