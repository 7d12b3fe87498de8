package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

const (
	endlessPath     = "/endless/" // after the route, before the kind of answer
	endlessRequests = 200
	endlessDeadline = 1500 * time.Millisecond
)

var endlessAnswers = machines.EndlessAnswers()

// serveEndlessly answers requests for answers without end, and reports whether r is one.
func serveEndlessly(r *http.Request, c net.Conn) bool {
	_, kind, ok := strings.Cut(r.URL.Path, endlessPath)
	if ok {
		endlessAnswers[kind](r, nil, c)
	}
	return ok
}

// Guards against a process that outgrows its memory, or loses other requests, because runners send without end.
func TestEndlessAnswersLeaveMemoryForOthers(t *testing.T) {
	tc := newTestCluster(t, binary, 1)
	n := tc.instances[0]
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: endlessRequests}}
	defer client.CloseIdleConnections()
	s := &observations{refused: map[string]bool{}}
	sent, repeated := 0, 0
	kinds := slices.Sorted(maps.Keys(endlessAnswers))
	for _, round := range [][]string{{"chunks"}, {"error"}, {"event"}, {"fields"}, kinds} {
		var callers sync.WaitGroup
		for i := range endlessRequests {
			route, kind := strings.Fields(routeNames)[i%3], round[i%len(round)]
			callers.Go(func() { n.sendEndless(t, client, route, kind, i) })
		}
		for begun := time.Now(); time.Since(begun) < endlessDeadline; sent++ {
			route := []string{"book", "look"}[sent%2] // which need no rights
			id := fmt.Sprintf("sound-%d-%s", sent, n.name)
			refused := tc.sendRequest(context.Background(), client, s, n, route, id, 0)
			if s.served == sent && (route == "look" || refused) { // callers repeat what did not run
				repeated++
				tc.sendRequest(context.Background(), client, s, n, route, "again-"+id, 0)
			}
			time.Sleep(5 * time.Millisecond)
		}
		callers.Wait()
		t.Logf("%s: the process took at most %d kB so far, %d of %d sound requests were served, %d of them repeated", strings.Join(round, ", "), n.peakMemory(), s.served, sent, repeated)
	}
	if peak := n.peakMemory(); peak == 0 || peak > memoryMB<<10 {
		t.Errorf("the process took %d kB, its instance has %d", peak, memoryMB<<10)
	}
	if s.served != sent || len(s.violations) > 0 {
		t.Errorf("%d of %d sound requests were served, %v", s.served, sent, s.violations)
	}
}

// sendEndless sends a request for an answer without end.
func (n *testInstance) sendEndless(t *testing.T, client *http.Client, route, kind string, number int) {
	req, err := http.NewRequest(http.MethodPost, (&url.URL{Scheme: "http", Host: n.ip + ":8227", Path: "/" + route + endlessPath + kind}).String(), strings.NewReader("body"))
	if err != nil {
		t.Error(err)
		return
	}
	req.Host = machines.Host
	req.Header.Set("Authorization", machines.KeyScheme+machines.APIKey)
	req.Header.Set(machines.HeaderRequestID, fmt.Sprintf("endless-%d-%s", number, n.name))
	req.Header.Set(machines.HeaderDeadline, fmt.Sprint(endlessDeadline.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err == nil && resp.StatusCode < 400 {
		t.Errorf("%s: an answer without end counts as complete, status %d", kind, resp.StatusCode)
	}
}

// peakMemory returns the largest resident memory of the process in kB, or 0 if it is not known.
func (n *testInstance) peakMemory() (kB int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	if _, line, ok := bytes.Cut(status, []byte("VmHWM:")); ok {
		_, _ = fmt.Sscan(string(line), &kB)
	}
	return kB
}
