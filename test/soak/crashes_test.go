package soak

import (
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
	// crashingPart is the part of prompts that crashes runners, sharedPart one that all
	// prompts have in common.
	crashingPart, sharedPart = "bad0", "a1"
	// crashDelay is the time from the beginning of a run to the crash, restartDelay that
	// until the runner is back with another ID.
	crashDelay, restartDelay = 20 * time.Millisecond, 300 * time.Millisecond
	crashingInterval         = 150 * time.Millisecond // mean time between requests with crashingPart
	// contactWindow, crashesToNotice and maxLateArrivals are the users' bound: later than
	// contactWindow after so many crashes at most so many requests reach runners.
	contactWindow   = 3 * time.Second
	crashesToNotice = 5
	maxLateArrivals = 3
	lateInterval    = 1500 * time.Millisecond // in which late arrivals are counted
)

// crashes are the runners of a cluster and the requests with crashingPart that reached them.
// The mutex of the cluster guards it.
type crashes struct {
	started  int
	runners  map[string]*machines.Runner // by address
	arrivals []time.Time
	closed   bool
	restarts sync.WaitGroup
}

func isCrashing(r *http.Request) bool {
	return strings.Contains(r.Header.Get(machines.HeaderPrompt), crashingPart)
}

// startRunner starts a runner with a new ID in a zone.
func (tc *testCluster) startRunner(zone string) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	if tc.crashes.closed {
		return
	}
	if tc.crashes.runners == nil {
		tc.crashes.runners = map[string]*machines.Runner{}
	}
	r, err := machines.StartRunner(fmt.Sprintf("r%d", tc.crashes.started), tc.serveRunner)
	if err != nil {
		tc.t.Error(err)
		return
	}
	tc.crashes.started++
	tc.crashes.runners[r.Address()] = r
	tc.store.PutRunner(r, zone)
}

func (tc *testCluster) closeRunners() {
	tc.mu.Lock()
	tc.crashes.closed = true
	runners := tc.crashes.runners
	tc.mu.Unlock()
	tc.crashes.restarts.Wait()
	for _, r := range runners {
		r.Close()
	}
}

// crashRunner is the machines.Script for requests with crashingPart.
func (tc *testCluster) crashRunner(r *http.Request, c net.Conn) bool {
	address := c.LocalAddr().String()
	tc.mu.Lock()
	tc.crashes.arrivals = append(tc.crashes.arrivals, time.Now())
	runner, zone := tc.crashes.runners[address], fmt.Sprintf("z%d", len(tc.crashes.arrivals)%2)
	delete(tc.crashes.runners, address)
	if runner != nil {
		tc.crashes.restarts.Go(func() {
			time.Sleep(crashDelay)
			runner.Close()
			tc.store.Remove(machines.ServersPrefix + runner.ID)
			time.Sleep(restartDelay)
			tc.startRunner(zone)
		})
	}
	tc.mu.Unlock()
	_, _ = io.WriteString(c, machines.ResponseHead(r, http.StatusOK, "Content-Type: text/event-stream", "Connection: close"))
	_, _ = c.Read(make([]byte, 1)) // until the runner has crashed
	return false
}

// runCrashingCaller sends requests with crashingPart, no two alike, until ctx ends.
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
	req.Header.Set(machines.HeaderPrompt, fmt.Sprintf("%s:10,%s:10,d%d:10", sharedPart, crashingPart, number))
	if resp, err := client.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body) // the answer is an error or broken off
		_ = resp.Body.Close()
	}
}

// checkCrashes verifies that requests with crashingPart no longer reach runners once all
// instances have been in touch for contactWindow.
func (tc *testCluster) checkCrashes() {
	time.Sleep(contactWindow)
	from := time.Now()
	time.Sleep(lateInterval)
	tc.mu.Lock()
	defer tc.mu.Unlock()
	late := 0
	for _, at := range tc.crashes.arrivals {
		if at.After(from) {
			late++
		}
	}
	if len(tc.crashes.arrivals)-late >= crashesToNotice && late > maxLateArrivals {
		tc.t.Errorf("%d requests with a crashing part reached runners in the calm after the faults, after %d before", late, len(tc.crashes.arrivals)-late)
	}
	tc.t.Logf("%d requests with a crashing part reached runners, %d of them late", len(tc.crashes.arrivals), late)
}
