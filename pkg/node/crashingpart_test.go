package node_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

const (
	// contactWindow is how long after the fifth crash requests with the part may reach
	// runners, and maxLateArrivals how many may later.
	contactWindow    = 3 * time.Second
	maxLateArrivals  = 3
	crashesToNotice  = 5
	soundPartsNumber = 4
)

// startCrashingRunners starts runners in place of that of the fleet.
func startCrashingRunners(f *fleet, count int) *machines.CrashingRunners {
	f.store.Remove(machines.ServersPrefix + f.runner.ID)
	runners := machines.NewCrashingRunners(f.store, func(q *http.Request, b []byte, c net.Conn) bool {
		time.Sleep(30 * time.Millisecond)
		return machines.Stream(1, 3, true)(q, b, c)
	})
	f.t.Cleanup(runners.Close)
	for range count {
		if err := runners.Start("z"); err != nil {
			f.t.Fatal(err)
		}
	}
	return runners
}

// noticedCrash returns the time of the crash after which the part must be known, or of the
// last one if there are fewer.
func noticedCrash(runners *machines.CrashingRunners) (time.Time, bool) {
	crashes := runners.Crashes()
	if len(crashes) == 0 {
		return time.Time{}, false
	}
	return crashes[min(crashesToNotice, len(crashes))-1], true
}

// sendPrompt sends a stream request with the prompt parts and reports whether its answer was
// complete. No two requests are alike.
func (m *member) sendPrompt(number int, parts ...string) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+m.callers+"/chat/1", strings.NewReader(fmt.Sprint("body ", number)))
	if err != nil {
		m.f.t.Error(err)
		return false
	}
	prompt := ""
	for _, part := range append(parts, fmt.Sprintf("f%x", number)) {
		prompt += "," + part + ":10"
	}
	req.Host = machines.Host
	req.Header.Set("Authorization", machines.KeyScheme+machines.APIKey)
	req.Header.Set(machines.HeaderRequestID, fmt.Sprint("id", number))
	req.Header.Set(machines.HeaderDeadline, "5000")
	req.Header.Set(machines.HeaderTokens, "30,12")
	req.Header.Set(machines.HeaderPrompt, prompt[1:])
	resp, err := m.f.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(body) == threeEvents()
}

// soundPart returns one of a few parts that requests share.
func soundPart(number int) string { return fmt.Sprintf("a%x", number%soundPartsNumber) }

// Guards against requests with one part in common that crash endpoint after endpoint.
func TestCrashingPartIsRefusedEverywhere(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.PutPrepaidConfig(2, 100_000_000, "chat")
	runners := startCrashingRunners(f, 12)
	members := []*member{f.start("a"), f.start("b"), f.start("c")}
	f.waitUntil("all are listed", func() bool { return f.store.Count("instances/") == len(members) })
	time.Sleep(1500 * time.Millisecond) // until all instances have read the lists

	var senders sync.WaitGroup
	stop := make(chan struct{})
	var mu sync.Mutex
	var soundSent, soundServed int
	lateFrom := func(windows int) bool {
		at, ok := noticedCrash(runners)
		return ok && time.Since(at) > time.Duration(windows)*contactWindow
	}
	every := func(interval time.Duration, send func(number int, m *member)) {
		senders.Go(func() {
			for number := 0; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
					senders.Go(func() { send(number, members[number%len(members)]) })
				}
			}
		})
	}
	every(120*time.Millisecond, func(number int, m *member) { m.sendPrompt(1_000_000+number, soundPart(number), machines.CrashingPart) })
	every(25*time.Millisecond, func(number int, m *member) {
		late := lateFrom(2)
		served := m.sendPrompt(number, soundPart(number), "b"+strconv.Itoa(number%40))
		if late {
			mu.Lock()
			defer mu.Unlock()
			soundSent++
			if served {
				soundServed++
			}
		}
	})
	f.waitUntil("three windows after the fifth crash", func() bool { return lateFrom(3) })
	close(stop)
	senders.Wait()

	at, _ := noticedCrash(runners)
	if n := runners.ArrivalsAfter(at.Add(contactWindow)); n > maxLateArrivals {
		t.Errorf("%d requests with the part reached runners later than %s after the fifth crash, %d crashes", n, contactWindow, len(runners.Crashes()))
	}
	if soundServed < soundSent/2 || soundSent < 20 {
		t.Errorf("%d of %d sound requests were served", soundServed, soundSent)
	}
	t.Logf("%d crashes, %d of %d sound requests served from two windows after", len(runners.Crashes()), soundServed, soundSent)
	restarted := f.start("d")
	time.Sleep(contactWindow)
	before := time.Now()
	for number := range 10 {
		restarted.sendPrompt(2_000_000+number, soundPart(number), machines.CrashingPart)
	}
	if n := runners.ArrivalsAfter(before); n > 0 {
		t.Errorf("an instance that started later sent %d requests with the part", n)
	}
}
