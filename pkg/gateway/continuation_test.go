package gateway_test

import (
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/pkg/lineage"
	"github.com/clementinerack/clementinerack/pkg/placement"
	"github.com/clementinerack/clementinerack/standins/machines"
)

// listVersions lists the runners with one software version each; the first is preferred.
func (g *testGateway) listVersions(versions ...string) {
	list := catalog.EndpointList{Revision: 2}
	for i, version := range versions {
		domain := "z"
		if i > 0 {
			domain = "other"
		}
		list.Endpoints = append(list.Endpoints, catalog.Endpoint{ID: g.runners[i].ID, Service: "s", Address: g.runners[i].Address(), Domain: domain, SoftwareVersion: version})
	}
	g.pool = placement.New("z", 1, nil) // without versions that were listed before
	g.pool.Update(list, time.Now())
	g.startGateway()
}

// Guards against a broken stream that goes on at another software version, and one that does not go on at its own.
func TestBrokenStreamGoesOnOnlyAtItsSoftwareVersion(t *testing.T) {
	for _, tc := range []struct {
		desc     string
		versions []string // of the endpoint that breaks off and of two sound ones
		arrivals []int
		whole    bool
	}{
		{"another one of its version", []string{"v1", "v2", "v1"}, []int{1, 0, 1}, true},
		{"none of its version", []string{"v1", "v2", "v2"}, []int{1, 0, 0}, false},
		{"none with a version", []string{"v1", "", ""}, []int{1, 0, 0}, false},
		{"no versions at all", []string{"", "", ""}, []int{1, 1, 0}, true},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := newTestGateway(t, machines.Stream(1, 2, false), machines.Stream(3, 4, true), machines.Stream(3, 4, true))
			g.listVersions(tc.versions...)
			got := g.send(g.newRequest("/chat/1", "body", tokensHeader()))
			if whole := got.err == nil && got.body == eventRange(1, 4); whole != tc.whole || got.status != 200 {
				t.Errorf("status %d, body %q, %v", got.status, got.body, got.err)
			}
			if !tc.whole && got.err == nil {
				t.Errorf("the stream ended like a complete one: %q", got.body)
			}
			total := len(g.runners[1].Requests()) + len(g.runners[2].Requests())
			if first := len(g.runners[0].Requests()); first != tc.arrivals[0] || total != tc.arrivals[1]+tc.arrivals[2] || tc.versions[1] != tc.versions[2] && len(g.runners[1].Requests()) != tc.arrivals[1] {
				t.Errorf("%d, %d and %d arrivals", first, len(g.runners[1].Requests()), len(g.runners[2].Requests()))
			}
			if origin := g.lineage.origins["id1"]; origin != (lineage.Origin{Service: "s", Version: tc.versions[0]}) {
				t.Errorf("recorded %+v", origin)
			}
		})
	}
}

// Guards against a stream that its caller takes up and that goes on at another software version, or although its own is not known.
func TestTakenUpStreamGoesOnOnlyAtItsSoftwareVersion(t *testing.T) {
	for _, tc := range []struct {
		desc, version string // that began the stream
		status        int
		arrivals      [2]int // at the endpoints of v1 and v2
	}{
		{"began at the first", "v1", 200, [2]int{1, 0}},
		{"began at the second", "v2", 200, [2]int{0, 1}},
		{"began at one that has left", "v0", 503, [2]int{0, 0}},
		{"not known", "", 503, [2]int{0, 0}},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			g := newTestGateway(t, machines.Stream(3, 4, true), machines.Stream(3, 4, true))
			g.listVersions("v1", "v2")
			g.lineage.strict = true
			if tc.version != "" {
				g.lineage.origins["first"] = lineage.Origin{Service: "s", Version: tc.version}
			}
			got := g.send(g.newRequest("/chat/1", "body", tokensHeader(), machines.HeaderRequestID+": third", machines.HeaderLastEventID+": 2", machines.HeaderResumes+": first"))
			if got.status != tc.status || tc.status == 200 && got.body != eventRange(3, 4) {
				t.Errorf("status %d, body %q, %v", got.status, got.body, got.err)
			}
			if arrivals := [2]int{len(g.runners[0].Requests()), len(g.runners[1].Requests())}; arrivals != tc.arrivals {
				t.Errorf("%v arrivals", arrivals)
			}
			if free, reserved := g.rights.balance(); tc.status != 200 && (free != initialRights || reserved != 0) {
				t.Errorf("%d free, %d reserved after a refusal", free, reserved)
			}
			if _, recorded := g.lineage.origins["third"]; recorded {
				t.Error("the attempt that goes on was recorded as the beginning of a stream")
			}
		})
	}
}
