package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/clementinerack/clementinerack/pkg/wait"
	"github.com/clementinerack/clementinerack/standins/machines"
)

const (
	numSlowCallers = 8
	maxEvents      = 30
	maxTakeUps     = 6
	// slowWorkspace is the workspace of the slow streams, so that others do not use up its tokens.
	slowWorkspace = "slow"
	// pauseHeader is the time that a runner waits after each event of a stream.
	pauseHeader     = "X-Event-Pause"
	meanEventPause  = 40 * time.Millisecond
	meanTakeUpDelay = 200 * time.Millisecond
	// meanReleaseStep is the mean time between two steps of a release: a runner of the new
	// version starts, one of the former ones says that it leaves, and ends.
	meanReleaseStep = 250 * time.Millisecond
)

// versionName returns the name of a version of the runners' software. Names have no order.
func versionName(number int) string { return fmt.Sprintf("v%d", number) }

// runReleases replaces some or all runners by those of a new version, one after another,
// again and again until ctx ends.
func (tc *testCluster) runReleases(ctx context.Context) {
	for ; ctx.Err() == nil; wait.Sleep(ctx, tc.randDuration(meanReleaseStep)) {
		former := tc.runners.IDs()
		if len(former) == 0 {
			continue // all restart
		}
		tc.mu.Lock()
		tc.numVersions++
		version := versionName(tc.numVersions)
		tc.mu.Unlock()
		replaced := former[:1+tc.randInt(len(former))]
		for i, id := range replaced {
			if i == 0 || len(tc.runners.IDs()) <= numRunners {
				_ = tc.runners.StartVersion(fmt.Sprint("z", i%2), version) // without it one runner less serves
			}
			wait.Sleep(ctx, tc.randDuration(meanReleaseStep))
			tc.notices.set(func(v *notices) { v.leaving[id] = true })
			wait.Sleep(ctx, tc.randDuration(meanReleaseStep))
			tc.runners.End(id)
		}
		if tc.killsAll && len(replaced) == len(former) {
			select {
			case tc.released <- struct{}{}:
			default: // the one before is not over
			}
		}
	}
}

// stream is a stream of a caller, which takes it up again if it breaks off.
type stream struct {
	workspace  string
	name, body string
	pause      time.Duration
	tokens     string
	prompt     string
	events     int    // of the whole stream
	version    string // of the runner that began it
	received   int    // events so far
	beganAs    string // id of the request that brought the first event
	complete   bool
}

// runSlowCaller has one slow stream after another until ctx ends.
func (tc *testCluster) runSlowCaller(ctx context.Context, caller int, s *observations) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: numInstances}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		name := fmt.Sprintf("%d-%d", caller, i)
		tc.runStream(ctx, client, s, tc.instances[tc.randInt(len(tc.instances))], &stream{workspace: slowWorkspace, name: name, body: name, pause: tc.randDuration(meanEventPause)})
		time.Sleep(tc.randDuration(10 * time.Millisecond))
	}
}

// runStream reads a stream from n. If it breaks off after its first event, the stream is taken
// up at other instances.
func (tc *testCluster) runStream(ctx context.Context, client *http.Client, s *observations, n *testInstance, st *stream) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	st.events = 1 + tc.randInt(maxEvents)
	st.tokens = fmt.Sprintf("%d,%d", 20+tc.randInt(1500), st.events*tokensPerEvent)
	st.prompt = fmt.Sprintf("%s:10,b%d:10,c%d:10", sharedPart, tc.randInt(8), tc.randInt(1<<30))
	tc.readStream(ctx, client, s, n, st, fmt.Sprintf("%s-%s", st.name, n.name))
	first, number := st.received, 0
	for ; number < maxTakeUps && !st.complete && st.received > 0; number++ {
		wait.Sleep(ctx, tc.randDuration(meanTakeUpDelay))
		if ctx.Err() != nil {
			break
		}
		n = tc.otherInstance(n)
		tc.readStream(ctx, client, s, n, st, fmt.Sprintf("%s.%d-%s", st.name, 1+number, n.name))
	}
	if number > 0 {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.takenUp++
		s.takeUps += number
		if st.complete || st.received > first {
			s.wentOn++
		}
	}
}

// otherInstance returns a random instance other than n.
func (tc *testCluster) otherInstance(n *testInstance) *testInstance {
	for {
		if other := tc.instances[tc.randInt(len(tc.instances))]; other != n {
			return other
		}
	}
}

// readStream requests the events of a stream that are still missing.
func (tc *testCluster) readStream(ctx context.Context, client *http.Client, s *observations, n *testInstance, st *stream, id string) {
	deadline, _ := ctx.Deadline()
	header := newHeader(st.workspace, id, time.Until(deadline))
	header.Set(machines.HeaderTokens, st.tokens)
	header.Set(machines.HeaderPrompt, st.prompt)
	header.Set(pauseHeader, st.pause.String())
	if st.received > 0 {
		header.Set(machines.HeaderLastEventID, fmt.Sprint(st.received))
		header.Set(machines.HeaderResumes, st.beganAs)
	}
	resp, err := tc.send(ctx, client, n, "chat", st.body, header)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return
	}
	tc.mu.Lock()
	numVersions := tc.numVersions
	tc.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checkStream(st, id, string(body), err == nil, numVersions)
}

// checkStream verifies that the events of a response go on where the stream ended, are in
// order, without a gap and from the version that began the stream, and, if the stream ended
// properly, that none is missing. mu must be held.
func (s *observations) checkStream(st *stream, id, body string, complete bool, numVersions int) {
	before := st.received
	for _, e := range strings.SplitAfter(body, "\n\n") {
		if e == "" || !strings.HasSuffix(e, "\n\n") {
			continue
		}
		if st.received == 0 {
			st.beganAs = id
			for number := 1; number <= numVersions && st.version == ""; number++ {
				if events := (machines.Events{Version: versionName(number)}); e == events.Event(1) {
					st.version = events.Version
				}
			}
		}
		st.received++
		if events := (machines.Events{Version: st.version}); st.version == "" || e != events.Event(st.received) {
			s.violations = append(s.violations, fmt.Sprintf("ORDER: event %d of stream %s, begun as %s at version %q, is %q in %s", st.received, st.name, st.beganAs, st.version, e, id))
			st.complete = true // nothing more is asked for
			return
		}
	}
	s.deliveredTokens[id] = int64(st.received-before) * tokensPerEvent
	if complete {
		s.served++
		st.complete = true
		if st.received != st.events {
			s.violations = append(s.violations, fmt.Sprintf("ORDER: stream %s ended properly after %d of %d events in %s", st.name, st.received, st.events, id))
		}
	}
}
