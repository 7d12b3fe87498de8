package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/pkg/wait"
	"github.com/clementinerack/clementinerack/standins/machines"
)

const (
	// sharedPart is a part that all prompts have in common.
	sharedPart       = "a1"
	crashingInterval = 150 * time.Millisecond // mean time between requests with the crashing part
	// contactWindow, crashesToNotice and maxLateArrivals are the users' bound: later than
	// contactWindow after so many crashes at most so many requests reach runners.
	contactWindow   = 3 * time.Second
	crashesToNotice = 5
	maxLateArrivals = 3
	lateInterval    = 1500 * time.Millisecond // in which late arrivals are counted
)

// runCrashingCaller sends requests with the crashing part, no two alike, until ctx ends.
func (tc *testCluster) runCrashingCaller(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i := 0; ctx.Err() == nil; i++ {
		n := tc.instances[tc.randInt(len(tc.instances))]
		wg.Go(func() { tc.sendCrashing(ctx, client, n, i) })
		wait.Sleep(ctx, tc.randDuration(crashingInterval))
	}
}

func (tc *testCluster) sendCrashing(ctx context.Context, client *http.Client, n *testInstance, number int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.ip+":8227/chat/1", strings.NewReader(fmt.Sprint("body ", number)))
	if err != nil {
		tc.t.Error(err)
		return
	}
	req.Host = machines.Host
	req.Header.Set("Authorization", machines.KeyScheme+machines.APIKey)
	req.Header.Set(machines.HeaderRequestID, fmt.Sprint("crash-", number))
	req.Header.Set(machines.HeaderDeadline, fmt.Sprint(callTimeout.Milliseconds()))
	req.Header.Set(machines.HeaderTokens, "30,4")
	req.Header.Set(machines.HeaderPrompt, fmt.Sprintf("%s:10,%s:10,d%d:10", sharedPart, machines.CrashingPart, number))
	if resp, err := client.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body) // the answer is an error or broken off
		_ = resp.Body.Close()
	}
}

// checkCrashes verifies that requests with the crashing part no longer reach runners once all
// instances have been in touch for contactWindow.
func (tc *testCluster) checkCrashes() {
	time.Sleep(contactWindow)
	from := time.Now()
	time.Sleep(lateInterval)
	late := tc.runners.ArrivalsAfter(from)
	if crashes := len(tc.runners.Crashes()); crashes >= crashesToNotice && late > maxLateArrivals {
		tc.t.Errorf("%d requests with the crashing part reached runners in the calm after the faults and %d crashes", late, crashes)
	}
	tc.t.Logf("%d requests with the crashing part reached runners, %d of them late", tc.runners.ArrivalsAfter(time.Time{}), late)
}
