package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["half-close"] = halfClose }

// leaveShare is the share of the clients that leave early.
const leaveShare = 0.2

// appAnswer answers as a sound app runner after its work.
func appAnswer(c *caseRun, work time.Duration) answerer {
	return func(r *runner, req *http.Request, _ []byte, conn net.Conn) bool {
		time.Sleep(work)
		c.logf("runner %s ran %s", r.id, attemptID(req))
		return writeWhole(conn, req, http.StatusOK, wholeAnswer)
	}
}

const (
	wholeAnswer = `{"historial":["limado","extraccion"]}`
	chartEvents = 30
)

// halfClose: some clients leave before the answer, by ending their side of the connection after
// the request. What still reaches them must be the whole answer of a runner, or no success.
func halfClose(c *caseRun) (broken bool, err error) {
	const duration = 20 * time.Second
	s, storeAddress, err := startStore()
	if err != nil {
		return false, err
	}
	putConfig(s, 900_000_000, chartRoute, historyRoute)
	u := &usage{}
	for i, zone := range []string{"valle-maipo", "valle-rapel"} {
		app, err := startRunner(s, fmt.Sprintf("i-rondas-%d", i), appService, zone, 6, appAnswer(c, 60*time.Millisecond))
		if err != nil {
			return false, err
		}
		defer app.close()
		engine, err := startRunner(s, fmt.Sprintf("i-motor-%d", i), modelService, zone, 64, meteredEngine(c, u, 20*time.Millisecond))
		if err != nil {
			return false, err
		}
		defer engine.close()
	}
	f, err := newFleet()
	if err != nil {
		return false, err
	}
	defer f.close()
	for _, zone := range []string{"valle-maipo", "valle-rapel"} {
		if _, err := f.add(zone, storeAddress); err != nil {
			return false, err
		}
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	end := time.Now().Add(duration)
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	send := func(kind string, entry *entry, q request, objective time.Duration, isWhole func(string) bool) {
		leaves := c.trouble && rand.Float64() < leaveShare
		conn, err := dialEntry(entry.frontend)
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if leaves {
			timer := time.AfterFunc(time.Duration(rand.Float64()*float64(objective)/2), func() { _ = conn.Conn.(*net.TCPConn).CloseWrite() })
			defer timer.Stop()
		}
		res := conn.do(q)
		verdict := "no success"
		switch {
		case res.status < 200 || res.status > 299 || res.err != nil:
		case !res.sealed:
			verdict = "success without a seal"
		case !isWhole(string(res.body)):
			verdict = "success that is not whole"
		default:
			verdict = "whole"
		}
		c.logf("client (%s, leaves: %t) %s: status %d, %d bytes, sealed %t, error %v: %s", kind, leaves, res.id, res.status, len(res.body), res.sealed, res.err, verdict)
		mu.Lock()
		defer mu.Unlock()
		counts[verdict]++
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
		send("history", f.entries[n%2], request{method: "GET", path: "/historial/1", deadline: 1500 * time.Millisecond}, 150*time.Millisecond,
			func(body string) bool { return body == wholeAnswer })
	})
	every(100*time.Millisecond, func(n int) {
		send("chart", f.entries[n%2], request{method: "POST", path: "/carta/1", tokens: fmt.Sprintf("3720,%d", chartEvents*tokensPerEvent), prefix: fmt.Sprintf("%x:2000,%x:1720", n%7+1, n+1000), body: []byte("{}"), deadline: 10 * time.Second}, time.Second,
			func(body string) bool { return strings.Count(body, "id: ") == chartEvents })
	})
	wg.Wait()
	c.sayf("answers: %v", counts)
	return counts["success without a seal"]+counts["success that is not whole"] > 0, nil
}
