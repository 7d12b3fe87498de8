package catalog

import (
	"context"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

// Guards against an endpoint that stays in use after it has left because an outage of the source ended shortly before.
func TestEndpointThatLeavesAfterOutageIsDropped(t *testing.T) {
	type change struct {
		after time.Duration // the end of the outage
		ids   []string
	}
	const lapsed, left = 2400 * time.Millisecond, 2400 * time.Millisecond
	for _, tc := range []struct {
		desc    string
		changes []change      // e1 and e2 are listed before the outage
		dropped time.Duration // when e1 is no longer used, after the end of the outage
	}{
		{"missing from the first list", []change{{0, []string{"e2"}}}, lapsed},
		{"missing from the first list, then a change at the end of the window", []change{{0, []string{"e2"}}, {1900 * time.Millisecond, []string{"e2", "e3"}}}, lapsed},
		{"listed, then it leaves", []change{{0, []string{"e1", "e2"}}, {500 * time.Millisecond, []string{"e2"}}}, 1200 * time.Millisecond},
		{"missing, back, then it leaves", []change{{0, []string{"e2"}}, {600 * time.Millisecond, []string{"e1", "e2"}}, {1200 * time.Millisecond, []string{"e2"}}}, 1900 * time.Millisecond},
		{"listed, then it leaves at the end of the window", []change{{0, []string{"e1", "e2"}}, {1900 * time.Millisecond, []string{"e2"}}}, left},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			s := &fakeSource{doc: &Document{Version: 5}, list: endpointList(10, "e1", "e2")}
			testReplica(t, s, &fakePeer{}, func(r *Replica) {
				time.Sleep(3 * time.Second)
				s.set(func(s *fakeSource) { s.unavailable = true })
				time.Sleep(5 * time.Second)
				end := time.Now()
				for i, c := range tc.changes {
					time.Sleep(time.Until(end.Add(c.after)))
					s.set(func(s *fakeSource) { s.list, s.unavailable = endpointList(20+uint64(i), c.ids...), false })
				}
				time.Sleep(time.Until(end.Add(tc.dropped)))
				if got := sortedIDs(r.Endpoints()); slices.Contains(got, "e1") {
					t.Errorf("endpoints %s after the outage: %v", tc.dropped, got)
				}
			})
		})
	}
}

// Guards against an endpoint that stays in use after it has left because this process was slow.
func TestEndpointThatLeavesDuringSlowReadIsDropped(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := NewReplica(ReplicaOptions{Log: log})
	start := time.Now()
	r.applyList(endpointList(10, "e1", "e2"), start, fromSource)
	r.applyList(endpointList(20, "e2"), start.Add(2*r.opts.Timing.maxListGap()), fromSource)
	if got := sortedIDs(r.Endpoints()); slices.Contains(got, "e1") {
		t.Errorf("endpoints: %v", got)
	}
}

// Guards against an instance that hears too late of leaving endpoints while the source turns it away, and serves others.
func TestLeavingEndpointIsNoticedWhileSourceTurnsInstanceAway(t *testing.T) {
	for _, mode := range []string{"refusing", "silent"} {
		for offset := range 10 { // of the outage, within a probe interval
			t.Run(fmt.Sprintf("%s/%d", mode, offset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					log := logrus.New()
					log.SetOutput(io.Discard)
					links := switchedLinks{}
					sources := map[string]*fakeSource{}
					replicas := map[string]*Replica{}
					names := []string{"a", "b", "c", "d", "e", "f"}
					ctx, cancel := context.WithCancel(t.Context())
					ended := make(chan struct{}, len(names))
					for _, name := range names {
						links[name] = &cuttableLink{}
						sources[name] = &fakeSource{doc: &Document{Version: 5}, list: endpointList(10, "e1", "e2")}
						members := slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
						r := NewReplica(ReplicaOptions{Source: sources[name], Peers: links, Members: func() []string { return members }, Log: log})
						r.RegisterPeer(links[name])
						replicas[name] = r
					}
					for _, r := range replicas {
						go func() { r.Run(ctx); ended <- struct{}{} }()
					}
					time.Sleep(settleDelay + time.Duration(offset)*100*time.Millisecond)
					turnedAway := names[:2]
					for _, name := range turnedAway {
						sources[name].set(func(s *fakeSource) { s.unavailable, s.silent = mode == "refusing", mode == "silent" })
					}
					for i := range uint64(4) {
						list := endpointList(20+i, "e2", fmt.Sprint("new", i))
						for _, s := range sources {
							s.set(func(s *fakeSource) { s.list = list })
						}
						time.Sleep(maxPropagationDelay)
						for _, name := range turnedAway {
							if got := replicas[name].Endpoints(); !sameEndpoints(got, list) {
								t.Errorf("%s after change %d, instance %s has %v", maxPropagationDelay, i, name, sortedIDs(got))
							}
						}
					}
					cancel()
					for range names {
						<-ended
					}
				})
			})
		}
	}
}

// Guards against endpoints that are used again, or no more, because the source returned from an older copy.
func TestRestoredSourceListsDepartedEndpoints(t *testing.T) {
	restored := func(raw uint64, ids ...string) EndpointList { return endpointList(kvstore.InEra(2, raw), ids...) }
	s := &fakeSource{doc: &Document{Version: 5}, list: endpointList(kvstore.InEra(1, 10), "stays", "departs")}
	testReplica(t, s, &fakePeer{}, func(r *Replica) {
		check := func(when string, want ...string) {
			time.Sleep(time.Second)
			if got := sortedIDs(r.Endpoints()); !slices.Equal(got, want) {
				t.Errorf("%s: %v, want %v", when, got, want)
			}
		}
		check("before", "departs", "stays")
		s.set(func(s *fakeSource) { s.list = endpointList(kvstore.InEra(1, 30), "new", "stays") })
		check("after a change", "new", "stays")
		s.set(func(s *fakeSource) { s.list = restored(10, "departs", "stays") })
		check("after the restore", "new", "stays")
		s.set(func(s *fakeSource) { s.list = restored(12, "departs", "new", "stays") })
		check("after the new endpoint has registered again", "new", "stays")
		time.Sleep(5 * time.Second)
		check("once registrations have expired", "departs", "new", "stays")
	})
}
