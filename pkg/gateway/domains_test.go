package gateway_test

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/pkg/catalog"
	"github.com/clementinerack/clementinerack/standins/machines"
)

// spreadOverDomains puts each runner into a failure domain named like it.
func (g *testGateway) spreadOverDomains() {
	list := catalog.EndpointList{Revision: 2}
	regions := map[string]string{}
	for _, r := range g.runners {
		regions[r.ID] = "region of " + r.ID
		list.Endpoints = append(list.Endpoints, catalog.Endpoint{ID: r.ID, Service: "s", Address: r.Address(), Domain: r.ID})
	}
	g.pool.SetRegions(regions)
	g.pool.Update(list, time.Now())
}

// Guards against a request that goes out late to a domain that went out of use after it was chosen.
func TestDomainLeavesBeforeRequestIsSent(t *testing.T) {
	g := newTestGateway(t, machines.Answer(200, "r0"), machines.Answer(200, "r1"))
	g.spreadOverDomains()
	var dialed atomic.Pointer[string]
	g.dial = func(ctx context.Context, address string) (net.Conn, error) {
		for _, r := range g.runners {
			if id := r.ID; r.Address() == address && dialed.CompareAndSwap(nil, &id) {
				g.pool.SetDomainsOut([]string{id}, time.Now())
			}
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	g.startGateway()
	got := g.send(g.newRequest("/book/1", "body"))
	if got.status != 200 || got.body == *dialed.Load() {
		t.Errorf("%d %q, %s went out of use", got.status, got.body, *dialed.Load())
	}
}

// Guards against requests that wait for, or are tried at, endpoints that they must not use.
func TestRefusedWithoutUsableDomain(t *testing.T) {
	g := newTestGateway(t, machines.Answer(200, "r0"), machines.Answer(200, "r1"))
	g.spreadOverDomains()
	for i := range g.doc.Routes {
		if r := &g.doc.Routes[i]; r.Name == "book" || r.Name == "open" {
			r.Regions = []string{"region of r0"}
		}
	}
	g.doc.Workspaces = append(g.doc.Workspaces, catalog.Workspace{Name: "elsewhere", Keys: []string{"k2"}, Regions: []string{"region of r1"}})
	g.startGateway()
	for _, tc := range []struct {
		path, key string
		out       []string
		want      string // ID of the runner, or "" if the request is refused
		retries   bool   // a refusal has a Retry-After
	}{
		{"/book/1", key, nil, "r0", false}, {"/book/1", key, []string{"r1"}, "r0", false}, {"/book/1", key, []string{"r0"}, "", true},
		{"/look/1", "k2", []string{"r0"}, "r1", false}, {"/look/1", "k2", []string{"r1"}, "", true}, {"/open/1", "", nil, "r0", false},
		{"/book/1", "k2", nil, "", false}, {"/look/1", key, []string{"r0", "r1"}, "", true},
	} {
		g.pool.SetDomainsOut(tc.out, time.Now())
		got := g.send(g.newRequest(tc.path, "", "Authorization: "+machines.KeyScheme+tc.key))
		delay, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if tc.want != "" && (got.status != 200 || got.body != tc.want) || tc.want == "" && (got.status != 503 || (delay >= 0.5) != tc.retries) {
			t.Errorf("%+v: %d %q, Retry-After %g", tc, got.status, got.body, delay)
		}
	}
}
