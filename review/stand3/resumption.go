package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

const (
	streamHost, streamPath, streamKey = "h.example", "/talk/1", "key-of-w"
	streamService                     = "llm"
	eventPause                        = 100 * time.Millisecond
	numEvents                         = 60
	// settle is the contact window of the settings with a margin.
	settle = 5 * time.Second
	// callerDeadline is how long a caller waits for its answer.
	callerDeadline = 10 * time.Second
)

// streamScript is a runner that sends numbered events, and goes on after the event that the
// request names.
func streamScript(f *fleet, id string) machines.Script {
	return func(r *http.Request, _ []byte, c net.Conn) bool {
		attempt := r.Header.Get(machines.HeaderRequestID)
		if expected := r.Header.Get(machines.HeaderExpectedInstance); expected != "" && expected != id {
			_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+machines.HeaderRequestID+": "+attempt+"\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
		first := 1
		if last, err := strconv.Atoi(r.Header.Get(machines.HeaderLastEventID)); err == nil {
			first = last + 1
		}
		f.note("runner %s runs %s from event %d", id, attempt, first)
		return machines.Events{Version: "v1", Pause: eventPause}.Stream(first, numEvents, true)(r, nil, c)
	}
}

func streamHeader(id string) http.Header {
	h := http.Header{}
	h.Set("Authorization", machines.KeyScheme+streamKey)
	h.Set(machines.HeaderRequestID, id)
	h.Set(machines.HeaderDeadline, strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	h.Set(machines.HeaderTokens, fmt.Sprintf("100,%d", 4*numEvents))
	h.Set(machines.HeaderPrompt, "5c1e07a2:80,"+strconv.FormatInt(int64(len(id))*7919+int64(id[len(id)-1]), 16)+":20")
	return h
}

// countEvents returns the number of the last whole event in a body.
func countEvents(body []byte) int {
	last := 0
	events := strings.Split(string(body), "\n\n")
	for _, e := range events[:len(events)-1] {
		if id, ok := strings.CutPrefix(strings.SplitN(e, "\n", 2)[0], "id: "); ok {
			if n, err := strconv.Atoi(id); err == nil {
				last = n
			}
		}
	}
	return last
}

const (
	numTakenUp = 20 // streams that break off and are taken up again
	numNew     = 20 // streams that begin beside them
	maxTries   = 3  // of a caller, each after the time that the refusal names
)

// tryStream begins or takes up a stream at instances in turn and reports whether it went to its end.
func tryStream(f *fleet, instances []*instance, name, resumes string, after int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
	defer cancel()
	caller := newCaller()
	for try := range maxTries {
		n := instances[(len(name)+int(name[len(name)-1])+try)%len(instances)]
		id := fmt.Sprintf("%s-%d", name, try)
		h := streamHeader(id)
		if resumes != "" {
			h.Set(machines.HeaderLastEventID, strconv.Itoa(after))
			h.Set(machines.HeaderResumes, resumes)
		}
		a := n.send(ctx, caller, http.MethodPost, streamHost, streamPath, "{}", h, nil)
		f.note("%s at %s after event %d: status %d, last event %d, complete %t, retry after %s, %v %.160q", id, n.name, after, a.status, countEvents(a.body), a.complete, a.retryAfter, a.err, refusalText(a))
		if a.status == http.StatusOK && a.complete && countEvents(a.body) == numEvents {
			return true
		}
		if a.status == http.StatusOK {
			return false
		}
		time.Sleep(max(a.retryAfter, 100*time.Millisecond))
	}
	return false
}

func refusalText(a answer) string {
	if a.status == http.StatusOK {
		return ""
	}
	return string(a.body)
}

// playResumption loses all instances while the store returns from a copy, and later one instance
// with streams, which callers take up at the others.
func playResumption(f *fleet, trouble bool) (bool, error) {
	zones := []string{"z0", "z1", "z2"}
	f.addInstances(zones...)
	for i, zone := range zones {
		id := fmt.Sprintf("i-r%d", i)
		if _, err := f.addRunner(id, streamService, zone, "v1", streamScript(f, id)); err != nil {
			return false, err
		}
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(settle)
	copied := f.store.Copy()
	f.note("the copy of the store is from now")
	if !tryStream(f, f.instances, "before", "", 0) {
		return false, fmt.Errorf("a stream in calm is not served")
	}
	if trouble {
		f.note("all instances lose power and the store goes away")
		f.down.set(true)
		var ends sync.WaitGroup
		for _, n := range f.instances {
			ends.Go(func() { n.end(syscall.SIGKILL) })
		}
		ends.Wait()
		time.Sleep(time.Second)
		for _, n := range f.instances {
			if err := n.start(); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Second)
		f.store.Restore(copied)
		f.down.set(false)
		f.note("the store is back from the copy")
		for _, n := range f.instances {
			if err := n.awaitReady(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(settle)
	f.note("all is calm since %s", settle)

	// Streams begin at the first instance, which then loses power.
	caller := newCaller()
	var streams sync.WaitGroup
	received := make([]int, numTakenUp)
	for i := range numTakenUp {
		streams.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callerDeadline)
			defer cancel()
			id := fmt.Sprintf("broken-%d", i)
			a := f.instances[0].send(ctx, caller, http.MethodPost, streamHost, streamPath, "{}", streamHeader(id), nil)
			received[i] = countEvents(a.body)
			f.note("%s at %s: status %d, last event %d, complete %t, %v", id, f.instances[0].name, a.status, received[i], a.complete, a.err)
		})
	}
	time.Sleep(2 * time.Second)
	f.instances[0].end(syscall.SIGKILL)
	streams.Wait()

	var mu sync.Mutex
	takenUp, wentOn, begun := 0, 0, 0
	for i := range numTakenUp {
		if received[i] == 0 || received[i] == numEvents {
			continue
		}
		takenUp++
		streams.Go(func() {
			if tryStream(f, f.instances[1:], fmt.Sprintf("again-%d", i), fmt.Sprintf("broken-%d", i), received[i]) {
				mu.Lock()
				wentOn++
				mu.Unlock()
			}
		})
	}
	for i := range numNew {
		streams.Go(func() {
			if tryStream(f, f.instances[1:], fmt.Sprintf("new-%d", i), "", 0) {
				mu.Lock()
				begun++
				mu.Unlock()
			}
		})
	}
	streams.Wait()
	f.note("%d streams were taken up again, %d of them went on; %d of %d new streams were served", takenUp, wentOn, begun, numNew)
	if takenUp < 12 || begun < numNew/2 {
		return false, fmt.Errorf("too few streams to judge")
	}
	return 2*wentOn*numNew >= begun*takenUp, nil
}
