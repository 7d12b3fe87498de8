package catalog

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// Guards against a request that matches a shorter prefix than necessary or the route
// of another host, and against a key that is attributed to another workspace.
func TestIndex(t *testing.T) {
	c := Index(&Document{Routes: []Route{{Name: "short", Host: "a.example", Prefix: "/p/"}, {Name: "long", Host: "A.example", Prefix: "/p/q/"},
		{Name: "other", Host: "b.example", Prefix: "/"}}, Workspaces: []Workspace{{Name: "w", Keys: []string{"k1", "k2"}}, {Name: "v"}}})
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/p/x", "short"}, {"a.example:80", "/p/q/x", "long"}, {"a.example", "/p/qx", "short"},
		{"a.example", "/p", ""}, {"a.example", "/", ""}, {"b.example", "/any", "other"}, {"c.example", "/p/", ""},
	} {
		got := ""
		if r := c.Route(tc.host, tc.path); r != nil {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("%s%s: route %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
	if w := c.WorkspaceByKey("k2"); w == nil || w.Name != "w" || c.WorkspaceByKey("") != nil || c.WorkspaceByKey("k3") != nil {
		t.Errorf("workspace of a key: %v", w)
	}
}

// fakeSource is a Source that returns the content that a test sets, or fails while
// unavailable is set. Its fields are changed by set.
type fakeSource struct {
	mu          sync.Mutex
	doc         *Document
	list        EndpointList
	unavailable bool // all calls fail
	silent      bool // calls get no answer
	loseWatches bool // watches get no answer and fail at their timeout
	answerDelay time.Duration
	// docReads and listReads count the calls.
	docReads, listReads atomic.Int64
	returned            EndpointList // by the latest call of Endpoints
	domains             DomainSet
	readDomains         DomainSet // by the latest call of Document
}

// set calls change, which changes fields of s.
func (s *fakeSource) set(change func(s *fakeSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// reads returns the number of calls that read content.
func (s *fakeSource) reads() int64 { return s.docReads.Load() + s.listReads.Load() }

// currentList returns the list that is set.
func (s *fakeSource) currentList() EndpointList {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

// changeInterval is how often a watch of a fakeSource looks for a change.
const changeInterval = 20 * time.Millisecond

// await waits until changed reports true, but at most for timeout. It returns with s.mu
// held if it succeeds.
func (s *fakeSource) await(ctx context.Context, timeout time.Duration, changed func() bool) error {
	for deadline := time.Now().Add(timeout); ; wait.Sleep(ctx, changeInterval) {
		s.mu.Lock()
		switch {
		case ctx.Err() != nil:
			s.mu.Unlock()
			return ctx.Err()
		case s.unavailable:
			s.mu.Unlock()
			return errors.New("away")
		case s.loseWatches && timeout > 0:
			s.mu.Unlock()
			wait.Sleep(ctx, time.Until(deadline))
			return errors.New("no answer")
		case !s.silent && (time.Now().After(deadline) || changed()):
			return nil
		}
		s.mu.Unlock()
	}
}

func (s *fakeSource) Document(ctx context.Context, after uint64, timeout time.Duration) (*Document, error) {
	s.docReads.Add(1)
	changed := func() bool { return s.doc != nil && s.doc.Version > after }
	if err := s.await(ctx, timeout, func() bool {
		return timeout == 0 || changed() || s.domains.Revision != s.readDomains.Revision
	}); err != nil {
		return nil, err
	}
	defer s.mu.Unlock()
	s.readDomains = s.domains
	if !changed() {
		return nil, nil
	}
	return s.doc, nil
}

func (s *fakeSource) Endpoints(ctx context.Context, timeout time.Duration) (EndpointList, error) {
	s.listReads.Add(1)
	if err := s.await(ctx, timeout, func() bool { return timeout == 0 || s.list.Revision != s.returned.Revision }); err != nil {
		return EndpointList{}, err
	}
	defer s.mu.Unlock()
	s.returned = s.list
	list := s.list
	list.Endpoints = slices.Clone(list.Endpoints)
	return list, nil
}

func (s *fakeSource) Recheck(ctx context.Context) (EndpointList, error) {
	if err := s.await(ctx, 0, func() bool { return true }); err != nil {
		return EndpointList{}, err
	}
	delay := s.answerDelay
	s.mu.Unlock()
	wait.Sleep(ctx, delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	return EndpointList{s.list.Revision, slices.Clone(s.list.Endpoints)}, nil
}

func (s *fakeSource) Domains() DomainSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readDomains
}

func (s *fakeSource) Probe(ctx context.Context) error {
	if err := s.await(ctx, 0, func() bool { return true }); err != nil {
		return err
	}
	s.mu.Unlock()
	return nil
}

// fakePeer answers pulls at the address "a" with reply, without what the caller has
// already. Other addresses are unreachable.
type fakePeer struct {
	mu    sync.Mutex
	reply PullReply
}

func (p *fakePeer) set(reply PullReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reply = reply
}

func (p *fakePeer) Call(_ context.Context, address string, _ peer.Method, req, resp any) error {
	if address != "a" {
		return failure.New(failure.Unavailable, "", "unreachable")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	pull := req.(PullRequest)
	reply := resp.(*PullReply)
	reply.PassesSoftwareVersions, reply.PassesRegions = true, true
	if p.reply.Document != nil && p.reply.Document.Version > pull.Version {
		reply.Document = p.reply.Document
	}
	if p.reply.Endpoints != nil && p.reply.Endpoints.Revision > pull.Revision {
		reply.Endpoints = p.reply.Endpoints
	}
	return nil
}

func endpointList(revision uint64, ids ...string) EndpointList {
	l := EndpointList{Revision: revision}
	for _, id := range ids {
		l.Endpoints = append(l.Endpoints, Endpoint{ID: id})
	}
	return l
}

func sortedIDs(l EndpointList) (out []string) {
	for _, e := range l.Endpoints {
		out = append(out, e.ID)
	}
	slices.Sort(out)
	return out
}

// testReplica runs test on a replica of a source, with a fake clock.
func testReplica(t *testing.T, s *fakeSource, p *fakePeer, test func(r *Replica), options ...func(*ReplicaOptions)) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		opts := ReplicaOptions{Source: s, Peers: p, Members: func() []string { return []string{"a"} }, Log: log}
		for _, option := range options {
			option(&opts)
		}
		r := NewReplica(opts)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { r.Run(ctx); close(done) }()
		test(r)
		cancel()
		<-done
	})
}

// Guards against a replica that reverts to an older version from the source or a peer.
func TestReplicaNeverGoesBack(t *testing.T) {
	s, p := &fakeSource{doc: &Document{Version: 5}, list: endpointList(10, "e1")}, &fakePeer{}
	testReplica(t, s, p, func(r *Replica) {
		time.Sleep(time.Second)
		s.set(func(s *fakeSource) { s.doc, s.list = &Document{Version: 4}, endpointList(9, "e0") })
		p.set(PullReply{Document: &Document{Version: 3}})
		time.Sleep(3 * time.Second)
		if r.Current().Version != 5 || r.Endpoints().Revision != 10 {
			t.Errorf("version %d, revision %d", r.Current().Version, r.Endpoints().Revision)
		}
	})
}

// Guards against an instance that cannot reach the store and keeps an old version
// although a peer has a newer one.
func TestReplicaPullsWhileAway(t *testing.T) {
	s, p := &fakeSource{doc: &Document{Version: 5}, list: endpointList(10, "e1")}, &fakePeer{}
	testReplica(t, s, p, func(r *Replica) {
		time.Sleep(time.Second)
		newer := endpointList(12, "e1", "e2")
		p.set(PullReply{Document: &Document{Version: 6}, Endpoints: &newer})
		time.Sleep(4 * time.Second)
		if r.Current().Version != 5 {
			t.Error("a peer was asked although the source answers")
		}
		s.set(func(s *fakeSource) { s.unavailable = true })
		time.Sleep(4 * time.Second)
		if r.Current().Version != 6 || len(r.Endpoints().Endpoints) != 2 {
			t.Errorf("version %d, endpoints %v", r.Current().Version, sortedIDs(r.Endpoints()))
		}
	})
}

// Guards against endpoints that are dropped because their registrations expired while
// the store was unavailable, and against removed endpoints that stay listed forever.
func TestLapsedEndpointsStayForAWhile(t *testing.T) {
	s := &fakeSource{doc: &Document{Version: 5}, list: endpointList(10, "e1", "e2")}
	testReplica(t, s, &fakePeer{}, func(r *Replica) {
		time.Sleep(3 * time.Second)
		s.set(func(s *fakeSource) { s.unavailable = true })
		time.Sleep(5 * time.Second)
		s.set(func(s *fakeSource) { s.list, s.unavailable = endpointList(20, "e2"), false })
		time.Sleep(1500 * time.Millisecond)
		if got := sortedIDs(r.Endpoints()); len(got) != 2 {
			t.Errorf("endpoints 1.5 s after the recovery: %v", got)
		}
		time.Sleep(900 * time.Millisecond)
		if got := sortedIDs(r.Endpoints()); len(got) != 1 || got[0] != "e2" {
			t.Errorf("endpoints 2.4 s after the recovery: %v", got)
		}
		s.set(func(s *fakeSource) { s.list = endpointList(30) })
		time.Sleep(1500 * time.Millisecond)
		if got := sortedIDs(r.Endpoints()); len(got) != 0 {
			t.Errorf("endpoints without an outage: %v", got)
		}
	})
}
