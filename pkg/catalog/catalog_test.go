package catalog

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/clementinerack/clementinerack/pkg/failure"
	"github.com/clementinerack/clementinerack/pkg/peer"
	"github.com/clementinerack/clementinerack/pkg/wait"
)

// Guards against a request that takes a shorter prefix, another host's route, or
// another workspace's key.
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

// source answers with what a test sets.
type source struct {
	doc   *Document
	list  EndpointList
	away  bool
	lists atomic.Int64
}

func (s *source) Document(ctx context.Context, after uint64) (*Document, error) {
	wait.Sleep(ctx, 100*time.Millisecond)
	switch {
	case s.away:
		return nil, errors.New("away")
	case s.doc != nil && s.doc.Version > after:
		return s.doc, nil
	}
	return nil, nil
}

func (s *source) Endpoints(context.Context) (EndpointList, error) {
	s.lists.Add(1)
	if s.away {
		return EndpointList{}, errors.New("away")
	}
	list := s.list
	list.Endpoints = slices.Clone(list.Endpoints)
	return list, nil
}

// neighbour answers pulls with a fixed reply.
type neighbour struct{ reply PullReply }

func (n *neighbour) Call(_ context.Context, address string, _ peer.Method, req, resp any) error {
	if address != "a" {
		return failure.New(failure.Unavailable, "", "unreachable")
	}
	ask := req.(PullRequest)
	out := resp.(*PullReply)
	if n.reply.Document != nil && n.reply.Document.Version > ask.Version {
		out.Document = n.reply.Document
	}
	if n.reply.Endpoints != nil && n.reply.Endpoints.Revision > ask.Revision {
		out.Endpoints = n.reply.Endpoints
	}
	return nil
}

func endpoints(revision uint64, ids ...string) EndpointList {
	l := EndpointList{Revision: revision}
	for _, id := range ids {
		l.Endpoints = append(l.Endpoints, Endpoint{ID: id})
	}
	return l
}

func ids(l EndpointList) (out []string) {
	for _, e := range l.Endpoints {
		out = append(out, e.ID)
	}
	slices.Sort(out)
	return out
}

// replicaTest runs a replica of a source on a fake clock.
func replicaTest(t *testing.T, s *source, n *neighbour, test func(r *Replica)) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		r := NewReplica(ReplicaOptions{Source: s, Peers: n, Members: func() []string { return []string{"a"} }, Log: log})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { r.Run(ctx); close(done) }()
		test(r)
		cancel()
		<-done
	})
}

// Guards against a version that is taken back, from the source or from a peer.
func TestReplicaNeverGoesBack(t *testing.T) {
	s, n := &source{doc: &Document{Version: 5}, list: endpoints(10, "e1")}, &neighbour{}
	replicaTest(t, s, n, func(r *Replica) {
		time.Sleep(time.Second)
		s.doc = &Document{Version: 4}
		s.list = endpoints(9, "e0")
		n.reply = PullReply{Document: &Document{Version: 3}}
		time.Sleep(3 * time.Second)
		if r.Current().Version != 5 || r.Endpoints().Revision != 10 {
			t.Errorf("version %d, revision %d", r.Current().Version, r.Endpoints().Revision)
		}
	})
}

// Guards against an instance without the store that keeps an old version although
// a neighbour has a newer one.
func TestReplicaPullsWhileAway(t *testing.T) {
	s, n := &source{doc: &Document{Version: 5}, list: endpoints(10, "e1")}, &neighbour{}
	replicaTest(t, s, n, func(r *Replica) {
		time.Sleep(time.Second)
		n.reply = PullReply{Document: &Document{Version: 6}, Endpoints: new(EndpointList)}
		*n.reply.Endpoints = endpoints(12, "e1", "e2")
		time.Sleep(4 * time.Second)
		if r.Current().Version != 5 {
			t.Error("a peer was asked although the source answers")
		}
		s.away = true
		time.Sleep(4 * time.Second)
		if r.Current().Version != 6 || len(r.Endpoints().Endpoints) != 2 {
			t.Errorf("version %d, endpoints %v", r.Current().Version, ids(r.Endpoints()))
		}
	})
}

// Guards against endpoints that are dropped because their entries lapsed while
// the store was away, and against gone ones that stay for ever.
func TestLapsedEndpointsStayForAWhile(t *testing.T) {
	s := &source{doc: &Document{Version: 5}, list: endpoints(10, "e1", "e2")}
	replicaTest(t, s, &neighbour{}, func(r *Replica) {
		time.Sleep(3 * time.Second)
		s.away = true
		time.Sleep(5 * time.Second)
		s.list, s.away = endpoints(20, "e2"), false
		time.Sleep(1500 * time.Millisecond)
		if got := ids(r.Endpoints()); len(got) != 2 {
			t.Errorf("endpoints soon after the return: %v", got)
		}
		time.Sleep(900 * time.Millisecond)
		if got := ids(r.Endpoints()); len(got) != 1 || got[0] != "e2" {
			t.Errorf("endpoints 2.4 s after the return: %v", got)
		}
		s.list = endpoints(30)
		time.Sleep(1500 * time.Millisecond)
		if got := ids(r.Endpoints()); len(got) != 0 {
			t.Errorf("endpoints without an outage: %v", got)
		}
	})
}
