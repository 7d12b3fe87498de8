package soak

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/wait"
	"github.com/clementinerack/clementinerack/standins/machines"
)

const (
	// drainTimeout, pauseSlack and maxPausedArrivals are the users' bounds on requests to
	// runners that have said that they leave, or have turned an instance away for a time.
	drainTimeout      = 2 * time.Second
	pauseSlack        = 500 * time.Millisecond
	maxPausedArrivals = 2
	meanLeaveTime     = 4 * time.Second
	// runnerHeader names the ID of a leaving or limited runner in its answers.
	runnerHeader = "X-Runner"
)

// link is an instance and the ID of a runner.
type link struct{ instance, runner string }

// pauseNotice is a time for which a runner wants no requests from an instance.
type pauseNotice struct {
	from, until time.Time
	arrivals    int
}

// notices are what runners have said about the requests that they want.
type notices struct {
	mu       sync.Mutex
	leaving  map[string]bool      // IDs of the runners that leave
	busy     map[string]float64   // Retry-After of the runners that turn requests away, in seconds
	sentAt   map[string]time.Time // by request id
	passedOn map[link]time.Time   // when the first answer was passed on that said that the runner leaves
	pauses   map[link][]*pauseNotice
	limits   map[string]*limitNotice // by ID of the runner
}

func newNotices() *notices {
	return &notices{leaving: map[string]bool{}, busy: map[string]float64{}, sentAt: map[string]time.Time{}, passedOn: map[link]time.Time{}, pauses: map[link][]*pauseNotice{}, limits: map[string]*limitNotice{}}
}

// instanceOf returns the name of the instance to which a request was sent.
func instanceOf(id string) string { return id[strings.LastIndexByte(id, '-')+1:] }

// forget drops what an instance has been told, because its process ended or was paused.
func (v *notices) forget(instance string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for l := range v.passedOn {
		if l.instance == instance {
			delete(v.passedOn, l)
		}
	}
	for l := range v.pauses {
		if l.instance == instance {
			delete(v.pauses, l)
		}
	}
	for _, limit := range v.limits {
		delete(limit.told, instance)
	}
}

// recordAnswer records an answer that an instance passed on.
func (v *notices) recordAnswer(instance string, header http.Header) {
	v.mu.Lock()
	defer v.mu.Unlock()
	l := link{instance, header.Get(runnerHeader)}
	if _, known := v.passedOn[l]; !known && header.Get(machines.HeaderLeaving) != "" {
		v.passedOn[l] = time.Now()
	}
	if limit := v.limits[l.runner]; limit != nil && header.Get(machines.HeaderLimit) != "" && limit.told[instance].IsZero() {
		limit.told[instance] = time.Now()
	}
}

// checkArrival returns a violation by a request that reaches a runner, or "".
func (v *notices) checkArrival(id, runner string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	now, l := time.Now(), link{instanceOf(id), runner}
	if at, ok := v.passedOn[l]; ok && v.sentAt[id].Sub(at) > drainTimeout {
		return fmt.Sprintf("%s reached %s, which had told %s %s before that it leaves", id, runner, l.instance, v.sentAt[id].Sub(at))
	}
	for _, p := range v.pauses[l] {
		if now.Before(p.from) || now.After(p.until) {
			continue
		}
		if p.arrivals++; p.arrivals > maxPausedArrivals {
			return fmt.Sprintf("%s reached %s %s after it had turned %s away for %s, as number %d", id, runner, now.Sub(p.from.Add(-pauseSlack)), l.instance, p.until.Sub(p.from)+pauseSlack, p.arrivals)
		}
	}
	if limit := v.limits[runner]; limit != nil {
		return limit.checkArrival(l.instance, now)
	}
	return ""
}

// answer answers a request as what the runner has said about itself demands. It returns the
// connection on which another answer is to be sent, or nil if none is.
func (v *notices) answer(id, runner string, c net.Conn) net.Conn {
	v.mu.Lock()
	defer v.mu.Unlock()
	if after := v.busy[runner]; after > 0 {
		now, l := time.Now(), link{instanceOf(id), runner}
		v.pauses[l] = append(v.pauses[l], &pauseNotice{from: now.Add(pauseSlack), until: now.Add(time.Duration(after * float64(time.Second)))})
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\n%s: 1\r\n%s: %.3f\r\nContent-Length: 0\r\n\r\n", machines.HeaderNotExecuted, machines.HeaderRetryAfter, after)
		return nil
	}
	lines := ""
	if v.leaving[runner] {
		lines += machines.HeaderLeaving + ": 1\r\n"
	}
	if limit := v.limits[runner]; limit != nil {
		lines += fmt.Sprintf("%s: %g\r\n", machines.HeaderLimit, limit.perSecond)
		if limit.namedAt.IsZero() {
			limit.namedAt = time.Now()
		}
	}
	if lines != "" {
		return &headerWriter{Conn: c, lines: lines + runnerHeader + ": " + runner + "\r\n"}
	}
	return c
}

// headerWriter adds lines to the header of the response that is written to a connection.
type headerWriter struct {
	net.Conn
	lines string
}

func (w *headerWriter) Write(p []byte) (int, error) {
	statusLine, rest, found := bytes.Cut(p, []byte("\r\n"))
	if w.lines == "" || !found {
		return w.Conn.Write(p)
	}
	_, err := io.WriteString(w.Conn, string(statusLine)+"\r\n"+w.lines+string(rest))
	w.lines = ""
	return len(p), err
}

// leave makes a random runner say that it leaves, and replaces it later.
func (tc *testCluster) leave(ctx context.Context) {
	runner := tc.randomRunner()
	zone := cmp.Or(tc.zoneOf(runner), "z0")
	tc.notices.set(func(v *notices) { v.leaving[runner] = true })
	go func() {
		wait.Sleep(ctx, tc.randDuration(meanLeaveTime))
		_ = tc.runners.Replace(runner, zone) // without it one runner less serves
	}()
}

// turnAway makes a random runner turn requests away for d.
func (tc *testCluster) turnAway(ctx context.Context, d time.Duration) {
	runner, after := tc.randomRunner(), 1+2*tc.randFloat()
	tc.notices.set(func(v *notices) { v.busy[runner] = after })
	go func() {
		wait.Sleep(ctx, d)
		tc.notices.set(func(v *notices) { delete(v.busy, runner) })
	}()
}

func (v *notices) set(change func(*notices)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change(v)
}

// randomRunner returns the ID of a running runner, or "" while all restart.
func (tc *testCluster) randomRunner() string {
	ids := tc.runners.IDs()
	if len(ids) == 0 {
		return ""
	}
	return ids[tc.randInt(len(ids))]
}
