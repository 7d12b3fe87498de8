package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/clementinerack/clementinerack/pkg/wait"
)

const (
	// limitWindow, limitFactor, limitExtra and limitNoticeDelay are the users' bound: from
	// contactWindow after a runner first named its limit, at most limitFactor times what it
	// allows and limitExtra requests reach it in limitWindow, from instances that passed on
	// such an answer limitNoticeDelay before.
	limitWindow      = 4 * time.Second
	limitFactor      = 1.5
	limitExtra       = 5
	limitNoticeDelay = 500 * time.Millisecond
	meanLimitTime    = 6 * time.Second
)

// limitNotice is a limit that a runner names in its answers.
type limitNotice struct {
	perSecond float64
	namedAt   time.Time            // first answer with the limit, or zero
	told      map[string]time.Time // by instance: first answer with the limit that it passed on
	arrivals  []time.Time          // of requests that count
}

// checkArrival returns a violation by a request that reaches the runner, or "".
func (n *limitNotice) checkArrival(instance string, now time.Time) string {
	told := n.told[instance]
	if n.namedAt.IsZero() || now.Sub(n.namedAt) < contactWindow || told.IsZero() || now.Sub(told) < limitNoticeDelay {
		return ""
	}
	n.arrivals = append(n.arrivals, now)
	for now.Sub(n.arrivals[0]) > limitWindow {
		n.arrivals = n.arrivals[1:]
	}
	if allowed := limitFactor*n.perSecond*limitWindow.Seconds() + limitExtra; float64(len(n.arrivals)) > allowed {
		return fmt.Sprintf("%d requests reached a runner in %s that takes %g a second", len(n.arrivals), limitWindow, n.perSecond)
	}
	return ""
}

// limit makes a random runner name a limit for some time.
func (tc *testCluster) limit(ctx context.Context) {
	runner, n := tc.randomRunner(), &limitNotice{perSecond: 4 * tc.randFloat(), told: map[string]time.Time{}}
	tc.notices.set(func(v *notices) { v.limits[runner] = n })
	go func() {
		wait.Sleep(ctx, tc.randDuration(meanLimitTime))
		tc.notices.set(func(v *notices) { delete(v.limits, runner) })
	}()
}
