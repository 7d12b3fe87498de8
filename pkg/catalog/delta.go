package catalog

import (
	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/peer"
)

// DocumentDelta holds the differences between two versions of the declarations, from Base
// to Version.
type DocumentDelta struct {
	Base       uint64               `cbor:"1,keyasint"`
	Version    uint64               `cbor:"2,keyasint"`
	Routes     listDelta[Route]     `cbor:"3,keyasint"`
	Services   listDelta[Service]   `cbor:"4,keyasint"`
	Workspaces listDelta[Workspace] `cbor:"5,keyasint"`
	Limits     Limits               `cbor:"6,keyasint"`
}

// listDelta describes a list as a sequence of segments.
type listDelta[T any] []segment[T]

// segment stands for Count elements of the base list from index From, followed by Added.
type segment[T any] struct {
	From  int `cbor:"1,keyasint,omitempty"`
	Count int `cbor:"2,keyasint,omitempty"`
	Added []T `cbor:"3,keyasint,omitempty"`
}

// diffDocuments returns the delta from base to target.
func diffDocuments(base, target *Document) (*DocumentDelta, error) {
	d := &DocumentDelta{Base: base.Version, Version: target.Version, Limits: target.Limits}
	var err error
	if d.Routes, err = diffLists(base.Routes, target.Routes); err != nil {
		return nil, err
	}
	if d.Services, err = diffLists(base.Services, target.Services); err != nil {
		return nil, err
	}
	if d.Workspaces, err = diffLists(base.Workspaces, target.Workspaces); err != nil {
		return nil, err
	}
	return d, nil
}

// apply returns the document that d makes of base. It fails with failure.Conflict if base
// is another version than d.Base, and with failure.Format if d does not fit it.
func (d *DocumentDelta) apply(base *Document) (*Document, error) {
	if base.Version != d.Base {
		return nil, failure.New(failure.Conflict, "read the whole document", "a delta from version %d does not apply to version %d", d.Base, base.Version)
	}
	target := &Document{Version: d.Version, Limits: d.Limits}
	var routesFit, servicesFit, workspacesFit bool
	target.Routes, routesFit = d.Routes.apply(base.Routes)
	target.Services, servicesFit = d.Services.apply(base.Services)
	target.Workspaces, workspacesFit = d.Workspaces.apply(base.Workspaces)
	if !routesFit || !servicesFit || !workspacesFit {
		return nil, failure.New(failure.Format, "read the whole document", "the delta from version %d to %d refers to elements that do not exist, or repeats too many", d.Base, d.Version)
	}
	return target, nil
}

// diffLists returns the segments that make target of base. Elements are equal if their
// encodings are.
func diffLists[T any](base, target []T) (listDelta[T], error) {
	index := make(map[string]int, len(base)) // of the elements of base, by encoding
	for i, element := range base {
		encoded, err := peer.Marshal(element)
		if err != nil {
			return nil, err
		}
		index[string(encoded)] = i
	}
	var delta listDelta[T]
	for _, element := range target {
		encoded, err := peer.Marshal(element)
		if err != nil {
			return nil, err
		}
		i, found := index[string(encoded)]
		last := len(delta) - 1
		switch {
		case found && last >= 0 && len(delta[last].Added) == 0 && delta[last].From+delta[last].Count == i:
			delta[last].Count++
		case found:
			delta = append(delta, segment[T]{From: i, Count: 1})
		case last >= 0:
			delta[last].Added = append(delta[last].Added, element)
		default:
			delta = append(delta, segment[T]{Added: []T{element}})
		}
	}
	return delta, nil
}

// maxRepeatedElements is the number of elements that a delta may take from its base beyond
// twice the length of the base, so that a small delta does not take much memory.
const maxRepeatedElements = 1024

// apply returns the list that d makes of base. It reports false if d refers to elements
// outside base or takes too many.
func (d listDelta[T]) apply(base []T) ([]T, bool) {
	var target []T
	left := 2*len(base) + maxRepeatedElements
	for _, s := range d {
		if s.From < 0 || s.Count < 0 || s.From > len(base) || s.Count > min(len(base)-s.From, left) {
			return nil, false
		}
		left -= s.Count
		target = append(target, base[s.From:s.From+s.Count]...)
		target = append(target, s.Added...)
	}
	return target, true
}

// EndpointChanges leads from one endpoint list to a later one.
type EndpointChanges struct {
	// Revision is that of the later list.
	Revision uint64     `cbor:"1,keyasint"`
	Written  []Endpoint `cbor:"2,keyasint,omitempty"` // new and changed endpoints
	Removed  []string   `cbor:"3,keyasint,omitempty"` // IDs
}

// diffEndpoints returns the changes from base to target.
func diffEndpoints(base, target EndpointList) *EndpointChanges {
	c := &EndpointChanges{Revision: target.Revision}
	removed := make(map[string]Endpoint, len(base.Endpoints))
	for _, e := range base.Endpoints {
		removed[e.ID] = e
	}
	for _, e := range target.Endpoints {
		if old, known := removed[e.ID]; !known || old != e {
			c.Written = append(c.Written, e)
		}
		delete(removed, e.ID)
	}
	for id := range removed {
		c.Removed = append(c.Removed, id)
	}
	return c
}

// apply returns the list that c makes of base.
func (c *EndpointChanges) apply(base EndpointList) EndpointList {
	replaced := make(map[string]bool, len(c.Written)+len(c.Removed))
	for _, e := range c.Written {
		replaced[e.ID] = true
	}
	for _, id := range c.Removed {
		replaced[id] = true
	}
	list := EndpointList{Revision: c.Revision}
	for _, e := range base.Endpoints {
		if !replaced[e.ID] {
			list.Endpoints = append(list.Endpoints, e)
		}
	}
	list.Endpoints = append(list.Endpoints, c.Written...)
	return list
}
