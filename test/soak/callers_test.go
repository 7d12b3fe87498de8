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
	callers     = 10
	callTimeout = 4 * time.Second
)

// seen is what the callers got.
type seen struct {
	mu        sync.Mutex
	served    int
	delivered map[string]int64 // output tokens of streams, by id
	refused   map[string]bool  // ids that may run once and were told not to have run
	wrong     []string
}

func (s *seen) blame(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrong = append(s.wrong, fmt.Sprintf(format, args...))
}

// call sends requests until ctx ends.
func (w *world) call(ctx context.Context, caller int, s *seen) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: instances}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		route := strings.Fields(routes)[w.int(3)]
		if w.int(2) == 0 {
			route = "chat"
		}
		w.request(ctx, client, s, w.nodes[w.int(len(w.nodes))], route, fmt.Sprintf("%d-%d", caller, i))
		time.Sleep(w.about(10 * time.Millisecond))
	}
}

func (w *world) request(ctx context.Context, client *http.Client, s *seen, n *node, route, id string) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(call, http.MethodPost, "http://"+n.ip+":8227/"+route+"/1", strings.NewReader("body"))
	if err != nil {
		s.blame("%v", err)
		return
	}
	req.Host = machines.Host
	req.Header.Set("Authorization", machines.KeyScheme+machines.APIKey)
	req.Header.Set(machines.HeaderRequestID, id)
	req.Header.Set(machines.HeaderDeadline, fmt.Sprint(callTimeout.Milliseconds()))
	events := 0
	if route == "chat" {
		events = 1 + w.int(30)
		req.Header.Set(machines.HeaderTokens, fmt.Sprintf("%d,%d", 20+w.int(1500), events*stride))
	}
	resp, err := client.Do(req)
	if err != nil {
		return // no answer promises nothing
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	whole := err == nil
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusServiceUnavailable:
		if route == "book" {
			s.refused[id] = true
		}
	case resp.StatusCode == http.StatusOK && route == "chat":
		s.stream(id, string(body), events, whole)
	case resp.StatusCode == http.StatusOK && whole:
		s.served++
		if string(body) != "whole" || resp.Header.Get(machines.HeaderRequestID) != id {
			s.wrong = append(s.wrong, fmt.Sprintf("%s %s: %q of %q", route, id, body, resp.Header.Get(machines.HeaderRequestID)))
		}
	}
}

// stream checks the events of a stream: in order, without a gap, and all of them if
// its end was told. mu must be held.
func (s *seen) stream(id, body string, events int, whole bool) {
	n := 0
	for _, e := range strings.SplitAfter(body, "\n\n") {
		if e == "" || !strings.HasSuffix(e, "\n\n") {
			continue
		}
		n++
		if e != machines.Event(n) {
			s.wrong = append(s.wrong, fmt.Sprintf("stream %s: event %d is %q", id, n, e))
			return
		}
	}
	s.delivered[id] = int64(n) * stride
	if whole {
		s.served++
		if n != events {
			s.wrong = append(s.wrong, fmt.Sprintf("stream %s: ends as whole after %d of %d events", id, n, events))
		}
	}
}
