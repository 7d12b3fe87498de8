package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

const (
	promptTokens   = 4000
	tokensPerEvent = 4 // as in the configuration
	budgetEvents   = 20
	budgetPause    = 20 * time.Millisecond
	numCallers     = 12
	callerPause    = 500 * time.Millisecond // mean between two requests of a caller
	rollGap        = time.Second
	restartDelay   = 500 * time.Millisecond // from the end of a process to the next one
	// storeDown is how long the store is down before it returns from the copy, for
	// which it needs storeReturns.
	storeDown, storeReturns = 4500 * time.Millisecond, 2 * time.Second
	// copyAge is the age of the copy when storeReturns begins.
	copyAge = 9 * time.Second
	// budgetEnd is how long callers go on after the return.
	budgetEnd = 40 * time.Second
)

// meter counts what a tenant gets.
type meter struct {
	mu   sync.Mutex
	runs map[string]bool // requests that a runner began to work on
	// input and output are the tokens of these requests, and those that callers received.
	input, output int64
}

func (m *meter) run(id string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.runs[id] {
		m.runs[id] = true
		m.input += promptTokens
	}
}

func (m *meter) deliver(events int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.output += int64(events) * tokensPerEvent
}

func (m *meter) total() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.input + m.output
}

// readPrepaid returns what the only tenant of a configuration has prepaid.
func readPrepaid(folder string) (int64, error) {
	text, err := os.ReadFile(filepath.Join(folder, "config.json"))
	if err != nil {
		return 0, err
	}
	var config struct {
		Tenants []struct {
			Prepaid int64 `json:"prepaid"`
		} `json:"tenants"`
	}
	if err := json.Unmarshal(text, &config); err != nil {
		return 0, err
	}
	if len(config.Tenants) != 1 || config.Tenants[0].Prepaid <= 0 {
		return 0, fmt.Errorf("the configuration has not one tenant that has prepaid")
	}
	return config.Tenants[0].Prepaid, nil
}

// playBudget restarts all instances one after another while the store is away, which returns from
// a copy. Without the disruption the store returns as it was.
func playBudget(f *fleet, trouble bool) (bool, error) {
	prepaid, err := readPrepaid(f.folder)
	if err != nil {
		return false, err
	}
	zones := []string{"z0", "z1", "z2"}
	f.addInstances(zones...)
	m := &meter{runs: map[string]bool{}}
	for i, zone := range zones {
		id := fmt.Sprintf("i-r%d", i)
		script := func(r *http.Request, _ []byte, c net.Conn) bool {
			attempt := r.Header.Get(machines.HeaderRequestID)
			if expected := r.Header.Get(machines.HeaderExpectedInstance); expected != "" && expected != id {
				_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+machines.HeaderRequestID+": "+attempt+"\r\nContent-Length: 0\r\n\r\n")
				return err == nil
			}
			first := 1
			if last, err := strconv.Atoi(r.Header.Get(machines.HeaderLastEventID)); err == nil {
				first = last + 1
			}
			m.run(attempt)
			return machines.Events{Version: "v1", Pause: budgetPause}.Stream(first, budgetEvents, true)(r, nil, c)
		}
		if _, err := f.addRunner(id, streamService, zone, "v1", script); err != nil {
			return false, err
		}
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var served, refused, failed atomic.Int64
	for k := range numCallers {
		callers.Go(func() {
			caller := newCaller()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(callerPause):
				}
				ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
				id := fmt.Sprintf("c%d-%d", k, i)
				h := streamHeader(id)
				h.Set(machines.HeaderTokens, fmt.Sprintf("%d,%d", promptTokens, budgetEvents*tokensPerEvent))
				a := f.instances[(k+i)%len(f.instances)].send(ctx, caller, http.MethodPost, streamHost, streamPath, "{}", h, nil)
				cancel()
				m.deliver(countEvents(a.body))
				switch {
				case a.status == http.StatusOK && a.complete:
					served.Add(1)
				case a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					failed.Add(1)
				}
			}
		})
	}
	report := func(when string) {
		f.note("%s: the tenant got %d of %d tokens; %d requests served, %d refused, %d failed", when, m.total(), prepaid, served.Load(), refused.Load(), failed.Load())
	}
	time.Sleep(settle)
	copied := f.store.Copy()
	report("the copy of the store is from now")
	away := time.Now().Add(copyAge - storeDown)
	var roll sync.WaitGroup
	for i, n := range f.instances {
		roll.Go(func() {
			// The first process ends just after the store has gone.
			time.Sleep(time.Until(away.Add(time.Duration(i)*rollGap - 2300*time.Millisecond)))
			n.end(syscall.SIGTERM)
			time.Sleep(restartDelay)
			if err := n.start(); err != nil {
				f.note("%s does not start: %v", n.name, err)
			}
		})
	}
	time.Sleep(time.Until(away))
	f.down.set(true)
	report("the store is down")
	time.Sleep(storeDown + storeReturns)
	if trouble {
		f.store.Restore(copied)
	}
	f.down.set(false)
	report("the store is back")
	roll.Wait()
	for _, n := range f.instances {
		if err := n.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(budgetEnd)
	close(stop)
	callers.Wait()
	report("end")
	if served.Load() < 20 {
		return false, fmt.Errorf("too few requests to judge")
	}
	return m.total() <= prepaid, nil
}
