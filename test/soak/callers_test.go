package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

const (
	numCallers  = 10
	callTimeout = 4 * time.Second // deadline of each request
	maxSends    = 3               // of a request that is refused
)

// observations records the answers that callers got.
type observations struct {
	mu              sync.Mutex
	served          int              // whole answers
	deliveredTokens map[string]int64 // output tokens of streams, by request id
	refused         map[string]bool  // by sendKey: non-repeatable requests that were refused as not run
	violations      []string

	takenUp, takeUps, wentOn int // streams that were taken up again, the requests to do so, and streams that went on
}

// runCaller sends requests to random instances, one after another, until ctx ends.
func (tc *testCluster) runCaller(ctx context.Context, caller int, s *observations) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: numInstances}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		route := strings.Fields(routeNames)[tc.randInt(3)]
		if tc.randInt(2) == 0 {
			route = "chat"
		}
		n := tc.instances[tc.randInt(len(tc.instances))]
		if route == "chat" {
			tc.runStream(ctx, client, s, n, &stream{workspace: machines.Workspace, name: fmt.Sprintf("%d-%d", caller, i), body: "body"})
			time.Sleep(tc.randDuration(10 * time.Millisecond))
			continue
		}
		id := fmt.Sprintf("%d-%d-%s", caller, i, n.name)
		for send := range maxSends {
			if refused := tc.sendRequest(ctx, client, s, n, route, id, send); !refused || route != "book" {
				break
			}
		}
		time.Sleep(tc.randDuration(10 * time.Millisecond))
	}
}

// sendRequest sends a request and records its result. send counts the earlier sends with the
// same id. It returns whether the request was refused as not run.
func (tc *testCluster) sendRequest(ctx context.Context, client *http.Client, s *observations, n *testInstance, route, id string, send int) (refused bool) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	header := newHeader(machines.Workspace, id, callTimeout)
	header.Set(sendHeader, fmt.Sprint(send))
	resp, err := tc.send(callCtx, client, n, route, "body", header)
	if err != nil {
		return false // without an answer, the request may or may not have run
	}
	req := resp.Request
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	complete := err == nil
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case meansNotRun(resp.StatusCode):
		if route == "book" {
			s.refused[sendKey(req.Header)] = true
		}
		return true
	case resp.StatusCode == http.StatusOK && complete:
		s.served++
		if string(body) != "whole" || resp.Header.Get(machines.HeaderRequestID) != id {
			s.violations = append(s.violations, fmt.Sprintf("%s %s: got %q with request id %q", route, id, body, resp.Header.Get(machines.HeaderRequestID)))
		}
	}
	return false
}

// newHeader returns the header of a request of a workspace.
func newHeader(workspace, id string, timeout time.Duration) http.Header {
	h := http.Header{}
	h.Set("Authorization", machines.KeyScheme+machines.KeyOf(workspace))
	h.Set(machines.HeaderRequestID, id)
	h.Set(machines.HeaderDeadline, fmt.Sprint(max(1, timeout.Milliseconds())))
	return h
}

// send sends a request to an instance.
func (tc *testCluster) send(ctx context.Context, client *http.Client, n *testInstance, route, body string, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.ip+":8227/"+route+"/1", strings.NewReader(body))
	if err != nil {
		tc.t.Error(err)
		return nil, err
	}
	req.Host, req.Header = machines.Host, header
	tc.notices.set(func(v *notices) { v.sentAt[header.Get(machines.HeaderRequestID)] = time.Now() })
	resp, err := client.Do(req)
	if err == nil {
		tc.notices.recordAnswer(n.name, resp.Header)
	}
	return resp, err
}
