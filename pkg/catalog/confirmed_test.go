package catalog

import (
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
)

// confirmedAge returns the age of the list of r.
func confirmedAge(r *Replica) time.Duration {
	latest, _ := r.Confirmed()
	return time.Since(latest)
}

// Guards against a list that counts as recent although the source or the relay does not answer, or as old although it does.
func TestListIsConfirmedOnlyWhileItsChangesArrive(t *testing.T) {
	for _, tc := range []struct {
		desc  string
		fault func(link *cuttableLink, relaySource, ownSource *fakeSource)
		fresh bool
	}{
		{"no fault", func(*cuttableLink, *fakeSource, *fakeSource) {}, true},
		{"the relay does not answer", func(l *cuttableLink, _, _ *fakeSource) { l.cut.Store(true) }, true},
		{"no source answers", func(_ *cuttableLink, a, b *fakeSource) {
			for _, s := range []*fakeSource{a, b} {
				s.set(func(s *fakeSource) { s.silent = true })
			}
		}, false},
		{"neither the relay nor the source answers", func(l *cuttableLink, a, b *fakeSource) {
			l.cut.Store(true)
			b.set(func(s *fakeSource) { s.unavailable = true })
		}, false},
	} {
		t.Run(tc.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				relaySource, ownSource := &fakeSource{doc: &Document{Version: 5}, list: endpointList(10, "e1")}, &fakeSource{doc: &Document{Version: 5}, list: endpointList(10, "e1")}
				link, r, stop := startRelayedReplica(t, relaySource, ownSource)
				time.Sleep(settleDelay)
				_, since := r.Confirmed()
				for range 100 {
					time.Sleep(30 * time.Millisecond)
					if age := confirmedAge(r); age > MaxConfirmationGap {
						t.Fatalf("confirmed %s ago", age)
					}
				}
				faultAt := time.Now()
				tc.fault(link, relaySource, ownSource)
				time.Sleep(5 * time.Second)
				latest, sinceThen := r.Confirmed()
				if fresh := time.Since(latest) <= MaxConfirmationGap; fresh != tc.fresh || !fresh && latest.After(faultAt) || tc.desc == "no fault" && !sinceThen.Equal(since) {
					t.Errorf("confirmed %s ago, %s after the fault; since %s, before %s", time.Since(latest), latest.Sub(faultAt), sinceThen, since)
				}
				stop()
			})
		})
	}
}

// Guards against lists that count as old because they change often.
func TestChangingListIsConfirmed(t *testing.T) {
	for _, interval := range []time.Duration{90 * time.Millisecond, 350 * time.Millisecond, 1100 * time.Millisecond} {
		t.Run(interval.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				relaySource, ownSource := &fakeSource{doc: &Document{Version: 5}, list: endpointList(10, "e1")}, &fakeSource{doc: &Document{Version: 5}}
				_, r, stop := startRelayedReplica(t, relaySource, ownSource)
				time.Sleep(settleDelay)
				_, since := r.Confirmed()
				for i, changedAt := uint64(0), time.Now(); i < 60; time.Sleep(10 * time.Millisecond) {
					if time.Since(changedAt) >= interval {
						i, changedAt = i+1, time.Now()
						relaySource.set(func(s *fakeSource) { s.list = endpointList(20+i, "e1", fmt.Sprint("e", i)) })
					}
					if latest, sinceThen := r.Confirmed(); time.Since(latest) > MaxConfirmationGap || !sinceThen.Equal(since) {
						t.Fatalf("confirmed %s ago, since %s", time.Since(latest), sinceThen)
					}
				}
				stop()
			})
		})
	}
}

// Guards against a pause of the process that makes an old list look recent.
func TestConfirmationCountsFromTheCall(t *testing.T) {
	s := &fakeSource{doc: &Document{Version: 5}, list: endpointList(10, "e1")}
	testReplica(t, s, &fakePeer{}, func(r *Replica) {
		time.Sleep(3100 * time.Millisecond)
		before, _ := r.Confirmed()
		r.confirm(instant{Time: before.Add(-time.Second)})
		if latest, _ := r.Confirmed(); !latest.Equal(before) {
			t.Errorf("confirmed at %s, before %s", latest, before)
		}
		s.set(func(s *fakeSource) { s.answerDelay = 400 * time.Millisecond })
		confirmations := 0
		for range 300 {
			time.Sleep(10 * time.Millisecond)
			if latest, _ := r.Confirmed(); latest.After(before) {
				confirmations++
				if age := time.Since(latest); age < s.answerDelay {
					t.Fatalf("confirmed %s ago, although answers take %s", age, s.answerDelay)
				}
				before = latest
			}
		}
		if confirmations < 2 {
			t.Errorf("%d confirmations", confirmations)
		}
	})
}

