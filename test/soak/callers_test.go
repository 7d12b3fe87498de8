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
}

// recordViolation adds a violation, which fails the test at its end.
func (s *observations) recordViolation(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
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
	req, err := http.NewRequestWithContext(callCtx, http.MethodPost, "http://"+n.ip+":8227/"+route+"/1", strings.NewReader("body"))
	if err != nil {
		s.recordViolation("%v", err)
		return false
	}
	req.Host = machines.Host
	req.Header.Set("Authorization", machines.KeyScheme+machines.APIKey)
	req.Header.Set(machines.HeaderRequestID, id)
	req.Header.Set(sendHeader, fmt.Sprint(send))
	req.Header.Set(machines.HeaderDeadline, fmt.Sprint(callTimeout.Milliseconds()))
	events := 0
	if route == "chat" {
		events = 1 + tc.randInt(30)
		req.Header.Set(machines.HeaderTokens, fmt.Sprintf("%d,%d", 20+tc.randInt(1500), events*tokensPerEvent))
		req.Header.Set(machines.HeaderPrompt, fmt.Sprintf("%s:10,b%d:10,c%d:10", sharedPart, tc.randInt(8), tc.randInt(1<<30)))
	}
	tc.notices.set(func(v *notices) { v.sentAt[id] = time.Now() })
	resp, err := client.Do(req)
	if err != nil {
		return false // without an answer, the request may or may not have run
	}
	tc.notices.recordAnswer(n.name, resp.Header)
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
	case resp.StatusCode == http.StatusOK && route == "chat":
		s.checkStream(id, string(body), events, complete)
	case resp.StatusCode == http.StatusOK && complete:
		s.served++
		if string(body) != "whole" || resp.Header.Get(machines.HeaderRequestID) != id {
			s.violations = append(s.violations, fmt.Sprintf("%s %s: got %q with request id %q", route, id, body, resp.Header.Get(machines.HeaderRequestID)))
		}
	}
	return false
}

// checkStream verifies that the events of a stream are in order and without a gap, and,
// if the stream ended properly, that none is missing. mu must be held.
func (s *observations) checkStream(id, body string, events int, complete bool) {
	n := 0
	for _, e := range strings.SplitAfter(body, "\n\n") {
		if e == "" || !strings.HasSuffix(e, "\n\n") {
			continue
		}
		n++
		if e != machines.Event(n) {
			s.violations = append(s.violations, fmt.Sprintf("stream %s: event %d is %q", id, n, e))
			return
		}
	}
	s.deliveredTokens[id] = int64(n) * tokensPerEvent
	if complete {
		s.served++
		if n != events {
			s.violations = append(s.violations, fmt.Sprintf("stream %s: ended properly after %d of %d events", id, n, events))
		}
	}
}
