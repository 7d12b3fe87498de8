package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/clementinerack/clementinerack/standins/machines"
)

func init() { cases["crashing-part"] = crashingPart }

// badPart is the part of prompts on which runners crash, sharedPart one that sound prompts have too.
const badPart, sharedPart = "bad0", "5c1e07a2"

// crashingEngines are model runners that crash when they begin to answer a request with badPart,
// and are back after downTime under a new id.
type crashingEngines struct {
	c     *caseRun
	store *machines.Store
	sound answerer

	mu       sync.Mutex
	started  int
	crashes  []time.Time
	arrivals []time.Time // of requests with badPart
}

func (a *crashingEngines) start(zone string) error {
	a.mu.Lock()
	a.started++
	id := fmt.Sprintf("i-motor-%d", a.started)
	a.mu.Unlock()
	_, err := startRunner(a.store, id, modelService, zone, 64, func(r *runner, req *http.Request, body []byte, conn net.Conn) bool {
		if !strings.Contains(req.Header.Get(machines.HeaderPrompt), badPart) {
			return a.sound(r, req, body, conn)
		}
		a.mu.Lock()
		a.arrivals = append(a.arrivals, time.Now())
		a.mu.Unlock()
		time.Sleep(100 * time.Millisecond) // it reads the prompt
		a.crash(r, attemptID(req), zone)
		return false
	})
	return err
}

func (a *crashingEngines) crash(r *runner, attempt, zone string) {
	r.mu.Lock()
	crashed := r.closed
	r.state = "" // it sends nothing more; its registration expires
	r.mu.Unlock()
	if crashed {
		return
	}
	r.close()
	a.mu.Lock()
	a.crashes = append(a.crashes, time.Now())
	a.c.logf("runner %s crashes on %s (crash %d)", r.id, attempt, len(a.crashes))
	a.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { a.store.Remove(machines.ServersPrefix + r.id) })
	time.AfterFunc(downTime, func() {
		if err := a.start(zone); err != nil {
			a.c.logf("a runner did not come back: %v", err)
		}
	})
}

// crashingPart: requests with a part that crashes the model runners come at all entries, no two
// alike. The deployment has four model runners in two zones, and no other service.
func crashingPart(c *caseRun) (broken bool, err error) {
	const duration = 45 * time.Second
	s, storeAddress, err := startStore()
	if err != nil {
		return false, err
	}
	putConfig(s, 900_000_000, chartRoute)
	engines := &crashingEngines{c: c, store: s, sound: meteredEngine(c, &usage{}, 20*time.Millisecond)}
	for _, zone := range []string{"valle-maipo", "valle-rapel", "valle-maipo", "valle-rapel"} {
		if err := engines.start(zone); err != nil {
			return false, err
		}
	}
	f, err := newFleet()
	if err != nil {
		return false, err
	}
	defer f.close()
	for _, zone := range []string{"valle-maipo", "valle-rapel", "valle-maipo"} {
		if _, err := f.add(zone, storeAddress); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	end := time.Now().Add(duration)
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	send := func(kind string, n int, prefix string) {
		entry := f.entries[n%3]
		res := doOnce(entry.frontend, request{method: "POST", path: "/carta/1", tokens: "3720,80", prefix: prefix, body: []byte(prefix), deadline: 10 * time.Second})
		c.logf("client (%s) %s at %s: status %d, %v after %d ms", kind, res.id, entry.name, res.status, res.err, res.duration.Milliseconds())
		mu.Lock()
		defer mu.Unlock()
		statuses[fmt.Sprintf("%s %d", kind, res.status)]++
	}
	every := func(pause time.Duration, f func(n int)) {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				wg.Go(func() { f(n) })
				time.Sleep(pause)
			}
		})
	}
	every(100*time.Millisecond, func(n int) { send("sound", n, fmt.Sprintf("%s:2000,%x:1720", sharedPart, 0x10000+n)) })
	if c.trouble {
		time.Sleep(3 * time.Second)
		every(time.Second, func(n int) {
			send("crashing", n, fmt.Sprintf("%s:2000,%s:500,%x:1220", sharedPart, badPart, 0x20000+n))
		})
	}
	wg.Wait()
	c.sayf("answers by client and status: %v", statuses)
	engines.mu.Lock()
	defer engines.mu.Unlock()
	if len(engines.crashes) < 5 {
		c.sayf("%d crashes", len(engines.crashes))
		return false, nil
	}
	from, late := engines.crashes[4].Add(contactWindow), 0
	for _, at := range engines.arrivals {
		if at.After(from) {
			late++
		}
	}
	c.sayf("%d crashes; %d requests with the part reached runners later than %s after the fifth, 3 are allowed", len(engines.crashes), late, contactWindow)
	return late > 3, nil
}
