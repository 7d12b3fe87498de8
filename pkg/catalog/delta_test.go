package catalog

import (
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/tokens"
)

// drawDocument draws a small document. Names repeat often, so that two documents share
// elements.
func drawDocument(t *rapid.T, version uint64) *Document {
	name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	d := &Document{Version: version, Limits: Limits{HeaderBytes: rapid.Int64Range(0, 2).Draw(t, "limit")}}
	for range rapid.IntRange(0, 6).Draw(t, "routes") {
		d.Routes = append(d.Routes, Route{Name: name.Draw(t, "route"), Targets: []Target{{Service: name.Draw(t, "target")}}})
	}
	for range rapid.IntRange(0, 2).Draw(t, "services") {
		d.Services = append(d.Services, Service{Name: name.Draw(t, "service"), Engine: &Engine{Slots: 1}})
	}
	for range rapid.IntRange(0, 4).Draw(t, "workspaces") {
		prepaid := tokens.Count(rapid.Int64Range(0, 2).Draw(t, "prepaid"))
		d.Workspaces = append(d.Workspaces, Workspace{Name: name.Draw(t, "workspace"), Prepaid: &prepaid})
	}
	return d
}

// Guards against a delta, sent to another instance, that makes a document other than the
// one of the sender.
func TestDelta(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, target := drawDocument(t, 5), drawDocument(t, 7)
		delta, err := diffDocuments(base, target)
		if err != nil {
			t.Fatal(err)
		}
		encoded, err := peer.Marshal(delta)
		if err != nil {
			t.Fatal(err)
		}
		var received DocumentDelta
		if err := peer.Unmarshal(encoded, &received); err != nil {
			t.Fatal(err)
		}
		got, err := received.apply(base)
		if err != nil || !reflect.DeepEqual(got, target) {
			t.Fatalf("%+v, %v, want %+v", got, err, target)
		}
	})
}

// Guards against a delta that is applied to a document for which it was not made.
func TestDeltaOfAnotherBase(t *testing.T) {
	delta := DocumentDelta{Base: 5, Version: 6, Routes: listDelta[Route]{{From: 1, Count: 2}}}
	if _, err := delta.apply(&Document{Version: 4}); !failure.Is(err, failure.Conflict) {
		t.Errorf("other version: %v", err)
	}
	for _, s := range []segment[Route]{{From: 1, Count: 2}, {From: -1, Count: 1}, {Count: -1}, {From: 3}, {From: 1, Count: 1 << 62}} {
		delta.Routes = listDelta[Route]{s}
		if _, err := delta.apply(&Document{Version: 5, Routes: make([]Route, 2)}); !failure.Is(err, failure.Format) {
			t.Errorf("segment %+v: %v", s, err)
		}
	}
}

// Guards against a small delta that repeats its base until the memory is used up.
func TestDeltaTakesBoundedMemory(t *testing.T) {
	delta := DocumentDelta{Base: 5, Version: 6, Routes: slices.Repeat(listDelta[Route]{{Count: 1000}}, 1000)}
	if d, err := delta.apply(&Document{Version: 5, Routes: make([]Route, 1000)}); !failure.Is(err, failure.Format) {
		t.Errorf("%d routes, %v", len(d.Routes), err)
	}
}

// Guards against changes of the endpoints, applied at another instance, that make a list
// other than the one of the sender.
func TestEndpointChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(revision uint64) EndpointList {
			l := EndpointList{Revision: revision}
			for _, id := range []string{"a", "b", "c", "d"} {
				if rapid.Bool().Draw(t, "listed") {
					l.Endpoints = append(l.Endpoints, Endpoint{ID: id, Draining: rapid.Bool().Draw(t, "draining")})
				}
			}
			return l
		}
		base, target := draw(5), draw(7)
		got := diffEndpoints(base, target).apply(base)
		if got.Revision != target.Revision || !sameEndpoints(got, target) {
			t.Fatalf("%+v, want %+v", got, target)
		}
	})
}
