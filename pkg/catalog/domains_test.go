package catalog

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/clementinerack/clementinerack/pkg/kvstore"
)

// outSet returns a set of domains, each with the revision at which it went out of use.
func outSet(revision uint64, since map[string]uint64) DomainSet {
	set := DomainSet{Revision: revision}
	for name, at := range since {
		set.Out = append(set.Out, OutDomain{name, at})
	}
	return set
}

func (s DomainSet) names() string {
	var names []string
	for _, d := range s.Out {
		names = append(names, d.Name)
	}
	slices.Sort(names)
	return strings.Join(names, " ")
}

// Guards against a domain that comes back into use, or goes out of use, by an old set or a restored store.
func TestDomainsInForce(t *testing.T) {
	type step struct {
		after    time.Duration // since the first step
		revision uint64        // 0: no new set
		since    map[string]uint64
		want     string
	}
	first := step{0, 100, map[string]uint64{"a": 90}, "a"}
	era := func(raw uint64) uint64 { return kvstore.InEra(1, raw) }
	for desc, steps := range map[string][]step{
		"an old set arrives late":        {first, {0, 99, nil, "a"}, {0, 120, nil, ""}, {0, 110, map[string]uint64{"a": 90}, ""}},
		"two changes cross":              {first, {0, 110, map[string]uint64{"a": 90, "b": 105}, "a b"}, {0, 120, map[string]uint64{"b": 105}, "b"}},
		"the copy lacks a domain":        {first, {0, era(50), nil, "a"}, {time.Second, era(51), map[string]uint64{"a": era(51)}, "a"}, {6 * time.Second, era(52), map[string]uint64{"a": era(51)}, "a"}},
		"it was put back meanwhile":      {first, {0, era(50), nil, "a"}, {time.Second, era(51), nil, "a"}, {6 * time.Second, 0, nil, ""}},
		"it was written and removed":     {first, {0, era(50), nil, "a"}, {time.Second, era(51), map[string]uint64{"a": era(51)}, "a"}, {2 * time.Second, era(52), nil, ""}},
		"the copy has a domain":          {{0, 100, nil, ""}, {0, era(50), map[string]uint64{"a": era(40)}, ""}, {time.Second, era(51), nil, ""}, {9 * time.Second, 0, nil, ""}},
		"the copy is right":              {{0, 100, nil, ""}, {0, era(50), map[string]uint64{"a": era(40)}, ""}, {3 * time.Second, 0, nil, "a"}},
		"it is taken out in the new era": {{0, 100, nil, ""}, {0, era(50), map[string]uint64{"a": era(40)}, ""}, {time.Second, era(51), map[string]uint64{"a": era(51)}, "a"}},
		"two returns in a row":           {first, {0, era(50), nil, "a"}, {time.Second, kvstore.InEra(2, 40), nil, "a"}, {7 * time.Second, 0, nil, ""}},
	} {
		var s domainState
		start := time.Unix(1000, 0)
		for i, step := range steps {
			now := start.Add(step.after)
			if step.revision > 0 {
				s.replace(outSet(step.revision, step.since), false, now)
			} else {
				s.decide(now)
			}
			if got := s.inForce.names(); got != step.want {
				t.Errorf("%s, step %d: %q out of use, want %q", desc, i, got, step.want)
			}
		}
	}
}

// Guards against an instance that learns late that a domain is out of use, from a relay or without the store.
func TestDomainsReachAllInstances(t *testing.T) {
	for desc, fault := range map[string]func(link *cuttableLink, relaySource, ownSource *fakeSource){
		"sound":                         func(*cuttableLink, *fakeSource, *fakeSource) {},
		"the relay does not answer":     func(l *cuttableLink, _, _ *fakeSource) { l.cut.Store(true) },
		"the relay has lost the source": func(_ *cuttableLink, s, _ *fakeSource) { s.set(func(s *fakeSource) { s.unavailable = true }) },
		"the follower is cut off":       func(_ *cuttableLink, _, s *fakeSource) { s.set(func(s *fakeSource) { s.unavailable = true }) },
	} {
		synctest.Test(t, func(t *testing.T) {
			relaySource, ownSource := &fakeSource{}, &fakeSource{}
			setBoth := func(set DomainSet) {
				for _, s := range []*fakeSource{relaySource, ownSource} {
					s.set(func(s *fakeSource) { s.doc, s.list, s.domains = &Document{Version: 5}, endpointList(10, "e1"), set })
				}
			}
			setBoth(outSet(10, nil))
			link, r, stop := startRelayedReplica(t, relaySource, ownSource)
			time.Sleep(settleDelay)
			fault(link, relaySource, ownSource)
			for i, set := range []DomainSet{outSet(20, map[string]uint64{"a": 20}), outSet(30, map[string]uint64{"a": 20, "b": 30}), outSet(40, map[string]uint64{"b": 30})} {
				setBoth(set)
				time.Sleep(maxPropagationDelay)
				if got := r.Domains(); got.names() != set.names() {
					t.Errorf("%s: %q out of use after change %d, want %q", desc, got.names(), i, set.names())
				}
			}
			stop()
		})
	}
}

// Guards against declarations with regions that contradict each other without a line in the log.
func TestRegionProblems(t *testing.T) {
	d := &Document{Routes: []Route{{Name: "r1", Regions: []string{"north"}}, {Name: "r2", Regions: []string{"north"}, Public: true}, {Name: "r3", Regions: []string{"moon", "south"}}},
		Workspaces: []Workspace{{Name: "w1", Regions: []string{"south"}}, {Name: "w2"}}}
	problems := RegionProblems(d, []string{"north", "south"})
	if len(problems) != 2 || problems[0].Route != "r1" || problems[0].Workspace != "w1" || problems[1].Route != "r3" || !strings.Contains(problems[1].Message, "moon") {
		t.Errorf("%+v", problems)
	}
}