// Guards against versions that appear and leave unnoticed while the machine is suspended and its steady clock stops.
func TestSuspensionIsAGapInTheConfirmations(t *testing.T) {
	s := &fakeSource{doc: &Document{Version: 5}, list: endpointList(10, "e1")}
	for _, suspension := range []time.Duration{0, 200 * time.Millisecond, 5 * time.Second} {
		var suspended atomic.Int64
		testReplica(t, s, &fakePeer{}, func(r *Replica) {
			time.Sleep(3 * time.Second)
			_, since := r.Confirmed()
			suspended.Add(int64(suspension))
			time.Sleep(3 * time.Second)
			if _, sinceThen := r.Confirmed(); sinceThen.After(since) != (suspension > MaxConfirmationGap) {
				t.Errorf("after a suspension of %s, the gap in the confirmations is later by %s", suspension, sinceThen.Sub(since))
			}
		}, func(o *ReplicaOptions) { o.Suspended = func() time.Duration { return time.Duration(suspended.Load()) } })
	}
}

// Guards against a watch that has fallen silent while other calls are answered: a list that lacks an endpoint counts as recent.
func TestListIsNotConfirmedBeyondChangesThatASilentWatchMisses(t *testing.T) {
	s := &fakeSource{doc: &Document{Version: 5}, list: endpointList(10, "e1")}
	testReplica(t, s, &fakePeer{}, func(r *Replica) {
		for i, silence := range []time.Duration{0, 400 * time.Millisecond, 1300 * time.Millisecond} {
			s.set(func(s *fakeSource) { s.loseWatches = false })
			time.Sleep(5 * time.Second)
			s.set(func(s *fakeSource) { s.loseWatches = true })
			time.Sleep(silence)
			changedAt := time.Now()
			s.set(func(s *fakeSource) { s.list = endpointList(20+uint64(i), "e1", fmt.Sprint("new", i)) })
			for time.Since(changedAt) < 4*time.Second {
				time.Sleep(10 * time.Millisecond)
				latest, _ := r.Confirmed()
				if known := sortedIDs(r.Endpoints()); latest.After(changedAt) && !slices.Contains(known, fmt.Sprint("new", i)) {
					t.Fatalf("%s after a change, endpoints %v are confirmed as of %s after it", time.Since(changedAt), known, latest.Sub(changedAt))
				}
			}
		}
	})
}

// Guards against a recheck that does not reach an instance which follows a relay that is behind.
func TestRecheckBringsAFollowerUpToDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relaySource, ownSource := &fakeSource{doc: &Document{Version: 5}, list: endpointList(10, "e1")}, &fakeSource{doc: &Document{Version: 5}, list: endpointList(10, "e1")}
		_, r, stop := startRelayedReplica(t, relaySource, ownSource)
		time.Sleep(settleDelay)
		ownSource.set(func(s *fakeSource) { s.list = endpointList(11, "e1", "e2") })
		asked := time.Now()
		if err := r.Recheck(t.Context()); err != nil {
			t.Error(err)
		}
		if latest, _ := r.Confirmed(); latest.Before(asked) || len(r.Endpoints().Endpoints) != 2 || !r.followsRelay() {
			t.Errorf("confirmed %s before the call, endpoints %v", asked.Sub(latest), sortedIDs(r.Endpoints()))
		}
		ownSource.set(func(s *fakeSource) { s.unavailable = true })
		asked = time.Now()
		if err := r.Recheck(t.Context()); err == nil {
			t.Error("a recheck without an answer succeeds")
		}
		if latest, _ := r.Confirmed(); latest.After(asked) {
			t.Error("a recheck without an answer confirms the list")
		}
		stop()
	})
}

// Guards against a relay of an older release whose lists lack the software versions.
func TestListWithoutSoftwareVersionsIsNotUsed(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := NewReplica(ReplicaOptions{Log: log})
	list := endpointList(10, "e1")
	if _, ok := r.listFromReply(PullReply{Endpoints: &list}, PullRequest{}); ok {
		t.Error("the list is used")
	}
	if _, ok := r.listFromReply(PullReply{Endpoints: &list, PassesSoftwareVersions: true}, PullRequest{}); !ok {
		t.Error("a list with versions is not used")
	}
}

// Guards against a changed software version that instances behind a relay miss.
func TestChangedSoftwareVersionIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relaySource, ownSource := &fakeSource{doc: &Document{Version: 5}, list: endpointList(10, "e1")}, &fakeSource{doc: &Document{Version: 5}}
		_, r, stop := startRelayedReplica(t, relaySource, ownSource)
		time.Sleep(settleDelay)
		changed := endpointList(11, "e1")
		changed.Endpoints[0].SoftwareVersion = "b"
		relaySource.set(func(s *fakeSource) { s.list = changed })
		time.Sleep(maxPropagationDelay)
		if got := r.Endpoints().Endpoints; len(got) != 1 || got[0].SoftwareVersion != "b" {
			t.Errorf("endpoints: %v", got)
		}
		stop()
	})
}
