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

func init() { cases["poison-request"] = poisonRequest }

// crashingApps are app runners that crash when they begin to run a request for poisonPath, and
// are back after downTime under a new id.
type crashingApps struct {
	c     *caseRun
	store *machines.Store
	work  time.Duration

	mu       sync.Mutex
	started  int
	crashes  []time.Time
	arrivals []time.Time // of poisonous requests
	cut      int         // other requests that a crash cut off
	running  map[*runner]int
}

const (
	poisonPath = "/cobro/veneno"
	downTime   = 3 * time.Second
)

func (a *crashingApps) start(zone string) error {
	a.mu.Lock()
	a.started++
	id := fmt.Sprintf("i-rondas-%d", a.started)
	a.mu.Unlock()
	_, err := startRunner(a.store, id, appService, zone, 6, func(r *runner, req *http.Request, _ []byte, conn net.Conn) bool {
		if strings.HasPrefix(req.URL.Path, poisonPath) {
			a.crash(r, attemptID(req), zone)
			return false
		}
		a.mu.Lock()
		a.running[r]++
		a.mu.Unlock()
		time.Sleep(a.work)
		a.c.logf("runner %s ran %s", r.id, attemptID(req))
		a.mu.Lock()
		defer a.mu.Unlock()
		a.running[r]--
		return writeWhole(conn, req, http.StatusOK, `{"ok":true}`)
	})
	return err
}

func (a *crashingApps) crash(r *runner, attempt, zone string) {
	now := time.Now()
	a.mu.Lock()
	a.arrivals = append(a.arrivals, now)
	a.crashes = append(a.crashes, now)
	a.cut += a.running[r]
	a.c.logf("runner %s begins to run %s and crashes; %d other requests are cut off (crash %d)", r.id, attempt, a.running[r], len(a.crashes))
	a.mu.Unlock()
	r.mu.Lock()
	r.state = "" // it sends nothing more; its registration expires
	r.mu.Unlock()
	r.close()
	time.AfterFunc(3*heartbeat, func() { a.store.Remove(machines.ServersPrefix + r.id) })
	time.AfterFunc(downTime, func() {
		if err := a.start(zone); err != nil {
			a.c.logf("a runner did not come back: %v", err)
		}
	})
}

// poisonRequest: one booking crashes each runner that begins to run it, and comes again and again.
func poisonRequest(c *caseRun) (broken bool, err error) {
	const duration = 70 * time.Second
	s, storeAddress, err := startStore()
	if err != nil {
		return false, err
	}
	putConfig(s, 900_000_000, historyRoute, bookingRoute)
	apps := &crashingApps{c: c, store: s, work: 30 * time.Millisecond, running: map[*runner]int{}}
	for _, zone := range []string{"valle-maipo", "valle-maipo", "valle-rapel", "valle-rapel"} {
		if err := apps.start(zone); err != nil {
			return false, err
		}
	}
	f, err := newFleet()
	if err != nil {
		return false, err
	}
	defer f.close()
	for _, zone := range []string{"valle-maipo", "valle-maipo", "valle-rapel"} {
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
	send := func(kind string, entry *entry, q request) {
		res := doOnce(entry.frontend, q)
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
	every(125*time.Millisecond, func(n int) {
		send("history", f.entries[n%3], request{method: "GET", path: fmt.Sprintf("/historial/%d", n), deadline: 1500 * time.Millisecond})
	})
	every(75*time.Millisecond, func(n int) {
		send("booking", f.entries[n%3], request{method: "POST", path: "/cobro/1", body: fmt.Appendf(nil, `{"n":%d}`, n), deadline: 1500 * time.Millisecond})
	})
	if c.trouble {
		every(2*time.Second, func(n int) {
			send("poison", f.entries[n%3], request{method: "POST", path: poisonPath, body: []byte(`{"n":"veneno"}`), deadline: 1500 * time.Millisecond})
		})
	}
	wg.Wait()
	c.sayf("answers by client and status: %v", statuses)
	apps.mu.Lock()
	defer apps.mu.Unlock()
	if len(apps.crashes) < 3 {
		return false, nil
	}
	from, late := apps.crashes[2].Add(contactWindow), 0
	for _, at := range apps.arrivals {
		if at.After(from) {
			late++
		}
	}
	c.sayf("%d crashes cut off %d other requests; %d poisonous requests reached runners later than %s after the third crash, 3 are allowed", len(apps.crashes), apps.cut, late, contactWindow)
	return late > 3, nil
}
